package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// maxLoadAge is the age at which a VM must know of a call of another one: 0.6 s, and half as much.
const maxLoadAge = 900 * time.Millisecond

// Guards against loads that are so old that VMs choose an engine which others have just filled.
// The fleet is on virtual time, without delays of the network.
func TestAgeOfLoads(t *testing.T) {
	for _, size := range []int{16, 40} {
		bf := newBenchFleet(size)
		for range 2 * int(time.Second/benchTick) {
			bf.tick()
		}
		oldest, sum, count := time.Duration(0), time.Duration(0), 0
		for trial := range 8 {
			// A service of its own, so that no other call is counted.
			u := placement.Upstream{ID: "probe", Service: "probe", Incarnation: int64(trial), Slots: 1}
			for _, v := range bf.vms {
				v.balancer.SetUpstreams(append(bf.upstreams, u), bf.now, bf.now)
			}
			from := bf.vms[bf.random.IntN(size)]
			q := &placement.Query{Service: "probe", Now: bf.now}
			c, ok := from.balancer.Choose(q)
			assert.Assert(t, ok)
			call := from.balancer.Start(c, q)
			began := bf.now
			waiting := map[*benchVM]bool{}
			for _, v := range bf.vms {
				waiting[v] = true
			}
			for len(waiting) > 0 && bf.now.Sub(began) < 5*time.Second {
				for v := range waiting {
					if v.balancer.InFlight("probe", "", false) > 0 {
						age := bf.now.Sub(began)
						oldest, sum, count = max(oldest, age), sum+age, count+1
						delete(waiting, v)
					}
				}
				bf.tick()
			}
			assert.Equal(t, len(waiting), 0)
			call.End(placement.Answered, bf.now)
			for range int(time.Second / benchTick) {
				bf.tick()
			}
		}
		t.Logf("%d VMs: mean %v, oldest %v", size, sum/time.Duration(count), oldest)
		assert.Assert(t, oldest <= maxLoadAge, "%d VMs: %v", size, oldest)
	}
}
