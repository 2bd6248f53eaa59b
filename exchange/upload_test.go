package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response without a length that counts as complete although its upstream
// ended the connection during the upload, and against a whole one that counts as broken.
func TestUnfinishedUploadCountsAsComplete(t *testing.T) {
	readAll := func(conn *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for name, c := range map[string]struct {
		before func(conn *net.TCPConn, r *http.Request)
		after  func(conn *net.TCPConn)
		size   int
		whole  bool
	}{
		"reset at once": {after: reset, size: 3 << 20},
		"reset later":   {after: func(conn *net.TCPConn) { time.Sleep(3 * time.Millisecond); reset(conn) }, size: 3 << 20},
		// The end of the response arrives in order, while the upload still waits.
		"half-closed":               {after: func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(50 * time.Millisecond) }, size: 3 << 20},
		"half-closed, small upload": {after: func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(50 * time.Millisecond) }, size: 1 << 10, whole: true},
		"reset after the upload":    {before: readAll, after: reset, size: 3 << 20},
		"closed after the upload":   {before: readAll, size: 3 << 20, whole: true},
		"closed, small upload":      {before: readAll, size: 1 << 10, whole: true},
		"closed, no upload":         {whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err == nil {
						if c.before != nil {
							c.before(conn.(*net.TCPConn), r)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
						if c.after != nil {
							c.after(conn.(*net.TCPConn))
						}
					}
					_ = conn.Close()
				}
			}()
			// A reset was taken for the end in 20 of 60 responses.
			const tries = 30
			whole := 0
			for range tries {
				reply, err := NewPool().Send(t.Context(), l.Addr().String(), Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, c.size)})
				if err != nil {
					continue
				}
				_, err = io.ReadAll(reply)
				assert.Equal(t, err == nil, reply.Complete(), "%v", err)
				if reply.Complete() {
					whole++
				}
				_, again := reply.Read(make([]byte, 1))
				assert.Equal(t, again == io.EOF, err == nil, "%v", again)
				reply.Close()
			}
			want := 0
			if c.whole {
				want = tries
			}
			assert.Equal(t, whole, want, "of %d", tries)
		})
	}
}
