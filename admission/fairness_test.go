package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Properties of max-min fairness: the parts use up the capacity, an organisation that wants
// no more than an equal share is within its part, and nobody within it wants more than one
// who is beyond it gets.
func TestFairPartProperties(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 5))
		uses := make([]float64, 1+r.IntN(30))
		total := 0.0
		for i := range uses {
			uses[i] = r.ExpFloat64() * math.Pow(10, 2*r.Float64())
			total += uses[i]
		}
		capacity := total * (0.2 + 0.8*r.Float64())
		part := fairPart(slices.Clone(uses), capacity)
		granted := 0.0
		for _, use := range uses {
			granted += min(use, part)
		}
		assert.Assert(t, math.Abs(granted-capacity) < 1e-6*capacity, "seed %d: %v of %v", seed, granted, capacity)
		assert.Assert(t, part >= capacity/float64(len(uses))*(1-1e-9), "seed %d", seed)
		assert.Equal(t, part, fairPart(slices.Clone(uses), capacity))
	}
	assert.Assert(t, math.IsInf(fairPart([]float64{1, 2}, 3.5), 1))
}

// Guards against an effect without saturation, on a single organisation, on requests without
// one, and against uses that stay for ever.
func TestStandingNeedsSaturation(t *testing.T) {
	f := NewFairness()
	f.Charge("a", 10, start)
	f.Serve("a", 7, start)
	assert.Assert(t, !f.Standing("a", 200, 100, start).Over, "the only one")
	f.Charge("b", 1, start)
	f.Charge("", 100, start)
	for calls, over := range map[int]bool{0: false, 50: false, 100: false, 160: true} {
		assert.Equal(t, f.Standing("a", calls, 100, start).Over, over, "%d calls", calls)
		assert.Assert(t, !f.Standing("b", calls, 100, start).Over && !f.Standing("", calls, 100, start).Over)
	}
	assert.Assert(t, !f.Standing("a", 160, 0, start).Over, "slots are not known")
	f.Charge("a", -10, start)
	assert.Assert(t, !f.Standing("a", 160, 100, start).Over, "taken back")
	f.Report(start.Add(time.Minute))
	assert.Equal(t, len(f.own), 0)
}

// Guards against an organisation that takes its part at each VM, and against reports that
// grow with the number of organisations, are counted twice or stay for ever.
func TestUsesOfPeersCount(t *testing.T) {
	f := NewFairness()
	for i := range 40 {
		f.Charge(fmt.Sprint("o", i), 1+float64(i)/100, start)
		f.Serve(fmt.Sprint("o", i), 1, start)
	}
	report := f.Report(start)
	assert.Equal(t, len(report.Uses), maxReportedUses)
	assert.Equal(t, report.Uses[0], Use{hashOf("o39"), 1390})
	assert.Equal(t, report.ServedMs, 40_000)
	assert.Assert(t, !f.Standing("o0", 200, 100, start).Over)
	for i := range 3 {
		// The last report of a peer replaces the one before.
		f.SetPeer("p", Report{[]Use{{hashOf("o0"), 5000}, {hashOf("elsewhere"), 100}}, 3000}, start.Add(time.Duration(i)*time.Millisecond))
	}
	s := f.Standing("o0", 200, 100, start)
	assert.Assert(t, s.Over && math.Abs(s.Use-6) < 0.01 && s.Organisations == 41, "%+v", s)
	f.SetPeer("q", Report{}, start.Add(2*peerUseLifetime))
	assert.Assert(t, len(f.sums) == 0 && f.peersServed == 0)
	assert.DeepEqual(t, SumReports(Report{[]Use{{1, 5}, {2, 1}}, 4}, Report{[]Use{{2, 9}}, 3}), Report{[]Use{{2, 10}, {1, 5}}, 7})
	assert.Equal(t, len(SumReports(report, Report{Uses: []Use{{7, 1}}}).Uses), maxReportedUses)
}

// served counts the requests of organisations, without repeats, and the calls for them that
// were begun in time.
type served struct{ requests, inTime int }

const greedySlots, greedyService = 30, 1.0

