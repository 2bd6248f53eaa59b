package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const coldStart = 10 * time.Second

// bound is that of 10 requests a second, 1.5 times exceeded, and 5 more.
var limits = map[string]ColdLimit{"s": {Start: coldStart, Bound: 20}}

func vmNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("vm%03d", i))
	}
	return names
}

// coldVM returns the balancer of a VM to which the upstream e0 has just appeared.
func coldVM(self string, roster []string) *Balancer {
	b := NewBalancer(Options{})
	b.SetColdLimits(limits)
	b.SetRoster(self, roster, RosterKnown)
	b.SetUpstreams(nil, now, now)
	b.SetUpstreams([]Upstream{{ID: "e0", Service: "s", Address: "a", Slots: 64}}, now, now)
	return b
}

// press makes all VMs send as much as they can for a time and returns the times at which
// requests are written. Calls are written late, withdrawn, or their outcome stays unknown.
// each is called in every step.
func press(vms []*Balancer, d time.Duration, seed uint64, each func(at time.Time)) (written []time.Time) {
	random := rand.New(rand.NewPCG(seed, seed))
	type placed struct {
		call *Call
		at   time.Time
	}
	var waiting []placed
	const step = 20 * time.Millisecond
	for at := now; at.Before(after(d)); at = at.Add(step) {
		each(at)
		for _, b := range vms {
			q := query(10)
			q.Now = at
			if c, ok := b.Choose(q); ok {
				if call := b.Start(c, q); call != nil {
					waiting = append(waiting, placed{call, at.Add(time.Duration(random.IntN(8)) * step)})
				}
			}
		}
		waiting = slices.DeleteFunc(waiting, func(p placed) bool {
			if p.at.After(at) {
				return false
			}
			if random.IntN(5) > 0 && p.call.Admit(at) >= Admitted {
				written = append(written, at)
			}
			if random.IntN(3) > 0 {
				p.call.End(Neutral, at)
			}
			return true
		})
	}
	return written
}

// busiestSecond returns the largest number of times within any second.
func busiestSecond(times []time.Time) (most int) {
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against VMs that together send a cold upstream more than half of its bound while
// their rosters agree, and against shares of which none is used.
func TestSharesOfARosterStayUnderHalfOfTheBound(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 10, 11, 21, 81, 111} {
		var vms []*Balancer
		for _, name := range vmNames(n) {
			vms = append(vms, coldVM(name, vmNames(n)))
		}
		most := busiestSecond(press(vms, 4*time.Second, uint64(n), func(time.Time) {}))
		assert.Check(t, most <= 10 && most >= 5, "%d VMs: %d requests in a second", n, most)
	}
}

// Guards against rosters that differ and whose shares exceed the bound together: VMs that
// joined or were lost unseen by others, VMs that come and go, and a partition that has
// outlived the roster.
func TestSharesOfDifferentRostersStayUnderTheBound(t *testing.T) {
	for _, c := range []struct{ vms, differ int }{{4, 2}, {6, 3}, {20, 8}, {81, 10}, {111, 10}} {
		for seed := range uint64(5) {
			names := vmNames(c.vms)
			random := rand.New(rand.NewPCG(seed, 1))
			hidden := random.Perm(c.vms)[:c.differ]
			var vms []*Balancer
			for _, self := range names {
				roster := slices.Clone(names)
				for _, i := range hidden {
					if names[i] != self && random.IntN(2) == 0 {
						roster = slices.DeleteFunc(roster, func(vm string) bool { return vm == names[i] })
					}
				}
				vms = append(vms, coldVM(self, roster))
			}
			most := busiestSecond(press(vms, 2*time.Second, seed, func(time.Time) {}))
			assert.Check(t, most <= 20, "%+v, seed %d: %d requests in a second", c, seed, most)
		}
	}
	for _, n := range []int{2, 3, 8, 21, 81} {
		names, cut := vmNames(n), n/3+1
		var vms []*Balancer
		for i, self := range names {
			side := names[:cut]
			if i >= cut {
				side = names[cut:]
			}
			vms = append(vms, coldVM(self, side))
		}
		most := busiestSecond(press(vms, 2*time.Second, 1, func(time.Time) {}))
		assert.Check(t, most <= 20, "partition of %d VMs: %d requests in a second", n, most)
	}
}

