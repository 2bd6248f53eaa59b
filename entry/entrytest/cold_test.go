package entrytest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// Guards against VMs that together send a cold upstream more than the bound: one that starts
// during traffic, and one whose zone was taken back; while clients retry without a pause and nothing else is left, and while a VM
// starts. Guards also against requests that are refused once the upstream is warm.
func TestColdUpstreamIsNotOverrun(t *testing.T) {
	const (
		coldStart = 4 * time.Second
		bound     = 2*1.5 + 5
	)
	s := New(t)
	s.Bounds = func(b *platform.Bounds) { b.ColdRatio, b.ColdSlack = 1.5, 5 }
	s.Store.Put("op", "config", standin.ColdConfiguration(2, "desk", coldStart, 2))
	first := startIn(t, s, "d1", "x")
	for range 3 {
		s.Start()
	}
	time.Sleep(discoveryTime + 2*time.Second) // the rosters are complete
	for range 10 {
		assert.Equal(t, s.Call(s.VMs[0], "/look/x", standin.Key).Status, http.StatusOK)
	}

	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	refused, served := 0, 0
	observe := func(u *standin.Upstream, id string) {
		u.Observe(func(standin.Run) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[id] = append(arrivals[id], time.Now())
		})
	}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	clientCount := 0
	press := func(vm *VM) {
		clientCount++
		client := clientCount
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("%s-%d-%d", vm.Settings.VM, client, n)
				a := s.Send(vm, "/book/x", standin.ClientHeader(id, standin.Key, id))
				mu.Lock()
				switch a.Status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
					if a.Header.Get("Retry-After") == "" {
						t.Error("refused without Retry-After")
					}
				default:
					t.Errorf("%+v", a)
				}
				mu.Unlock()
			}
		})
	}
	for _, vm := range s.VMs {
		press(vm)
		press(vm)
	}
	first.Drain()
	time.Sleep(drainBound)
	second, err := standin.ListenUpstream(s.Store, "d2", "desk", "v1", "x", plainService)
	assert.NilError(t, err)
	observe(second, "d2")
	second.RegisterCold(second.Address(), coldStart) // the VM that starts later has no other sign
	time.Sleep(time.Second)
	press(s.Start())
	time.Sleep(time.Second)
	s.Store.Put("op", "evacuate/x", map[string]any{})
	time.Sleep(evacuationBound)
	s.Store.Remove("op", "evacuate/x")
	time.Sleep(2 * time.Second)
	cold := time.Now()
	time.Sleep(coldStart + time.Second)
	close(ended)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, refused > 0)
	most, whileCold := 0, 0
	for i, at := range arrivals["d2"] {
		if at.After(cold) {
			break
		}
		whileCold++
		n := 0
		for _, other := range arrivals["d2"][i:] {
			if other.Sub(at) < time.Second && !other.After(cold) {
				n++
			}
		}
		most = max(most, n)
	}
	assert.Assert(t, most <= bound, "%d requests in a second", most)
	assert.Assert(t, whileCold > 0, "the cold upstream is used")
	assert.Assert(t, len(arrivals["d2"])-whileCold > 2*whileCold, "%d while cold, %d in all", whileCold, len(arrivals["d2"]))
	t.Logf("%d requests while cold, at most %d in a second; %d in all, %d served, %d refused", whileCold, most, len(arrivals["d2"]), served, refused)
}
