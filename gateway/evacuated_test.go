package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// inZone returns the registration of a fake upstream in an availability zone.
func inZone(u *upstream, release, zone string) placement.Upstream {
	r := registration(u, release)
	r.AvailabilityZone = zone
	return r
}

// Guards against a request that is written to a zone that is evacuated after its call was
// placed, and that then needs retry budget to be served elsewhere.
func TestCallIsWithdrawnFromEvacuatedZone(t *testing.T) {
	a, b := startUpstream(t, "a", events(3, lastChunk)), startUpstream(t, "b", events(3, lastChunk))
	s := newSystem(t, inZone(a, "v1", "x"), inZone(b, "v1", "y")).configure()
	s.budget.left = 0
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1000, PrefillSeconds: 100}}, time.Now())
	s.onLongPrompt = func() { s.book.SetEvacuated(map[string]bool{"x": true}, time.Now()) }
	assert.Equal(t, s.call("/stream/x", "Model: large", "Tokens: 100000").status, http.StatusOK)
	assert.Equal(t, len(a.received()), 0)
	assert.Equal(t, len(b.received()), 1)
}

// Guards against calls in an evacuated zone because a rollout to a release that runs only
// there is done, because it goes on, or because a session is on that release; and against
// requests that wait although no upstream may take them.
func TestRolloutPlacesNoCallInEvacuatedZone(t *testing.T) {
	for _, state := range []rollout.State{rollout.Running, rollout.Done} {
		a, b := startUpstream(t, "a", events(3, lastChunk)), startUpstream(t, "b", events(3, lastChunk))
		s := newSystem(t, inZone(a, "v1", "y"), inZone(b, "v2", "x")).configure()
		now := time.Now()
		s.rollouts.SetOrder(rollout.Order{Service: "svc", Release: "v2", Duration: time.Minute, Revision: 3}, now)
		s.rollouts.SetProgress(rollout.Progress{Service: "svc", Release: "v2", State: state, Order: 3}, 4, now)
		s.rollouts.Served("svc", "r1", "v2", now)
		s.book.SetEvacuated(map[string]bool{"x": true}, now)
		for _, path := range kindsOfRoute {
			reply := s.call(path, "Model: large")
			if state == rollout.Running {
				assert.Equal(t, reply.status, http.StatusOK)
				continue
			}
			assert.Equal(t, reply.status, http.StatusServiceUnavailable)
			assert.Assert(t, reply.header.Get("Retry-After") != "")
		}
		assert.Equal(t, len(b.received()), 0)
		assert.Assert(t, time.Since(now) < time.Second)
	}
}

// Guards against calls of a VM that was suspended and may lack an evacuation, also if the
// suspension lies between the choice of the upstream and the write.
func TestOutdatedOrdersMakeNoCalls(t *testing.T) {
	a := startUpstream(t, "a", events(3, lastChunk))
	s := newSystem(t, registration(a, "v1"))
	var outdated atomic.Bool
	s.restart(gateway.Options{Outdated: func(time.Time) bool { return outdated.Load() }}).configure()
	s.onLongPrompt = func() { outdated.Store(true) }
	for range 2 {
		reply := s.call("/stream/x", "Model: large", "Tokens: 100000")
		assert.Equal(t, reply.status, http.StatusServiceUnavailable)
		assert.Assert(t, reply.header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(a.received()), 0)
	s.onLongPrompt = nil
	outdated.Store(false)
	assert.Equal(t, s.call("/stream/x").status, http.StatusOK)
}
