package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// foreignText is in the header and the body of responses that belong to no request of
// the test.
const foreignText = "foreign"

// respond returns a script that writes a complete response of the request id with
// foreignText. Empty headers, and the id if it is empty, are left out.
func respond(status int, id string, header ...string) script {
	head := "X: " + foreignText + "\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	for _, line := range header {
		if line != "" {
			head += line + "\r\n"
		}
	}
	return func(_ *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(foreignText), head, foreignText)
		return true
	}
}

// respondSigned returns a script like respond whose response is signed.
func respondSigned(status int, id string, header ...string) script {
	return respond(status, id, append([]string{"Signature: s"}, header...)...)
}

// afterFirst returns a script that serves the first request of each connection itself
// and leaves the others to do.
func afterFirst(do script) script {
	var seen sync.Map
	return func(r *http.Request, w io.Writer) bool {
		if _, again := seen.LoadOrStore(w, true); again {
			return do(r, w)
		}
		return serving(r, w, "First: 1")
	}
}

// foreignResponses holds responses by what they claim.
var foreignResponses = map[string]struct {
	status int
	header []string
}{
	"421":         {421, nil},
	"421 not run": {421, []string{"Not-Run: 1"}},
	"503":         {503, nil},
	"503 not run": {503, []string{"Not-Run: 1"}},
	"429":         {429, nil},
	"429 not run": {429, []string{"Not-Run: 1"}},
	"408":         {408, nil},
	"408 not run": {408, []string{"Not-Run: 1"}},
	"400":         {400, nil},
	"400 not run": {400, []string{"Not-Run: 1"}},
	"500":         {500, nil},
	"200":         {200, nil},
}

// serving answers a request of any route: with events on routes of streams.
func serving(r *http.Request, w io.Writer, header ...string) bool {
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		return events(2, lastChunk, header...)(r, w)
	}
	return answer(http.StatusOK, "good", header...)(r, w)
}

func good(r *http.Request, w io.Writer) bool { return serving(r, w) }

// repeatable holds the routes of newSystem by whether a request may run twice.
var repeatable = map[string]bool{"safe": true, "unsafe": false, "stream": true, "once": false}

func assertNotForeign(t *testing.T, r reply) {
	t.Helper()
	assert.Assert(t, !strings.Contains(fmt.Sprint(r.header, r.body), foreignText), "%v %q", r.header, r.body)
}

// Guards against belief in a response of another request: that a request was not run,
// or its status, header or body.
func TestResponseOfAnotherRequestIsBelieved(t *testing.T) {
	for name, c := range foreignResponses {
		for route, repeats := range repeatable {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reused %v", name, route, reused), func(t *testing.T) {
					t.Parallel()
					do, first := respondSigned(c.status, "other", c.header...), 0
					if reused {
						do, first = afterFirst(do), 1
					}
					s, a, b := newPair(t, do, good)
					if reused {
						assert.Equal(t, s.call("/safe/x", "Id: r0").header.Get("First"), "1")
					}
					r := s.call("/"+route+"/x", "Model: large")
					assertNotForeign(t, r)
					assert.Equal(t, len(a.received()), first+1)
					if repeats {
						assert.Equal(t, r.status, http.StatusOK, r.body)
						assert.Assert(t, r.complete)
						return
					}
					assert.Equal(t, r.status, http.StatusBadGateway)
					assert.Equal(t, len(b.received()), 0, "the request was sent again")
				})
			}
		}
	}
}

// Guards against the delivery of a response of another request because no other is left.
func TestLastForeignResponseIsDelivered(t *testing.T) {
	for name, c := range foreignResponses {
		for route := range repeatable {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				do := respondSigned(c.status, "other", c.header...)
				s, _, _ := newPair(t, do, do)
				r := s.call("/"+route+"/x", "Model: large")
				assertNotForeign(t, r)
				assert.Equal(t, r.status, http.StatusBadGateway)
			})
		}
	}
}

// Guards against a refusal without an id that is believed although an earlier request of
// the connection may have caused it, and against one that is not believed where only this
// request can have.
func TestRefusalWithoutID(t *testing.T) {
	for _, status := range []int{421, 503, 429, 400} {
		for route, repeats := range repeatable {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%s/reused %v", status, route, reused), func(t *testing.T) {
					t.Parallel()
					do := respondSigned(status, "", "Not-Run: 1")
					if reused {
						do = afterFirst(do)
					}
					s, _, b := newPair(t, do, good)
					if reused {
						assert.Equal(t, s.call("/safe/x", "Id: r0").header.Get("First"), "1")
					}
					r := s.call("/"+route+"/x", "Model: large")
					assertNotForeign(t, r)
					if repeats || !reused {
						assert.Equal(t, r.status, http.StatusOK, r.body)
						return
					}
					assert.Equal(t, r.status, http.StatusBadGateway)
					assert.Equal(t, len(b.received()), 0, "the request was sent again")
				})
			}
		}
	}
}

// Guards against a request without an id that is sent on a connection with earlier
// responses: none of them could be told from its own.
func TestRequestWithoutIDIsSentOnAReusedConnection(t *testing.T) {
	for route := range repeatable {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s, a, b := newPair(t, afterFirst(respondSigned(503, "", "Not-Run: 1")), good)
			assert.Equal(t, s.call("/safe/x", "Id: r0").header.Get("First"), "1")
			assert.Equal(t, s.call("/"+route+"/x", "Model: large", "Id: ").header.Get("First"), "1")
			assert.Equal(t, len(a.received()), 2)
			assert.Equal(t, len(b.received()), 0)
		})
	}
}

// Guards against an earlier refusal that is taken for the response to the same request,
// which a client has sent again with the same id.
func TestRefusalOfTheSameRequestIsBelieved(t *testing.T) {
	for route := range repeatable {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s, a, b := newPair(t, afterFirst(respond(503, "r1", "Not-Run: 1")), good)
			for range 2 {
				assert.Equal(t, s.call("/"+route+"/x", "Model: large").header.Get("First"), "1")
			}
			assert.Equal(t, len(a.received()), 2)
			assert.Equal(t, len(b.received()), 0)
		})
	}
}
