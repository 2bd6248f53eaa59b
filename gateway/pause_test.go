package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/knownred"
	"github.com/savoryshift/savoryshift/placement"
)

// pausing returns a script that streams events up to number last and pauses before the
// event after number at.
func pausing(at, last int, pause time.Duration) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s-%s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), r.Header.Get("Upstream"))
		for i := 1; i <= last; i++ {
			if i == at+1 {
				time.Sleep(pause)
			}
			chunk(w, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Model"), i))
		}
		fmt.Fprint(w, lastChunk)
		return true
	}
}

// hesitating returns a script that pauses before it responds.
func hesitating(pause time.Duration, do script) script {
	return func(r *http.Request, w io.Writer) bool {
		time.Sleep(pause)
		return do(r, w)
	}
}

// newPair starts a system with two upstreams, of which placement chooses the first one.
func newPair(t *testing.T, first, second script) (s *system, a, b *upstream) {
	t.Helper()
	a, b = startUpstream(t, "a", first), startUpstream(t, "b", second)
	s = newSystem(t, registration(a, "v1"), registration(b, "v1")).configure()
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1, PrefillSeconds: 1}}, time.Now())
	return s, a, b
}

// noReplacement lists the reasons for which no other upstream takes over a call.
var noReplacement = map[string]struct {
	budget int
	second script
}{
	"retry budget empty": {0, events(6, lastChunk)},
	"others refuse":      {100, answer(http.StatusServiceUnavailable, "", "Not-Run: 1")},
	"others fail":        {100, answer(http.StatusInternalServerError, "")},
}

// Guards against a stream that is broken because its sound upstream pauses.
func TestPausedStreamIsBroken(t *testing.T) {
	for name, c := range noReplacement {
		for _, pause := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 2200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				t.Parallel()
				knownred.SkipListed(t, "gateway")
				s, _, _ := newPair(t, pausing(2, 6, pause), c.second)
				s.budget.left = c.budget
				r := s.call("/stream/x", "Model: large")
				assert.Assert(t, r.complete, "the stream was broken after %q", r.body)
				assert.DeepEqual(t, eventIDs(r.body), []string{"1", "2", "3", "4", "5", "6"})
			})
		}
	}
}

// Guards against a request that fails because its sound upstream pauses before the
// first event.
func TestPauseBeforeTheFirstEventFailsTheRequest(t *testing.T) {
	for name, c := range noReplacement {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			knownred.SkipListed(t, "gateway")
			s, _, _ := newPair(t, hesitating(2500*time.Millisecond, events(6, lastChunk)), c.second)
			s.budget.left = c.budget
			r := s.call("/stream/x", "Model: large")
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Assert(t, r.complete)
		})
	}
}

// Guards against an answer that is dropped for the larger model before any upstream has
// accepted that call.
func TestAnswerIsDroppedForARefusal(t *testing.T) {
	knownred.SkipListed(t, "gateway")
	a := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("Model") == "large" {
			return answer(http.StatusServiceUnavailable, "", "Not-Run: 1")(r, w)
		}
		return events(3, lastChunk, "Confidence: 0")(r, w)
	})
	r := newSystem(t, registration(a, "v1")).configure().call("/stream/x", "Model: any", "Tokens: 100")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.DeepEqual(t, eventIDs(r.body), []string{"1", "2", "3"})
}
