package gateway_test

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
)

// Guards against a client that gets no answer because it has closed its sending side.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		upstream script
		want     int
	}{
		"safe":             {"/safe/x", answerAny, http.StatusBadGateway},
		"unsafe":           {"/unsafe/x", answerAny, http.StatusOK},
		"unsafe, failed":   {"/unsafe/x", answer(http.StatusInternalServerError, "bad"), http.StatusInternalServerError},
		"stream, no event": {"/stream/x", answerAny, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
				time.Sleep(300 * time.Millisecond)
				return c.upstream(r, w)
			})
			s := newSystem(t, registration(u, "v1")).configure()
			conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nId: %s\r\nKey: key\r\n\r\nbody", c.path, newID())
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.want)
			_, err = io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, s.logs.FilterMessage("connection closed").Len(), 0)
		})
	}
}