// playGreedy plays 20 s in which one organisation sends 7.5 times as much as each of nine
// others, 1.6 times what the engine can serve in all. The engine serves the lowest
// priority first, in order of arrival. Clients whose requests have not begun after 2 s
// leave; those of the greedy one repeat at once, twice. Two VMs share the engine and tell
// each other their uses every 0.4 s.
func playGreedy(seed uint64, fair bool) (greedy, others served) {
	const slots, service, patience = greedySlots, greedyService, 2.0
	type waiting struct {
		at, priority float64
		vm           *Fairness
		greedy       bool
		tries        int
	}
	r := rand.New(rand.NewPCG(seed, 6))
	vms := []*Fairness{NewFairness(), NewFairness()}
	var queue []waiting
	ends := []float64{}
	next, told := 0.0, 0.0
	var again []int
	rate := 1.6 * slots / service
	send := func(at float64, greedy bool, name string, tries int) {
		vm := vms[r.IntN(2)]
		now := start.Add(seconds(at))
		w := waiting{at: at, vm: vm, greedy: greedy, tries: tries}
		if fair && vm.Standing(name, len(queue)+len(ends), slots, now).Over {
			w.priority = 1
		}
		vm.Charge(name, service, now)
		queue = append(queue, w)
	}
	for at := 0.0; at < 20; at += 0.01 {
		for ; next <= at; next += r.ExpFloat64() / rate {
			if r.Float64() < 7.5/16.5 {
				greedy.requests++
				send(at, true, "greedy", 1)
				continue
			}
			others.requests++
			send(at, false, fmt.Sprint("o", r.IntN(9)), 1)
		}
		if at-told >= 0.4 {
			told = at
			for i, vm := range vms {
				vms[1-i].SetPeer("peer", vm.Report(start.Add(seconds(at))), start.Add(seconds(at)))
			}
		}
		ends = slices.DeleteFunc(ends, func(end float64) bool { return end <= at })
		queue = slices.DeleteFunc(queue, func(w waiting) bool {
			left := w.at+patience < at
			if left && w.greedy && w.tries < 3 {
				again = append(again, w.tries+1)
			}
			return left
		})
		for _, tries := range again {
			send(at, true, "greedy", tries)
		}
		again = again[:0]
		for len(ends) < slots && len(queue) > 0 {
			first := 0
			for i, w := range queue {
				if w.priority < queue[first].priority || w.priority == queue[first].priority && w.at < queue[first].at {
					first = i
				}
			}
			if queue[first].greedy {
				greedy.inTime++
			} else {
				others.inTime++
			}
			queue[first].vm.Serve("any", service, start.Add(seconds(at)))
			queue = slices.Delete(queue, first, first+1)
			ends = append(ends, at+service*(0.5+r.Float64()))
		}
	}
	return greedy, others
}

// Load answered: one organisation sends 7.5 times as much as each of the others. Guards
// against requests of the others that are late for it, and against a greedy one that gets
// less than its fair part.
func TestGreedyOrganisationWaits(t *testing.T) {
	var before, with [2]served
	for seed := range uint64(5) {
		for fair, sum := range map[bool]*[2]served{false: &before, true: &with} {
			greedy, others := playGreedy(seed, fair)
			for i, s := range []served{greedy, others} {
				sum[i].requests += s.requests
				sum[i].inTime += s.inTime
			}
		}
	}
	t.Logf("greedy and others: before %+v, with fair parts %+v", before, with)
	within := func(s served, part float64) bool { return float64(s.inTime) >= (1-fairQuantum)*part }
	assert.Assert(t, within(with[1], float64(with[1].requests)), "%+v", with)
	assert.Assert(t, !within(before[1], float64(before[1].requests)), "the load keeps nobody waiting: %+v", before)
	// The nine others want less than the engine serves; the rest is left.
	left := float64(5*20*greedySlots/greedyService) - float64(with[1].requests)
	assert.Assert(t, within(with[0], left), "%+v, fair part %v", with, left)
}

func BenchmarkStanding(b *testing.B) {
	f := NewFairness()
	for i := range 100 {
		f.Charge(fmt.Sprint("o", i), 1, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Standing("o7", 200, 100, start)
	}
}