// Guards against VMs that exceed the bound when some are replaced while others learn of it
// at different times.
func TestSharesWhileVMsComeAndGo(t *testing.T) {
	const n = 12
	names := vmNames(n)
	var vms []*Balancer
	for _, name := range names {
		vms = append(vms, coldVM(name, names))
	}
	random := rand.New(rand.NewPCG(1, 1))
	next := now
	written := press(vms, 8*time.Second, 2, func(at time.Time) {
		for i, b := range vms {
			if random.IntN(20) == 0 {
				b.SetRoster(b.self, slices.Clone(names), RosterKnown)
			}
			if i == 0 && at.Sub(next) > 500*time.Millisecond {
				next = at
				replaced := random.IntN(n)
				name := fmt.Sprintf("new%v", at.Sub(now))
				// The replaced VM stays in the roster.
				names = append(names, name)
				vms[replaced] = coldVM(name, slices.Clone(names))
			}
		}
	})
	assert.Assert(t, busiestSecond(written) <= 20, "%d requests in a second", busiestSecond(written))
}

// Guards against a request that is written to an upstream that has become cold since the
// call was placed, and against requests sent before that do not count.
func TestUpstreamBecomesColdBeforeTheWrite(t *testing.T) {
	b := engines(1)
	b.SetColdLimits(map[string]ColdLimit{"s": {Start: coldStart, Bound: 8}})
	var calls []*Call
	for range 8 {
		call, c := place(t, b, query(10))
		assert.Assert(t, !c.Cold)
		calls = append(calls, call)
	}
	assert.Equal(t, calls[0].Admit(now), Admitted)
	u := b.upstreams["e0"].Upstream
	u.ColdLeft, u.Revision = 5*time.Second, 2
	b.SetUpstreams([]Upstream{u}, now, now)
	admitted := 0
	for _, call := range calls[1:] {
		if call.Admit(after(100*time.Millisecond)) == AdmittedCold {
			admitted++
		}
	}
	assert.Equal(t, admitted, 3, "one of the share of 4 was sent before")
	_, ok := b.Choose(query(10))
	assert.Assert(t, !ok)
	assert.DeepEqual(t, b.ExclusionCounts(query(10)), ExclusionCounts{Registered: 1, Cold: 1})
	q := query(10)
	q.Now = after(1200 * time.Millisecond)
	_, ok = b.Choose(q)
	assert.Assert(t, ok)
	u.Slots++
	b.SetUpstreams([]Upstream{u}, q.Now, q.Now)
	assert.Equal(t, b.ColdLeft(query(10)), 5*time.Second, "an old statement is not new again")
}

// Guards against upstreams that are used like warm ones although they may just have started,
// and against services without a limit that change.
func TestSignsOfAColdStart(t *testing.T) {
	fresh := Upstream{ID: "new", Service: "s", Address: "a", AvailabilityZone: "x", Slots: 4}
	for name, start := range map[string]func(b *Balancer){
		"new instance": func(b *Balancer) {
			b.SetUpstreams([]Upstream{b.upstreams["e0"].Upstream, fresh}, now, now)
		},
		"another process": func(b *Balancer) {
			u := b.upstreams["e0"].Upstream
			u.Incarnation++
			b.SetUpstreams([]Upstream{u}, now, now)
		},
		"zone taken back": func(b *Balancer) {
			b.SetEvacuated(zoneSet("z"), now)
			assert.Equal(t, len(b.Cold(now)), 0)
			b.SetEvacuated(zoneSet(), now)
		},
		"accepts connections again": func(b *Balancer) {
			call, _ := place(t, b, query(10))
			call.End(Unreachable, now)
			assert.Equal(t, len(b.Cold(after(time.Minute))), len(b.coldLimits), "not before a connection is accepted")
			q := query(10)
			q.Now = after(time.Minute)
			again, ok := b.Choose(q)
			assert.Assert(t, ok)
			b.Start(again, q).EndProbe(true, now)
		},
		"ended": func(b *Balancer) {
			b.RecordEnded(b.upstreams["e0"].Instance())
			call, _ := place(t, b, query(10))
			assert.Assert(t, call.Admit(now) >= Admitted)
		},
		"answer": func(b *Balancer) { b.RecordCold(b.upstreams["e0"].Instance(), coldStart, now) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, limited := range []bool{true, false} {
				b := engines(1)
				if limited {
					b.SetColdLimits(limits)
				}
				assert.Equal(t, len(b.Cold(now)), 0, "the first list is warm")
				start(b)
				cold := b.Cold(now)
				assert.Equal(t, len(cold) == 1, limited, "%v", cold)
				if limited {
					assert.Equal(t, cold[0].Left, coldStart)
				}
				assert.Equal(t, len(b.Cold(after(coldStart))), 0)
			}
		})
	}
}

