package upstream_test

import (
	"bufio"
	"fmt"
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

// Guards against a part of a response without a length that counts as whole because its
// service ended the connection during the upload, and against a whole one that counts as cut.
func TestUnfinishedUploadCountsAsWhole(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for name, c := range map[string]struct {
		// reads is set if the service reads the upload before it responds.
		reads bool
		after func(conn *net.TCPConn)
		whole bool
	}{
		"reset at once":           {after: reset},
		"reset later":             {after: func(conn *net.TCPConn) { time.Sleep(3 * time.Millisecond); reset(conn) }},
		"half-closed":             {after: func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(50 * time.Millisecond) }},
		"reset after the upload":  {reads: true, after: reset},
		"closed after the upload": {reads: true, after: func(*net.TCPConn) {}, whole: true},
	} {
		for _, size := range []int{1 << 20, 3 << 20} {
			for _, repeatable := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d MiB/repeatable %v", name, size>>20, repeatable), func(t *testing.T) {
					l, err := net.Listen("tcp4", "127.0.0.1:0")
					assert.NilError(t, err)
					defer l.Close()
					go func() {
						for {
							conn, err := l.Accept()
							if err != nil {
								return
							}
							go func() {
								defer conn.Close()
								r, err := http.ReadRequest(bufio.NewReader(conn))
								if err != nil {
									return
								}
								if c.reads {
									_, _ = io.Copy(io.Discard, r.Body)
								}
								_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
								c.after(conn.(*net.TCPConn))
							}()
						}
					}()
					client, body := newClient(t, upstream.Options{}), strings.Repeat("x", size)
					const tries = 8
					whole := 0
					for range tries {
						_, err := client.Forward(bounded(t), booking("http://"+l.Addr().String(), http.MethodPost, body, repeatable))
						if err == nil {
							whole++
						} else {
							assert.Check(t, errkind.Of(err) == errkind.UpstreamFailed && errkind.RanOf(err) != errkind.RanNo, "%v", err)
						}
					}
					want := 0
					if c.whole {
						want = tries
					}
					assert.Equal(t, whole, want, "of %d", tries)
				})
			}
		}
	}
}
