package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// framing is how a response says where its body ends.
type framing struct {
	version, header string
	chunked         bool
	// lastChunk ends a chunked body.
	lastChunk string
	// unframed is set if only the end of the connection ends the body.
	unframed bool
	// newline replaces the line ending of the header, if it is not empty.
	newline string
}

var framings = map[string]framing{
	"length":          {version: "1.1", header: "Content-Length: {length}\r\n"},
	"length, bare LF": {version: "1.1", header: "Content-Length: {length}\r\n", newline: "\n"},
	"chunks":          {version: "1.1", header: "Transfer-Encoding: chunked\r\n", chunked: true, lastChunk: lastChunk},
	"chunks, trailer": {version: "1.1", header: "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n", chunked: true, lastChunk: "0\r\nT: v\r\n\r\n"},
	"none":            {version: "1.1", header: "Connection: close\r\n", unframed: true},
	"none, 1.0":       {version: "1.0", unframed: true},
}

// isStreamRoute reports whether a route of newSystem streams its responses.
func isStreamRoute(route string) bool { return route == "stream" || route == "once" }

// payload returns the parts of the body that upstreams send on a route.
func payload(route string) []string {
	if isStreamRoute(route) {
		return []string{"id: 1\ndata: large-1\n\n", "id: 2\ndata: large-2\n\n"}
	}
	return []string{"good"}
}

// response returns the head and the body of a response to the request with an id.
func (f framing) response(route, id string) (head, body string) {
	whole := strings.Join(payload(route), "")
	head = "HTTP/" + f.version + " 200 OK\r\nId: " + id + "\r\nSignature: s\r\n" + strings.ReplaceAll(f.header, "{length}", fmt.Sprint(len(whole))) + "\r\n"
	if f.newline != "" {
		head = strings.ReplaceAll(head, "\r\n", f.newline)
	}
	if !f.chunked {
		return head, whole
	}
	var out strings.Builder
	for _, part := range payload(route) {
		chunk(&out, part)
	}
	return head, out.String() + f.lastChunk
}

// cutPair is a system with two upstreams, of which the first one cuts its responses.
type cutPair struct {
	*system
	framing
	route string
	reset bool
	a, b  *upstream
	// cut is the number of bytes after which the first upstream cuts a response.
	cut atomic.Int64
}

func newCutPair(t *testing.T, f framing, route string, reset bool) *cutPair {
	p := &cutPair{framing: f, route: route, reset: reset}
	cut := func(r *http.Request, w io.Writer) bool {
		head, body := f.response(route, r.Header.Get("Id"))
		whole := head + body
		// A call of another test may arrive whose upstream had the same port before; its
		// id is shorter.
		_, _ = io.WriteString(w, whole[:min(int(p.cut.Load()), len(whole))])
		if reset {
			_ = w.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
	// The second upstream has one event more, so that it can continue a stream.
	p.system, p.a, p.b = newPair(t, cut, func(r *http.Request, w io.Writer) bool {
		if isStreamRoute(route) {
			return events(len(payload(route))+1, lastChunk)(r, w)
		}
		return good(r, w)
	})
	return p
}

// try sends a request whose first response is cut after a number of bytes. A busy computer
// may delay a connection until the second upstream is chosen; the request is then sent again.
func (p *cutPair) try(cut int) trial {
	p.t.Helper()
	p.cut.Store(int64(cut))
	for range 50 {
		c := trial{id: newID(), a: p.a, b: p.b}
		// Upstreams with new names have not failed yet.
		a, b := registration(p.a, "v1"), registration(p.b, "v1")
		a.ID, b.ID = "a"+c.id, "b"+c.id
		p.book.SetUpstreams([]placement.Upstream{a, b}, time.Now(), time.Now())
		p.book.SetPeer("p", map[string]placement.Load{b.ID: {Calls: 1, PrefillSeconds: 60}}, time.Now())
		p.budget.left = 100
		c.reply = p.call("/"+p.route+"/x", "Model: large", "Id: "+c.id)
		if c.sentTo(p.a) == 1 {
			return c
		}
	}
	p.t.Fatal("the first upstream was not asked")
	return trial{}
}

// looksWhole reports whether a client takes the response for a whole success.
func (r reply) looksWhole() bool { return r.complete && r.status >= 200 && r.status < 300 }

// fault returns what is wrong with the response to a request whose first response was cut,
// or "".
func (p *cutPair) fault(r trial, cut int) string {
	head, body := p.response(p.route, r.id)
	whole := strings.Join(payload(p.route), "")
	replaced := whole
	if isStreamRoute(p.route) {
		replaced += "id: 3\ndata: large-3\n\n"
	}
	sent := body[:max(0, cut-len(head))]
	proved := !p.unframed && cut == len(head)+len(body)
	// A clean close cannot be told from the end of the response, but the client must not be
	// told more. A stream ends after a whole event.
	unproved := p.unframed && !p.reset && sent != "" && (!isStreamRoute(p.route) || strings.HasSuffix(sent, "\n\n"))
	repeats := repeatable[p.route]
	switch {
	case r.looksWhole() && proved && (r.body != whole || !r.framed):
		return "another response than the one that was sent"
	case r.looksWhole() && unproved && (r.body != sent || r.framed):
		return "the client is told more than is known"
	case r.looksWhole() && !proved && !unproved && !(repeats && r.body == replaced):
		return "a cut response looks whole"
	case r.looksWhole() != (repeats || proved || unproved):
		return "not delivered"
	case impliesNotRun(r.status) || !repeats && r.sentTo(p.b) != 0:
		return "another call, or a promise that there was none"
	}
	return ""
}

// impliesNotRun reports whether a client takes the status for the promise that its request
// was not run.
func impliesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// Guards against a response that ends early and looks complete to the client.
func TestCutResponseLooksWhole(t *testing.T) {
	for name, f := range framings {
		for route := range repeatable {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %v", name, route, reset), func(t *testing.T) {
					t.Parallel()
					p := newCutPair(t, f, route, reset)
					head, body := f.response(route, newID())
					for cut := range len(head) + len(body) + 1 {
						r := p.try(cut)
						if fault := p.fault(r, cut); fault != "" {
							t.Errorf("cut after %d of %d+%d bytes: %s: %d %q, framed %v, whole %v", cut, len(head), len(body), fault, r.status, r.body, r.framed, r.looksWhole())
						}
					}
				})
			}
		}
	}
}

