package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// streamed returns a script that streams the events with the given IDs.
func streamed(contentType string, ids ...int) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), contentType)
		for _, id := range ids {
			chunk(w, fmt.Sprintf("id: %d\ndata: odd-%d\n\n", id, id))
		}
		fmt.Fprint(w, lastChunk)
		return true
	}
}

const eventStream = "text/event-stream"

// broken returns a script that streams events 1 to 3 and breaks off.
func broken(r *http.Request, w io.Writer) bool {
	return events(3, "", "Content-Type: "+eventStream)(r, w)
}

// oddContinuations lists responses to a stream that is resumed after event 3. Nothing of
// them may reach the client.
var oddContinuations = map[string]script{
	"no events":               streamed(eventStream),
	"no body":                 answer(http.StatusOK, "", "Content-Type: "+eventStream),
	"plain text":              answer(http.StatusOK, "id: 4\ndata: odd\n\n", "Content-Type: text/plain"),
	"text as events":          answer(http.StatusOK, "odd\n\n", "Content-Type: "+eventStream),
	"text without an end":     answer(http.StatusOK, "odd", "Content-Type: "+eventStream),
	"JSON":                    answer(http.StatusOK, `{"odd":1}`+"\n\n", "Content-Type: application/json"),
	"data without an ID":      answer(http.StatusOK, "data: odd\n\n", "Content-Type: "+eventStream),
	"an ID that is no number": answer(http.StatusOK, "id: four\ndata: odd\n\n", "Content-Type: "+eventStream),
	"204":                     answer(http.StatusNoContent, ""),
	"206":                     answer(http.StatusPartialContent, "id: 4\ndata: odd\n\n", "Content-Type: "+eventStream),
	"from the first event":    streamed(eventStream, 1, 2, 3, 4, 5, 6),
	"the last event again":    streamed(eventStream, 3, 4, 5, 6),
	"an event missing":        streamed(eventStream, 5, 6),
	"500":                     answer(http.StatusInternalServerError, "odd"),
	"503":                     answer(http.StatusServiceUnavailable, "odd"),
	"404":                     answer(http.StatusNotFound, "odd"),
	"302":                     answer(http.StatusFound, "odd"),
	"an error in an event":    answer(http.StatusInternalServerError, "id: 4\ndata: odd\n\n", "Content-Type: "+eventStream),
}

// Guards against a resumed stream that ends as complete, or has foreign text in it, after
// an odd response of the next upstream.
func TestOddContinuationReachesTheClient(t *testing.T) {
	for name, odd := range oddContinuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, b := newPair(t, broken, odd)
			r := s.call("/stream/x", "Model: large")
			assert.Assert(t, !r.complete, "%q", r.body)
			assert.DeepEqual(t, eventIDs(r.body), []string{"1", "2", "3"})
			assert.Assert(t, !strings.Contains(r.body, "odd") && !strings.Contains(r.body, "HTTP/1.1"), "%q", r.body)
			assert.Assert(t, len(b.received()) > 0)
		})
	}
}

// Guards against a stream that is given up after an odd response although another
// upstream can continue it.
func TestStreamContinuesAfterAnOddContinuation(t *testing.T) {
	for name, odd := range oddContinuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a, b := newPair(t, broken, odd)
			c := startUpstream(t, "c", events(6, lastChunk, "Content-Type: "+eventStream))
			s.book.SetUpstreams([]placement.Upstream{registration(a, "v1"), registration(b, "v1"), registration(c, "v1")}, time.Now(), time.Now())
			s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1, PrefillSeconds: 1}, "c": {Calls: 1, PrefillSeconds: 2}}, time.Now())
			r := s.call("/stream/x", "Model: large")
			assert.Assert(t, r.complete, "%q", r.body)
			assert.DeepEqual(t, eventIDs(r.body), []string{"1", "2", "3", "4", "5", "6"})
			assert.Assert(t, !strings.Contains(r.body, "odd"), "%q", r.body)
		})
	}
}

