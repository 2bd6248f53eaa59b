package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ownResponse     = "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nContent-Length: 4\r\n\r\ngood"
	ownRefusal      = "HTTP/1.1 503 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"
	foreignResponse = "HTTP/1.1 200 OK\r\nId: other\r\nSignature: foreign\r\nContent-Length: 7\r\n\r\nforeign"
	foreignRefusal  = "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nforeign"
)

// surplus holds what an upstream writes when it should write one response, and the status
// that a client of a request gets who may not send it again.
var surplus = map[string]struct {
	text   string
	status int
}{
	"foreign refusal first":           {foreignRefusal + ownResponse, 502},
	"foreign response first":          {foreignResponse + ownResponse, 502},
	"foreign response last":           {ownResponse + foreignResponse, 200},
	"foreign response after interim":  {"HTTP/1.1 100 Continue\r\n\r\n" + foreignResponse + ownResponse, 502},
	"interim of another request":      {"HTTP/1.1 103 X\r\nId: other\r\nNot-Run: 1\r\nX: foreign\r\n\r\n" + ownResponse, 200},
	"interim with the id":             {"HTTP/1.1 103 X\r\nId: {id}\r\nNot-Run: 1\r\nX: foreign\r\n\r\n" + ownResponse, 200},
	"change of protocol":              {"HTTP/1.1 101 X\r\nId: {id}\r\nUpgrade: foreign\r\nConnection: Upgrade\r\n\r\n" + ownResponse, 502},
	"two ids":                         {"HTTP/1.1 503 X\r\nId: {id}\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nforeign", 502},
	"two ids, success":                {"HTTP/1.1 200 X\r\nId: {id}\r\nId: other\r\nSignature: foreign\r\nContent-Length: 7\r\n\r\nforeign", 502},
	"body longer than stated":         {ownResponse + "foreign", 200},
	"refusal longer than stated":      {ownRefusal + "foreign", 200},
	"refusal followed by a response":  {ownRefusal + foreignResponse, 200},
	"bytes before the response":       {"foreign\r\n" + ownResponse, 502},
	"refusal cut within its header":   {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX: a\r\n" + ownResponse, 502},
	"refusal cut within a field name": {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX-" + ownResponse, 502},
	"refusal cut within a value":      {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX: " + ownResponse, 502},
	"refusal cut within a value, 2":   {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX: foreign" + ownResponse, 502},
	"refusal cut within its body":     {"HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 300\r\n\r\nforeign" + ownResponse, 502},
}

// Guards against bytes around a response that reach a client, say "not run" of its
// request, or are left for the next request of the connection.
func TestSurplusBytesAreUsed(t *testing.T) {
	for name, c := range surplus {
		for _, route := range []string{"unsafe", "safe"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				closed := make(chan bool, 1)
				r := try(t, route, true, func(r *http.Request, w io.Writer) bool {
					raw(c.text)(r, w)
					conn := w.(net.Conn)
					_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
					_, err := conn.Read(make([]byte, 1))
					var timeout net.Error
					closed <- err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
					return false
				})
				assertNotForeign(t, r.reply)
				want := c.status
				if route == "safe" {
					want = http.StatusOK
				}
				assert.Equal(t, r.status, want)
				if want == http.StatusOK {
					assert.Equal(t, r.body, "good")
				} else {
					assert.Equal(t, r.sentTo(r.b), 0, "the request was sent again")
				}
				assert.Assert(t, <-closed, "the connection was kept")
			})
		}
	}
}
