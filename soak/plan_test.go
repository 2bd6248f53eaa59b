package soak

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var shape = Shape{VMs: 4, Zones: 2, Upstreams: 2, Length: 12 * time.Second}

// Guards against seeds that cannot be played again.
func TestPlanIsFixedByTheSeed(t *testing.T) {
	assert.DeepEqual(t, NewPlan(7, shape), NewPlan(7, shape))
	assert.Assert(t, !slices.Equal(NewPlan(7, shape), NewPlan(8, shape)))
}

// Guards against a soak that never plays one of the faults, or never planned
// work by itself.
func TestPlansCoverAllFaults(t *testing.T) {
	seen := map[Fault]bool{}
	for seed := range uint64(50) {
		for _, step := range NewPlan(seed, shape) {
			seen[step.Fault] = true
			assert.Assert(t, seed%3 != 0 || step.Fault.Planned(), "seed %d has %v", seed, step.Fault)
		}
	}
	for _, f := range slices.Concat(disruptions, plannedWork, []Fault{KillAll}) {
		assert.Assert(t, seen[f], "%s is never played", f)
	}
}