// Guards against a cold upstream that takes load from warm ones as if it were fast, and
// against the slowness of the cold period in predictions after it.
func TestColdUpstreamIsPredictedSlow(t *testing.T) {
	b := engines(2)
	b.SetColdLimits(limits)
	b.RecordCold(b.upstreams["e0"].Instance(), coldStart, now)
	warm := 0
	for range 4 {
		_, c := place(t, b, query(30000))
		assert.Assert(t, c.FirstEvent > 0)
		if !c.Cold {
			warm++
		}
	}
	assert.Assert(t, warm >= 3, "%d", warm)
	before := b.upstreams["e0"].slowness.factor()
	for i := range 5 {
		q := query(30000)
		q.Now = after(time.Duration(i) * time.Second)
		q.Exclude = map[string]bool{"e1": true}
		call, c := place(t, b, q)
		assert.Assert(t, c.Cold)
		call.FirstEvent(q.Now.Add(30 * time.Second))
		call.End(Answered, q.Now.Add(30*time.Second))
	}
	assert.Equal(t, b.upstreams["e0"].slowness.factor(), before)
	assert.Assert(t, b.coldSlow["s"].factor() > unknownColdSlowness)
}

// Guards against a VM that does not know the others and uses cold upstreams like one of
// few, and against one that refuses although only cold upstreams are left.
func TestColdUpstreamsWithoutAKnownRoster(t *testing.T) {
	b := coldVM("vm", []string{"vm"})
	b.SetRoster("vm", []string{"vm"}, RosterIncomplete)
	_, ok := b.Choose(query(10))
	assert.Assert(t, !ok)
	b.SetRoster("vm", []string{"vm"}, RosterAlone)
	call, c := place(t, b, query(10))
	assert.Assert(t, c.Cold)
	assert.Equal(t, call.Admit(now), AdmittedCold)
	_, ok = b.Choose(query(10))
	assert.Assert(t, !ok, "one in a second")
	list := []Upstream{b.upstreams["e0"].Upstream, {ID: "e1", Service: "s", Address: "b", Slots: 4}}
	b.SetUpstreams(list, now, now)
	b.upstreams["e1"].cold.markedAt = time.Time{}
	b.upstreams["e1"].health.recordSilence(now)
	for i := range 3 {
		q := query(10)
		q.Now = after(time.Duration(i) * 2 * time.Second)
		_, c = place(t, b, q)
		assert.Equal(t, c.ID, "e1", "a warm upstream is usable, if only as a last resort")
	}
}

// Guards against bounds too small or too large to be divided.
func TestExtremeBounds(t *testing.T) {
	for _, c := range []struct {
		bound           float64
		vms, rank, want int
	}{{1.9, 5, 0, 0}, {2, 5, 0, 1}, {2, 5, 1, 0}, {20, 1, 0, 10}, {20, 3, 2, 3}, {20, 3, 3, 0}, {20, 100, 9, 1}, {20, 100, 10, 0}, {1e300, 1, 0, maxShare}} {
		assert.Equal(t, coldShare(c.bound, c.vms, c.rank), c.want, "%+v", c)
	}
}
