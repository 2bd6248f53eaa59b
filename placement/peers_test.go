package placement

import (
	"math"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the load of peers that is lost, counted twice or left over, when reports
// change only the sums of their upstreams and upstreams come, go and are replaced meanwhile.
func TestPeerLoadsAreThoseOfTheLastReports(t *testing.T) {
	b := NewBalancer(Options{AvailabilityZone: "a"})
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(100, 0)
	reports := map[string]map[string]Load{}
	at := map[string]time.Time{}
	for step := range 5000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		if step%50 == 0 {
			var list []Upstream
			for i := range 4 + random.IntN(4) {
				list = append(list, Upstream{ID: strconv.Itoa(i), Service: "s", Incarnation: int64(random.IntN(3))})
			}
			b.SetUpstreams(list, now, now)
		}
		vm := strconv.Itoa(random.IntN(5))
		reports[vm], at[vm] = map[string]Load{}, now
		for range random.IntN(4) {
			reports[vm][strconv.Itoa(random.IntN(8))] = Load{Calls: 1 + random.IntN(3), PrefillSeconds: random.Float64(), Running: random.Float64()}
		}
		b.SetPeer(vm, reports[vm], now)
		for id, e := range b.upstreams {
			var want Load
			for peer, loads := range reports {
				if now.Sub(at[peer]) <= peerLoadLifetime {
					want.add(loads[id])
				}
			}
			difference := max(math.Abs(e.peers.PrefillSeconds-want.PrefillSeconds), math.Abs(e.peers.Running-want.Running))
			assert.Assert(t, e.peers.Calls == want.Calls && difference < 1e-9, "step %d: %+v, want %+v", step, e.peers, want)
		}
	}
	now = now.Add(peerLoadLifetime + time.Millisecond)
	b.SetPeer("0", nil, now)
	for _, e := range b.upstreams {
		assert.Equal(t, e.peers, Load{})
	}
}

// Guards against a field of a load that is added, but not taken off.
func TestAllFieldsOfALoadAreTakenOff(t *testing.T) {
	var load Load
	v := reflect.ValueOf(&load).Elem()
	for i := range v.NumField() {
		if v.Field(i).CanInt() {
			v.Field(i).SetInt(int64(2 + i))
		} else {
			v.Field(i).SetFloat(float64(2 + i))
		}
	}
	// Of two loads one is left, because nothing is left without calls.
	var sum Load
	sum.add(load)
	sum.add(load)
	sum.subtract(load)
	assert.Equal(t, sum, load)
}
