package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// raw returns a script that writes text, in which %[1]s stands for the id of the request.
func raw(text string) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, text, r.Header.Get("Id"))
		return true
	}
}

const (
	ownResponse     = "HTTP/1.1 200 OK\r\nId: %[1]s\r\nSignature: s\r\nContent-Length: 4\r\n\r\ngood"
	ownRefusal      = "HTTP/1.1 503 X\r\nId: %[1]s\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"
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
	"interim with the id":             {"HTTP/1.1 103 X\r\nId: %[1]s\r\nNot-Run: 1\r\nX: foreign\r\n\r\n" + ownResponse, 200},
	"change of protocol":              {"HTTP/1.1 101 X\r\nId: %[1]s\r\nUpgrade: foreign\r\nConnection: Upgrade\r\n\r\n" + ownResponse, 502},
	"two ids":                         {"HTTP/1.1 503 X\r\nId: %[1]s\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 7\r\n\r\nforeign", 502},
	"two ids, success":                {"HTTP/1.1 200 X\r\nId: %[1]s\r\nId: other\r\nSignature: foreign\r\nContent-Length: 7\r\n\r\nforeign", 502},
	"body longer than stated":         {ownResponse + "foreign", 200},
	"refusal longer than stated":      {ownRefusal + "foreign", 200},
	"refusal followed by a response":  {ownRefusal + foreignResponse, 200},
	"bytes before the response":       {"foreign\r\n" + ownResponse, 502},
	"refusal cut within its header":   {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX: a\r\n" + ownResponse, 502},
	"refusal cut within a field name": {"HTTP/1.1 503 X\r\nNot-Run: 1\r\nX-" + ownResponse, 502},
	"refusal cut within its body":     {"HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 300\r\n\r\nforeign" + ownResponse, 502},
}

// Guards against bytes around a response that reach a client, say "not run" of its
// request, or are left for the next request of the connection.
func TestSurplusBytesAreUsed(t *testing.T) {
	for name, c := range surplus {
		for _, route := range []string{"unsafe", "safe"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				var seen sync.Map
				used := 0
				s, a, b := newPair(t, afterFirst(func(r *http.Request, w io.Writer) bool {
					_, again := seen.LoadOrStore(w, true)
					assert.Check(t, !again, "the connection was used after %s", r.Header.Get("Id"))
					used++
					return raw(c.text)(r, w)
				}), good)
				assert.Equal(t, s.call("/safe/x", "Id: r0").header.Get("First"), "1")
				r := s.call("/" + route + "/x")
				assertNotForeign(t, r)
				want := c.status
				if route == "safe" {
					want = http.StatusOK
				}
				assert.Equal(t, r.status, want)
				if r.status == http.StatusOK {
					assert.Equal(t, r.body, "good")
				} else {
					assert.Equal(t, len(b.received()), 0, "the request was sent again")
				}
				assert.Equal(t, used, 1)
				time.Sleep(50 * time.Millisecond)
				assertNotForeign(t, s.call("/safe/x", "Id: r2"))
				assert.Assert(t, len(a.received())+len(b.received()) >= 3)
			})
		}
	}
}
