package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var shape = Shape{VMs: 4, Zones: 2, Upstreams: 2, Length: 12 * time.Second}

// Guards against plans that differ between two runs of one seed, so that a failed
// run cannot be repeated.
func TestPlanIsFixedByTheSeed(t *testing.T) {
	assert.DeepEqual(t, NewPlan(7, shape), NewPlan(7, shape))
	assert.Assert(t, !slices.Equal(NewPlan(7, shape), NewPlan(8, shape)))
}

// Guards against a soak test that never injects one of the faults, or that never
// runs planned work without disruptions.
func TestPlansCoverAllFaults(t *testing.T) {
	seen := map[StepKind]bool{}
	for seed := range uint64(50) {
		for _, step := range NewPlan(seed, shape) {
			seen[step.Kind] = true
			assert.Assert(t, seed%3 != 0 || step.Kind.Planned(), "seed %d has %v", seed, step.Kind)
		}
	}
	for _, kind := range slices.Concat(disruptions, plannedWork, []StepKind{KillAll}) {
		assert.Assert(t, seen[kind], "%s is in no plan", kind)
	}
}

// Guards against plans with blind readers that disrupt all VMs, so that no VM must keep
// its guarantees, or that change nothing meanwhile.
func TestBlindPlansSpareSomeVMs(t *testing.T) {
	seen := map[StepKind]bool{}
	for seed := range uint64(20) {
		for _, step := range NewPlan(firstBlindSeed+seed, shape) {
			seen[step.Kind] = true
			assert.Assert(t, step.Kind.Planned() || step.Target < shape.VMs-undisruptedVMs, "%+v", step)
		}
	}
	for _, kind := range []StepKind{StoreHold, StoreSilence, VMPause, VMKill, Configure, UpstreamDrain} {
		assert.Assert(t, seen[kind], "%s is in no plan", kind)
	}
}

// Guards against plans with pauses that disrupt something, or that lack a kind of step.
func TestPausePlansDisruptNothing(t *testing.T) {
	seen := map[StepKind]bool{}
	for seed := uint64(firstPauseSeed); seed < firstPauseSeed+30; seed++ {
		for _, step := range NewPlan(seed, shape) {
			seen[step.Kind] = true
			assert.Assert(t, !step.Kind.Disrupts() || seed%3 == 2, "seed %d has %v", seed, step.Kind)
		}
	}
	for _, kind := range slices.Concat(benign, plannedWork, []StepKind{UpstreamRepeat, UpstreamResumeWrong}) {
		assert.Assert(t, seen[kind], "%s is in no plan", kind)
	}
}

// Guards against plans with planned stops or other answers that disrupt something, or
// that lack a kind of step.
func TestStopAndAnswerPlansDisruptNothing(t *testing.T) {
	seen := map[uint64]map[StepKind]bool{firstStopSeed: {}, firstAnswerSeed: {}, firstUnsentSeed: {}}
	for first, kinds := range seen {
		for seed := first; seed < first+30; seed++ {
			for _, step := range NewPlan(seed, shape) {
				kinds[step.Kind] = true
				assert.Assert(t, !step.Kind.Disrupts(), "seed %d has %v", seed, step.Kind)
			}
		}
		for _, kind := range append(slices.Clone(plannedWork), UpstreamLeave) {
			assert.Assert(t, kinds[kind], "%s is in no plan from seed %d on", kind, first)
		}
	}
	assert.Assert(t, seen[firstStopSeed][UpstreamLong])
	assert.Assert(t, seen[firstStopSeed][UpstreamUnframed] && seen[firstUnsentSeed][UpstreamPart])
	for _, kind := range []StepKind{UpstreamPauseBroken, UpstreamCutHead, UpstreamNoBody, UpstreamUnframed, UpstreamPauseRefused, UpstreamAskPause} {
		assert.Assert(t, seen[firstAnswerSeed][kind], "%s is in no plan", kind)
	}
	assert.Assert(t, shape.ofSeed(firstStopSeed).DirectCalls)
}

// Guards against plans with events of the platform that lack a kind of step, or that disrupt
// more than the first VMs.
func TestPlatformPlansSpareSomeVMs(t *testing.T) {
	seen := map[StepKind]bool{}
	for seed := uint64(firstPlatformSeed); seed < firstPlatformSeed+30; seed++ {
		for _, step := range NewPlan(seed, shape.ofSeed(seed)) {
			seen[step.Kind] = true
			assert.Assert(t, !step.Kind.Disrupts() || seed%2 == 1 && step.Target < shape.VMs-undisruptedVMs, "seed %d has %+v", seed, step)
		}
	}
	for _, kind := range slices.Concat(platformEvents, plannedWork, []StepKind{VMPause, VMKill, StoreHold, StoreSilence}) {
		assert.Assert(t, seen[kind], "%s is in no plan", kind)
	}
}
