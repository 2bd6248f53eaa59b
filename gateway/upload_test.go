package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEarlyUpstream starts an upstream that responds to each request before it has read the
// body. It passes the header of the request to do and closes the connection when that returns.
func startEarlyUpstream(t *testing.T, id string, do func(r *http.Request, conn *net.TCPConn)) *upstream {
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
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					do(r, conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return &upstream{id: id, address: l.Addr().String()}
}

// callWithBody sends one request with a body of a size over a new connection.
func (s *system) callWithBody(path string, size int) reply {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+path, bytes.NewReader(make([]byte, size)))
	assert.NilError(s.t, err)
	req.Host, req.Close = "h", true
	req.Header = http.Header{"Id": {newID()}, "Key": {"key"}, "Model": {"large"}}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil}
}

// Guards against a part of a response without a length that looks whole because the write of
// the request body, and not the read of the response, gets the error of the reset.
func TestResetDuringAnUploadLooksWhole(t *testing.T) {
	const tries = 8
	for route := range repeatable {
		for _, size := range []int{1 << 20, 3 << 20} {
			for _, wait := range []time.Duration{0, 3 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%d MiB/%v", route, size>>20, wait), func(t *testing.T) {
					u := startEarlyUpstream(t, "u1", func(r *http.Request, conn *net.TCPConn) {
						head, body := framings["none"].response(route, r.Header.Get("Id"))
						// The part of a stream ends after a whole event.
						part := strings.SplitAfter(body, "\n\n")[0]
						_, _ = io.WriteString(conn, head+part)
						time.Sleep(wait)
						_ = conn.SetLinger(0)
					})
					s := newSystem(t, registration(u, "v1")).configure()
					whole := 0
					for range tries {
						if s.callWithBody("/"+route+"/x", size).looksWhole() {
							whole++
						}
					}
					assert.Equal(t, whole, 0, "of %d partial responses", tries)
				})
			}
		}
	}
}

// Guards against a resumed stream that looks whole although the upstream that continued it
// reset its connection during the upload.
func TestResetDuringAResumedUploadLooksWhole(t *testing.T) {
	for _, size := range []int{1 << 20, 3 << 20} {
		t.Run(fmt.Sprintf("%d MiB", size>>20), func(t *testing.T) {
			var calls atomic.Int64
			u := startEarlyUpstream(t, "u1", func(r *http.Request, conn *net.TCPConn) {
				head, body := framings["none"].response("stream", r.Header.Get("Id"))
				parts := strings.SplitAfter(body, "\n\n")
				if r.Header.Get("Last") == "" {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, head+parts[0]+"id: 2\n")
					return
				}
				calls.Add(1)
				_, _ = io.WriteString(conn, head+parts[1])
				_ = conn.SetLinger(0)
			})
			s := newSystem(t, registration(u, "v1")).configure()
			for range 8 {
				r := s.callWithBody("/stream/x", size)
				assert.Check(t, !r.looksWhole(), "%d %q", r.status, r.body)
			}
			assert.Assert(t, calls.Load() > 0)
		})
	}
}
