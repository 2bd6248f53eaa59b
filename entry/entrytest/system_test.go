package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

var plainService = standin.Behaviour{}

var streamingService = standin.Behaviour{Events: 5, Confidence: 100}

// Tests requests end to end: routing, API keys, model choice, streams and bookings.
// Guards against a new configuration that is not in force on every VM within 2 s,
// and against VMs that each read it from the store, because every call to the store
// is paid for.
func TestWholePath(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	other := s.Upstream("e1", "desk2", "v1", plainService)
	s.Upstream("m1", "model", "v1", streamingService)
	var vms []*VM
	for range 4 {
		vms = append(vms, s.Start())
	}
	for _, vm := range vms {
		a := s.Call(vm, "/stream/x", standin.Key)
		assert.Assert(t, a.Complete && strings.Count(a.Body, "data: small") == 5, "%+v", a)
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by d1")
		assert.Equal(t, s.Call(vm, "/book/x", "wrong").Status, http.StatusUnauthorized)
		assert.Equal(t, s.Call(vm, "/none/x", standin.Key).Status, http.StatusNotFound)
	}
	before := s.Store.Calls("rows-feed")
	requireInForce := func(version int, service, upstream string) {
		t.Helper()
		s.Configure(version, service)
		changed := time.Now()
		for _, vm := range vms {
			s.Eventually("the new version is in force", func() bool { return strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by "+upstream) })
		}
		assert.Assert(t, time.Since(changed) < 2*time.Second, "took %v", time.Since(changed))
	}
	requireInForce(2, "desk2", "e1")
	assert.Assert(t, other.Total() >= 4)
	// At most two of the four VMs read each of the three tables from the store.
	assert.Assert(t, s.Store.Calls("rows-feed")-before <= 6, "%d calls", s.Store.Calls("rows-feed")-before)
	// At its start each VM has read the tables itself; the first change ends those
	// calls. The next change reaches two of the VMs through their peers only.
	time.Sleep(time.Second)
	requireInForce(3, "desk", "d1")
}

// Guards against several VMs of a zone reading each registration from the store,
// because every call to the store is paid for. One call per registration must reach
// all VMs of the zone.
func TestRegistrationCostsOneCall(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	var vms []*VM
	for range 4 {
		vms = append(vms, s.Start())
	}
	time.Sleep(2 * time.Second) // until all VMs have discovered each other
	before, calls, begun := s.Store.Deliveries("servers"), s.Store.Calls("rows-feed"), time.Now()
	const registrations = 3
	for i := range registrations {
		s.Upstream(fmt.Sprintf("m%d", i), "model", "v1", streamingService)
		time.Sleep(time.Second)
	}
	assert.Assert(t, s.Store.Deliveries("servers")-before <= registrations, "%d replies", s.Store.Deliveries("servers")-before)
	// The other calls confirm the copies: one VM reads the orders and the registrations,
	// each once in 1.1 s, and one the progress of rollouts once in 2.5 s. A call of each
	// reader may begin or end within the interval.
	seconds := time.Since(begun).Seconds()
	confirmations := 2*(seconds/1.1+1) + seconds/2.5 + 1
	assert.Assert(t, float64(s.Store.Calls("rows-feed")-calls) <= confirmations+registrations, "%d calls", s.Store.Calls("rows-feed")-calls)
	for _, vm := range vms {
		assert.Equal(t, s.Call(vm, "/stream/x", standin.Key).Status, http.StatusOK)
	}
}

// Guards against requests that are sent to an upstream more than one second after
// it has registered as draining.
func TestDrainingUpstreamGetsNothing(t *testing.T) {
	s := New(t)
	d1, d2 := s.Upstream("d1", "desk", "v1", plainService), s.Upstream("d2", "desk", "v1", plainService)
	vm := s.Start()
	for range 10 {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Status, 200)
	}
	if d1.Total() < d2.Total() {
		d1, d2 = d2, d1
	}
	// The upstream that drains must be the one that the VM prefers.
	d1.Drain()
	time.Sleep(time.Second)
	before, others := d1.Total(), d2.Total()
	for range 10 {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Status, 200)
	}
	assert.Equal(t, d1.Total(), before)
	assert.Assert(t, d2.Total() >= others+10)
}