// Guards against a silent stream that is replaced by an odd response.
func TestOddContinuationReplacesASilentStream(t *testing.T) {
	for name, odd := range oddContinuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _ := newPair(t, pausing(3, 6, 1500*time.Millisecond), odd)
			r := s.call("/stream/x", "Model: large")
			assert.Assert(t, !strings.Contains(r.body, "odd"), "%q", r.body)
			if r.complete {
				assert.DeepEqual(t, eventIDs(r.body), []string{"1", "2", "3", "4", "5", "6"})
			}
		})
	}
}

// Guards against events that are delivered twice to a client that resumes a stream itself.
func TestClientThatResumesGetsEarlierEvents(t *testing.T) {
	a := startUpstream(t, "a", streamed(eventStream, 1, 2, 3, 4))
	r := newSystem(t, registration(a, "v1")).configure().call("/stream/x", "Model: large", "Last: 3")
	assert.Equal(t, len(eventIDs(r.body)), 0, "%q", r.body)
	assert.Equal(t, r.status, http.StatusBadGateway)
}

// unframedEvents returns a script that streams the events up to number last without a
// length or chunks, beginning after the event in the Last header, and then rest.
func unframedEvents(last int, rest string) script {
	return func(r *http.Request, w io.Writer) bool {
		from := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last"), "%d", &from)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nConnection: close\r\n\r\n", r.Header.Get("Id"))
		for i := from + 1; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Model"), i)
		}
		fmt.Fprint(w, rest)
		return false
	}
}

// Guards against a whole stream that is broken because the upstream that finished it sent
// neither a length nor chunks, and against one that ended inside an event and looks whole.
func TestUnframedContinuationIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		first, second script
		complete      bool
	}{
		"chunks, then unframed":               {events(2, ""), unframedEvents(4, ""), true},
		"unframed, then chunks":               {unframedEvents(2, "id: 3\nda"), events(4, lastChunk), true},
		"unframed, then unframed":             {unframedEvents(2, "id: 3\nda"), unframedEvents(4, ""), true},
		"unframed":                            {unframedEvents(4, ""), unframedEvents(4, ""), true},
		"chunks, then unframed that ends":     {events(2, ""), unframedEvents(2, "id: 3\ndata: sm"), false},
		"unframed, then unframed that ends":   {unframedEvents(2, "id: 3\nda"), unframedEvents(3, "id: 4\n"), false},
		"chunks, then unframed with no event": {events(2, ""), unframedEvents(2, ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, _ := newPair(t, c.first, c.second)
			reply := s.call("/twice/x", "Model: small")
			assert.Equal(t, reply.status, 200)
			assert.Equal(t, reply.complete, c.complete, "%q", reply.body)
			if c.complete {
				assert.Equal(t, reply.body, "id: 1\ndata: small-1\n\nid: 2\ndata: small-2\n\nid: 3\ndata: small-3\n\nid: 4\ndata: small-4\n\n")
			}
			assert.Assert(t, strings.HasSuffix(reply.body, "\n\n"), "%q", reply.body)
		})
	}
}

// Guards against an event that its client gets late, or not at all, because the upstream sent
// the beginning of the next one with it.
func TestEventWaitsForTheRestOfTheNextOne(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		a := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			chunk(w, "id: 1\ndata: one"+end+"id: 2\nda")
			time.Sleep(700 * time.Millisecond)
			chunk(w, "ta: two"+end)
			fmt.Fprint(w, lastChunk)
			return true
		})
		s := newSystem(t, registration(a, "v1")).configure()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/stream/x", strings.NewReader("body"))
		assert.NilError(t, err)
		req.Host, req.Close, req.Header = "h", true, http.Header{"Id": {"r1"}, "Key": {"key"}}
		begun := time.Now()
		resp, err := (&http.Transport{}).RoundTrip(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		first := make([]byte, len("id: 1\ndata: one"+end))
		_, err = io.ReadFull(resp.Body, first)
		assert.NilError(t, err)
		assert.Check(t, time.Since(begun) < 350*time.Millisecond, "after %v", time.Since(begun))
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "id: 2\ndata: two"+end)
	}
}
