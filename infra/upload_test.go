package infra_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/infra"
)

// Guards against an object that counts as stored although the platform ended the connection
// during its upload: the end of a reply without a length does not show that it is whole.
func TestObjectCountsAsStoredDuringItsUpload(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
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
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						} else {
							_ = conn.(*net.TCPConn).CloseWrite()
							_, _ = io.Copy(io.Discard, conn)
						}
					}()
				}
			}()
			c := infra.New(infra.Options{URL: "http://" + l.Addr().String()})
			for range 8 {
				err := c.Objects().Put(context.Background(), "object", make([]byte, 3<<20))
				assert.Check(t, errors.Is(err, store.ErrUnknown), "%v", err)
			}
		})
	}
}
