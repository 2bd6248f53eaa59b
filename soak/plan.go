package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of step of a plan.
type Fault string

// The steps. Those of the operator and of planned stops are not disruptions:
// callers must not notice them.
const (
	StoreDown    Fault = "store down"
	StoreDelay   Fault = "store delayed"
	StoreLose    Fault = "store loses answers of writes"
	StoreCompact Fault = "store drops its history"
	StoreReset   Fault = "store connections reset"
	StoreHold    Fault = "store silent for one VM"

	UpstreamFail  Fault = "upstream fails"
	UpstreamFull  Fault = "upstream refuses"
	UpstreamCut   Fault = "upstream cuts streams"
	UpstreamSlow  Fault = "upstream slow"
	UpstreamCrash Fault = "upstream crashes"
	UpstreamDelay Fault = "upstream connections delayed"
	UpstreamReset Fault = "upstream connections reset"
	UpstreamHold  Fault = "upstream silent"
	UpstreamMute  Fault = "upstream hears but is not heard"

	CallerDelay Fault = "callers delayed"
	CallerReset Fault = "caller connections reset"
	CallerHold  Fault = "callers silenced"

	VMPause Fault = "VM paused"
	VMKill  Fault = "VM killed"
	KillAll Fault = "all VMs killed"

	// Stall is in no plan: it is noted when the soak itself does not run.
	Stall Fault = "the soak did not run"

	VMStop        Fault = "VM stopped as planned"
	VMReload      Fault = "VM settings changed"
	Configure     Fault = "configuration changed"
	UpstreamDrain Fault = "upstream leaves"
)

var disruptions = []Fault{
	StoreDown, StoreDelay, StoreLose, StoreCompact, StoreReset, StoreHold,
	UpstreamFail, UpstreamFull, UpstreamCut, UpstreamSlow, UpstreamCrash, UpstreamDelay, UpstreamReset, UpstreamHold, UpstreamMute,
	CallerDelay, CallerReset, CallerHold, VMPause, VMKill,
}

var plannedWork = []Fault{VMStop, VMReload, Configure, UpstreamDrain}

// Planned reports whether callers must not notice the step.
func (f Fault) Planned() bool { return slices.Contains(plannedWork, f) }

// Step is one entry of a plan.
type Step struct {
	At, For time.Duration
	Fault   Fault
	// Target is the number of the VM or upstream.
	Target int
}

// Shape is the size of a soak.
type Shape struct {
	VMs, Zones int
	Upstreams  int
	Length     time.Duration
}

const (
	// meanPause is the mean time between two steps that do not belong to a series.
	meanPause = 900 * time.Millisecond
	// seriesShare of the steps begin a series of the same step on one target.
	seriesShare = 0.25
	// finalShare of the plans with disruptions end with the kill of all VMs.
	finalShare = 0.3
	// minFor and maxFor bound the length of a step.
	minFor = 150 * time.Millisecond
	maxFor = 2500 * time.Millisecond
)

// NewPlan returns the steps of a seed in the order of their beginning. One seed
// in three has planned work only, so that the promises which hold without
// disruptions are checked too.
func NewPlan(seed uint64, s Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := slices.Concat(disruptions, plannedWork)
	if seed%3 == 0 {
		kinds = plannedWork
	}
	var plan []Step
	for at := meanPause; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(meanPause)) {
		step := Step{At: at, For: between(r, minFor, maxFor), Fault: kinds[r.IntN(len(kinds))], Target: r.IntN(s.VMs * s.Upstreams)}
		plan = append(plan, step)
		if r.Float64() < seriesShare {
			for range 2 + r.IntN(3) {
				step.At += between(r, minFor, meanPause)
				plan = append(plan, step)
			}
		}
	}
	if seed%3 != 0 && r.Float64() < finalShare {
		plan = append(plan, Step{At: s.Length, For: between(r, minFor, maxFor), Fault: KillAll})
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// Interval is the time in which a step was in effect.
type Interval struct {
	Step
	From, To time.Time
}

// History is what happened in a run.
type History []Interval

// settle is the time that a VM has after a disruption before the promises with a
// time limit hold again: TouchMs of the platform.
const settle = 4 * time.Second

// Calm reports whether no disruption was in effect from settle before the first
// time to the second one.
func (h History) Calm(from, to time.Time) bool {
	return !slices.ContainsFunc(h, func(i Interval) bool {
		return !i.Fault.Planned() && i.From.Before(to) && i.To.After(from.Add(-settle))
	})
}