// Guards against odd statements of the length that make a response look whole.
func TestOddFramingLooksWhole(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n"
	const oldStart = "HTTP/1.0 200 OK\r\nId: {id}\r\nSignature: s\r\n"
	chunked := func(route string) string {
		_, body := framings["chunks"].response(route, "")
		return body
	}
	plain := func(route string) string { return strings.Join(payload(route), "") }
	for name, c := range map[string]struct {
		head string
		body func(route string) string
	}{
		"two lengths":             {start + "Content-Length: 4\r\nContent-Length: 3\r\n\r\n", plain},
		"two lengths in a field":  {start + "Content-Length: 4, 3\r\n\r\n", plain},
		"length is no number":     {start + "Content-Length: all\r\n\r\n", plain},
		"length is negative":      {start + "Content-Length: -1\r\n\r\n", plain},
		"length has a sign":       {start + "Content-Length: +4\r\n\r\n", plain},
		"unknown coding":          {start + "Transfer-Encoding: other\r\n\r\n", plain},
		"identity":                {start + "Transfer-Encoding: identity\r\n\r\n", plain},
		"coding before chunks":    {start + "Transfer-Encoding: gzip, chunked\r\n\r\n", chunked},
		"coding after chunks":     {start + "Transfer-Encoding: chunked, gzip\r\n\r\n", chunked},
		"two codings":             {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", chunked},
		"chunks in HTTP/1.0":      {oldStart + "Transfer-Encoding: chunked\r\n\r\n", chunked},
		"chunks, length, 1.0":     {oldStart + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", plain},
		"interim response only":   {"HTTP/1.1 103 X\r\nId: {id}\r\nSignature: s\r\n\r\n", func(string) string { return "" }},
		"chunk size is no number": {start + "Transfer-Encoding: chunked\r\n\r\n", func(route string) string { return "x" + chunked(route) }},
	} {
		for route, repeats := range repeatable {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				text := c.head + c.body(route)
				r := try(t, route, false, func(r *http.Request, w io.Writer) bool {
					raw(text)(r, w)
					return false
				})
				assert.Equal(t, r.looksWhole(), repeats, "%d %q", r.status, r.body)
				if repeats {
					assert.Equal(t, r.body, plain(route))
					return
				}
				assert.Equal(t, r.sentTo(r.b), 0, "sent again")
			})
		}
	}
}

