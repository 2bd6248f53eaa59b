package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// Guards against a request that is refused for want of retry budget although its call was
// withdrawn before it was written and another upstream can take it.
func TestWithdrawnCallNeedsNoRetryBudget(t *testing.T) {
	s, a, b := newPair(t, events(3, lastChunk), events(3, lastChunk))
	s.budget.left = 0
	draining := registration(a, "v1")
	draining.Draining = true
	s.onLongPrompt = func() {
		s.book.SetUpstreams([]placement.Upstream{draining, registration(b, "v1")}, time.Now(), time.Now())
	}
	assert.Equal(t, s.call("/stream/x", "Model: large", "Tokens: 100000").status, http.StatusOK)
	assert.Equal(t, len(a.received()), 0)
	assert.Equal(t, len(b.received()), 1)
}

// Guards against a request that is refused because the retry budget is empty, although its
// only call found no process at the upstream and so reached none.
func TestRefusedConnectionUsesTheRetryBudget(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/unsafe/x"} {
		gone := startUpstream(t, "gone", answer(200, "gone"))
		good := startUpstream(t, "good", events(3, lastChunk))
		ended := registration(gone, "v1")
		ended.Address = "127.0.0.1:1"
		s := newSystem(t, ended, registration(good, "v1")).configure()
		s.budget.left = 0
		s.book.SetPeer("p", map[string]placement.Load{"good": {Calls: 4, PrefillSeconds: 1}}, time.Now())
		reply := s.call(path)
		assert.Assert(t, reply.complete && reply.status == 200, "%s: %d %q", path, reply.status, reply.body)
		assert.Equal(t, len(good.received()), 1)
	}
}