// Guards against requests that fail while the store is down, and against a VM that
// cannot start then although its peers have the configuration.
func TestStoreIsAway(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	vm := s.Start()
	s.Store.SetFault(standin.Fault{Down: true})
	assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Status, 200)
	late := s.Start()
	assert.Equal(t, s.Call(late, "/book/x", standin.Key).Status, 200)
}

// Guards against a rollout of a good release that does not serve on every VM by the
// end of its duration because the store's answers to writes are lost.
func TestGoodRolloutIsDoneInTime(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	vms := []*VM{s.Start(), s.Start()}
	s.Store.SetFault(standin.Fault{LoseWrites: true})
	m2 := s.Upstream("m2", "model", "v2", streamingService)
	const seconds = 6
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", seconds))
	ordered := time.Now()
	state := func() string { return string(s.Store.Get("status", "rollout/model")) }
	for i := 0; !strings.Contains(state(), "done"); i++ {
		assert.Assert(t, time.Since(ordered) < seconds*time.Second, "state %s", state())
		assert.Assert(t, s.Call(vms[i%2], "/stream/x", standin.Key).Complete)
		time.Sleep(10 * time.Millisecond)
	}
	for _, vm := range vms {
		before := m2.Total()
		s.Eventually("the new release serves", func() bool {
			s.Call(vm, "/stream/x", standin.Key)
			return m2.Total() > before
		})
	}
}

// Guards against a failing release that is not rolled back or that receives many
// requests, and against its failures reaching clients on a route whose requests may
// be retried.
func TestBadRolloutIsRolledBack(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", streamingService)
	vm := s.Start()
	m2 := s.Upstream("m2", "model", "v2", standin.Behaviour{Fail: true})
	s.Store.Put("op", "rollout/model", standin.Rollout("model", "v2", 20))
	for deadline := time.Now().Add(15 * time.Second); !strings.Contains(string(s.Store.Get("status", "rollout/model")), "rolled_back"); {
		assert.Assert(t, time.Now().Before(deadline), "not rolled back after %d failures", m2.Total())
		assert.Equal(t, s.Call(vm, "/stream/x", standin.Key).Status, 200)
	}
	assert.Assert(t, m2.Total() < 30, "%d failures", m2.Total())
	before := m2.Total()
	for range 50 {
		s.Call(vm, "/stream/x", standin.Key)
	}
	assert.Equal(t, m2.Total(), before)
}

// Guards against a VM that misses a change because the store has dropped the history
// from which the VM would resume.
func TestHistoryIsDropped(t *testing.T) {
	s := New(t)
	s.Upstream("d1", "desk", "v1", plainService)
	s.Upstream("e1", "desk2", "v1", plainService)
	vm := s.Start()
	s.Configure(2, "desk2")
	s.Store.Compact()
	s.Eventually("the new version is in force", func() bool { return strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by e1") })
}

// Guards against a planned stop that does not fail readiness at once, that breaks a
// stream in progress or that ends with an error.
func TestPlannedStop(t *testing.T) {
	s := New(t)
	s.Upstream("m1", "model", "v1", standin.Behaviour{Events: 20, EventEvery: 50 * time.Millisecond, Confidence: 100})
	vm := s.Start()
	got := make(chan Answer)
	go func() { got <- s.Call(vm, "/stream/x", standin.Key) }()
	time.Sleep(200 * time.Millisecond)
	vm.Stop()
	s.Eventually("the VM is not ready", func() bool { return !vm.Ready() })
	a := <-got
	assert.Assert(t, a.Complete && strings.Count(a.Body, "id: ") == 20, "%+v", a)
	assert.NilError(t, vm.Wait())
}