// Guards against a response whose body does not come and that looks whole.
func TestSilenceAfterTheHeaderLooksWhole(t *testing.T) {
	for name, f := range framings {
		for route := range repeatable {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				var a *upstream
				a = startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
					head, _ := f.response(route, r.Header.Get("Id"))
					_, _ = io.WriteString(w, head)
					a.hang(w)
					return false
				})
				r := newSystem(t, registration(a, "v1")).configure().call("/"+route+"/x", "Model: large", "Patience: 300")
				assert.Equal(t, r.status, http.StatusGatewayTimeout)
			})
		}
	}
}

// Guards against a stream that the client receives in chunks and that looks whole although
// the upstream that continued it without a length or chunks reset its connection or ended
// inside an event, and against a whole one that looks broken.
func TestUnprovedContinuationLooksWhole(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		rest         string
		reset, whole bool
	}{
		"after an event":         {"", false, true},
		"inside an event":        {"id: 4\nda", false, false},
		"reset after an event":   {"", true, false},
		"reset inside an event":  {"id: 4\nda", true, false},
		"inside an event's end":  {"id: 4\ndata: large-4\n", false, false},
		"after a comment's line": {":x\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n\r\nid: 3\ndata: large-3\n\n" + c.rest
			s, _, b := newPair(t, events(2, ""), func(r *http.Request, w io.Writer) bool {
				raw(text)(r, w)
				if c.reset {
					time.Sleep(50 * time.Millisecond) // the event is read before the reset
					assert.Check(t, w.(*net.TCPConn).SetLinger(0))
				}
				return false
			})
			s.budget.left = 1
			r := s.call("/stream/x", "Model: large", "Id: "+newID())
			assert.Equal(t, len(b.received()), 1)
			assert.Assert(t, r.framed && strings.Contains(r.body, "large-3"), "%+v", r)
			assert.Equal(t, r.looksWhole(), c.whole, "%q", r.body)
		})
	}
}

// Guards against a broken stream that looks whole to a client whose protocol has no chunks,
// and against a whole one that looks broken.
func TestBrokenStreamLooksWholeToAnOldClient(t *testing.T) {
	for rest, whole := range map[string]bool{"": false, lastChunk: true} {
		a := startUpstream(t, "a", events(2, rest))
		s := newSystem(t, registration(a, "v1")).configure()
		conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.0\r\nHost: h\r\nKey: key\r\nId: r1\r\nModel: large\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		resp, err := io.ReadAll(conn)
		assert.NilError(t, conn.Close())
		assert.Equal(t, err == nil, whole, "%q, %v", resp, err)
		assert.Assert(t, strings.HasSuffix(string(resp), strings.Join(payload("once"), "")), "%q", resp)
	}
}

// Guards against a response to HEAD that states another length than the upstream.
func TestLengthOfHeadIsLost(t *testing.T) {
	for header, want := range map[string]int64{"Content-Length: 800\r\n": 800, "Content-Length: 0\r\n": 0, "Connection: close\r\n": -1} {
		a := startUpstream(t, "a", raw("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n"+header+"\r\n"))
		s := newSystem(t, registration(a, "v1")).configure()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, s.url+"/safe/x", http.NoBody)
		assert.NilError(t, err)
		req.Host, req.Close, req.Header = "h", true, http.Header{"Id": {"r1"}, "Key": {"key"}}
		resp, err := (&http.Transport{}).RoundTrip(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.ContentLength, want, header)
	}
}

// Guards against a line of a response that ended early from which it cannot be seen what
// should have ended it.
func TestFramingIsInNoLine(t *testing.T) {
	for _, c := range []struct{ framing, route, event, want string }{
		{"length", "unsafe", "broken answer", "length"},
		{"chunks", "unsafe", "broken answer", "chunks"},
		{"none", "unsafe", "unframed answer", ""},
		{"chunks", "once", "stream broke", "chunks"},
		{"none, 1.0", "once", "stream broke", "end of connection"},
	} {
		t.Run(c.framing+"/"+c.route, func(t *testing.T) {
			p := newCutPair(t, framings[c.framing], c.route, false)
			head, body := p.response(c.route, newID())
			p.try(len(head) + len(body) - 1)
			var seen []string
			for _, line := range p.logs.FilterField(zap.String("event", c.event)).All() {
				framing, _ := line.ContextMap()["framing"].(string)
				seen = append(seen, framing)
			}
			assert.DeepEqual(t, seen, []string{c.want})
		})
	}
}
