package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// serveStatus starts an upstream that responds with a status before it reads the body of a
// request. It keeps the connection open. With kept, the first response on each connection is
// a whole one.
func serveStatus(t *testing.T, status string, kept bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if kept {
					if r, err := http.ReadRequest(reader); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(conn, response(r, http.StatusOK, "", goodWhole))
					}
				}
				if r, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, strings.Replace(response(r, http.StatusOK, "", goodWhole), "200", status, 1))
					_, _ = io.Copy(io.Discard, reader)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a response without a valid status that is handed on, or that is waited on
// until the deadline.
func TestInvalidStatusIsHandedOn(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "-01", "1000", "abc", "101"} {
		for name, c := range map[string]struct {
			size int
			kept bool
		}{"first": {size: 4}, "upload": {size: 3 << 20}, "second": {size: 4, kept: true}} {
			t.Run(status+"/"+name, func(t *testing.T) {
				url, client := serveStatus(t, status, c.kept), newClient(t, upstream.Options{})
				body := strings.Repeat("x", c.size)
				for kind, do := range map[string]func() error{
					"completion": func() error { _, err := client.Complete(bounded(t), call(url, body)); return err },
					"stream": func() error {
						_, err := client.Stream(bounded(t), call(url, body), 0, func(upstream.Part) error { return nil })
						return err
					},
					"service": func() error {
						_, err := client.Forward(bounded(t), booking(url, http.MethodPost, body, true))
						return err
					},
				} {
					if c.kept {
						_, err := client.Complete(bounded(t), call(url, wholeBody))
						assert.NilError(t, err)
					}
					start := time.Now()
					err := do()
					assert.Check(t, err != nil, kind)
					assert.Check(t, errkind.RanOf(err) != errkind.RanNo, "%s: %v", kind, err)
					assert.Check(t, time.Since(start) < 2*time.Second, "%s: after %v", kind, time.Since(start))
				}
			})
		}
	}
}
