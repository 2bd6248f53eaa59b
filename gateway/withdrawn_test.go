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
