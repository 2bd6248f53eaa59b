package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call that waits, until its deadline, for another response after one whose
// status is not valid, and against such a status that counts as one.
func TestInvalidStatusIsWaitedOn(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-01", "-00", "1000", "20", "2x0", "abc", ""} {
		for name, c := range map[string]struct {
			size int
			// kept is set if the response is the second one on its connection.
			kept bool
		}{"first": {}, "upload": {size: 3 << 20}, "second": {kept: true}} {
			t.Run(status+"/"+name, func(t *testing.T) {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				assert.NilError(t, err)
				defer l.Close()
				go func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					reader := bufio.NewReader(conn)
					if c.kept {
						_, _ = http.ReadRequest(reader)
						_, _ = conn.Write(ok("x"))
					}
					_, _ = http.ReadRequest(reader)
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nbody")
					// The upstream keeps the connection open until it is closed.
					_, _ = io.Copy(io.Discard, reader)
				}()
				p := NewPool()
				if c.kept {
					_, err := roundTrip(t, p, l.Addr().String(), get("1"))
					assert.NilError(t, err)
				}
				req := get("2")
				if c.size > 0 {
					req.Method, req.Body = http.MethodPost, make([]byte, c.size)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				start := time.Now()
				reply, err := p.Send(ctx, l.Addr().String(), req)
				if err == nil {
					defer reply.Close()
				}
				assert.Assert(t, err != nil)
				assert.Check(t, time.Since(start) < time.Second, "after %v", time.Since(start))
				assert.Equal(t, p.OpenConnections(l.Addr().String()), 0)
			})
		}
	}
}
