package entrytest

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// reachedBy calls one VM until an upstream has received another request.
func (s *System) reachedBy(vm *VM, u *standin.Upstream) {
	s.T.Helper()
	before := u.Total()
	s.Eventually("the upstream receives a request", func() bool {
		s.Call(vm, "/book/x", standin.Key)
		return u.Total() > before
	})
}

// Guards against a VM that sends requests to an upstream that has told another VM that
// it leaves, while its registration is still ready.
func TestUpstreamTellsOneVMThatItLeaves(t *testing.T) {
	s, desk := startSystem(t, 2)
	// The VMs prefer the faster upstream.
	desk[1].SetBehaviour(standin.Behaviour{ServiceTime: 100 * time.Millisecond})
	for _, vm := range s.VMs {
		s.reachedBy(vm, desk[0])
	}
	desk[0].SetBehaviour(standin.Behaviour{Leaving: true})
	s.reachedBy(s.VMs[0], desk[0])
	time.Sleep(time.Second)
	before := desk[0].Total()
	for range 20 {
		for _, vm := range s.VMs {
			assert.Assert(t, strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by d2"))
		}
	}
	assert.Equal(t, desk[0].Total(), before)
	// Each process has an address of its own, so this is a new one under the old ID.
	next, err := standin.ListenUpstream(s.Store, desk[0].ID, "desk", "v1", "z", plainService)
	assert.NilError(t, err)
	next.Register(next.Address())
	for _, vm := range s.VMs {
		s.reachedBy(vm, next)
	}
}

// Guards against a pause that keeps the VMs from an upstream that did not ask them for it,
// and against a refusal that tells its client to return before the pause ends.
func TestPauseIsForOneVM(t *testing.T) {
	s := New(t)
	desk := s.Upstream("d1", "desk", "v1", standin.Behaviour{Full: true, RetryAfter: 5 * time.Second})
	first, second := s.Start(), s.Start()
	time.Sleep(discoveryTime)
	for range 2 {
		a := s.Call(first, "/book/x", standin.Key)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 4 && after < 10, "%v s", after)
	}
	desk.SetBehaviour(plainService)
	time.Sleep(time.Second)
	assert.Equal(t, s.Call(first, "/book/x", standin.Key).Status, http.StatusServiceUnavailable)
	assert.Equal(t, s.Call(second, "/book/x", standin.Key).Status, http.StatusOK)
	assert.Equal(t, desk.Total(), 1)
}
