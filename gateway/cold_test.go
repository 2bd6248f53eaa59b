package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// limitCold sets a limit of which this VM, as the only one, may use a share of two requests
// a second.
func (s *system) limitCold() *system {
	s.book.SetColdLimits(map[string]placement.ColdLimit{"svc": {Start: 3 * time.Second, Bound: 4}})
	return s
}

// Guards against requests that reach a cold upstream beyond the share, although its answers
// say that it is cold, and against refusals that are late or without Retry-After.
func TestColdUpstreamGetsItsShare(t *testing.T) {
	for _, path := range kindsOfRoute {
		a := startUpstream(t, "a", events(3, lastChunk, "Cold: 2s"))
		s := newSystem(t, registration(a, "v1")).configure().limitCold()
		began := time.Now()
		for n := range 5 {
			reply := s.call(path, "Model: large")
			if n < 2 {
				assert.Equal(t, reply.status, http.StatusOK)
				continue
			}
			assert.Equal(t, reply.status, http.StatusServiceUnavailable)
			after, err := time.ParseDuration(reply.header.Get("Retry-After"))
			assert.NilError(t, err)
			assert.Assert(t, after >= 750*time.Millisecond && after <= 1500*time.Millisecond, "%v", after)
		}
		assert.Assert(t, time.Since(began) < 900*time.Millisecond)
		assert.Equal(t, len(a.received()), 2)
		fields := s.logs.FilterMessage("no upstream").All()[0].ContextMap()
		assert.Equal(t, fields["cold"], int64(1))
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, s.call(path, "Model: large").status, http.StatusOK)
	}
}

// Guards against requests that are refused, or charged to the retry budget, because the room
// at a cold upstream is taken while a warm one is there, also if the upstream becomes cold
// after the call was placed.
func TestWarmUpstreamTakesWhatAColdOneMayNot(t *testing.T) {
	s, a, b := newPreferred(t, events(3, lastChunk), events(3, lastChunk))
	s.limitCold()
	s.budget.left = 0
	preferred := registration(a, "v1")
	s.onLongPrompt = func() { s.book.RecordCold(preferred.Instance(), 2*time.Second, time.Now()) }
	for range 5 {
		assert.Equal(t, s.call("/stream/x", "Model: large", "Tokens: 100000").status, http.StatusOK)
	}
	assert.Equal(t, len(a.received())+len(b.received()), 5)
	assert.Assert(t, len(a.received()) <= 2)
}
