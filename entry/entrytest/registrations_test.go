package entrytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// registrationOf returns a registration with one member replaced, or removed if value
// is nil.
func registrationOf(service, address, member string, value any) map[string]any {
	r := map[string]any{"Service": service, "Address": address, "Zone": "z", "Version": "v1", "Slots": 64, "State": "ready", "born": 1}
	r[member] = value
	if value == nil {
		delete(r, member)
	}
	return r
}

// Guards against requests that are refused because their sends are used up by
// upstreams whose registrations name no usable address.
func TestUnusableRegistrationsUseUpTheSends(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	desk := s.Upstream("d1", "desk", "v1", standin.Behaviour{ServiceTime: 20 * time.Millisecond})
	for i, port := range []string{"99999", "0", "-1", "http", "", "65536", "99998", "99997"} {
		s.Store.Put("servers", fmt.Sprintf("odd%d", i), registrationOf("desk", "127.0.0.1:"+port, "Slots", 1<<40))
	}
	vm := s.Start()
	for range 10 {
		a := s.Call(vm, "/book/x", standin.Key)
		assert.Check(t, a.Status == http.StatusOK, "%+v", a)
	}
	assert.Equal(t, desk.Total(), 10)
}

// Guards against sessions that are kept from a new release because registrations
// without a release count as upstreams of the old one.
func TestRegistrationsWithoutAReleaseHoldBackARollout(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	s.Upstream("m2", "model", "v2", streamingService)
	for i := range 20 {
		s.Store.Put("servers", fmt.Sprintf("odd%d", i), registrationOf("model", "127.0.0.1:9", "Version", nil))
	}
	vm := s.Start()
	const duration = 6 * time.Second
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", duration.Seconds()))
	ordered := time.Now()
	// By schedule half to all of the sessions move in this part of the duration.
	time.Sleep(duration * 60 / 100)
	moved, calls := 0, 0
	for ; time.Since(ordered) < duration*66/100; calls++ {
		if a := s.Call(vm, "/stream/x", standin.Key); standin.AnsweredBy(a.Header) == "m2" {
			moved++
		}
	}
	assert.Assert(t, calls > 0 && moved >= calls/3, "%d of %d sessions on the new release", moved, calls)
}
