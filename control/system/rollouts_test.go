package system_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

func rolloutTree(r tree.Rollout) *tree.Tree {
	tr := testTree()
	tr.Rollouts = map[string]tree.Rollout{"r1": r}
	return tr
}

// rolloutProperty returns the property that the steps of a rollout are at least a
// step time apart, that a halted rollout is aborted and makes no other step, and
// that the rollout finishes. Two daemons advance it in turn while they are
// restarted at random and replies of the change log are lost. alterTables changes
// the tables before each tick.
func rolloutProperty(alterTables func(t *table.Tables), halts bool) func(*rapid.T) error {
	return func(rt *rapid.T) error {
		current := tree.Rollout{From: "s1", To: "s2", Percent: 10, StepPercent: 30, StepSeconds: 3, State: tree.RolloutRunning}
		daemons := []*table.Tables{newTables(rolloutTree(current)), newTables(rolloutTree(current))}
		inputs := []*system.Inputs{{}, {}}
		holder, steppedAt, haltAt := 0, epoch, 1<<30
		if halts {
			haltAt = rapid.IntRange(1, 200).Draw(rt, "halt")
		}
		lease := system.Lease{Fencing: 1}
		for i := 1; i <= 600; i++ {
			now := tickTime(i)
			if i < 400 && rapid.IntRange(0, 40).Draw(rt, "stop") == 0 {
				daemons[holder], inputs[holder] = newTablesAt(now, rolloutTree(current)), &system.Inputs{}
				holder = 1 - holder
				lease.Fencing++
			}
			lease.Held, lease.Expires = true, now.Add(time.Minute)
			for d, t := range daemons {
				in := inputs[d]
				inputs[d] = &system.Inputs{}
				if d == holder {
					in.RolloutLease = lease
				}
				if i >= haltAt {
					in.Halts = []table.Halt{{Version: "s2", Rollout: "r1"}}
				}
				alterTables(t)
				for _, effect := range system.Tick(t, now, in) {
					step, ok := effect.(system.Advance)
					if !ok {
						continue
					}
					aborts := step.State == tree.RolloutAborted && step.Percent == step.From.Percent
					if aborts != (i >= haltAt) {
						return fmt.Errorf("tick %d: step to %g%% %s, halt at tick %d", i, step.Percent, step.State, haltAt)
					}
					if step.From.Percent != current.Percent || step.From.State != current.State {
						inputs[d].Advances = []system.AdvanceResult{{Rollout: "r1", Kind: errkind.Conflict}}
						continue
					}
					if !aborts && now.Sub(steppedAt) < 3*time.Second {
						return fmt.Errorf("tick %d: step to %g%% after %s", i, step.Percent, now.Sub(steppedAt))
					}
					current.Percent, current.State, steppedAt = step.Percent, step.State, now
					kind := errkind.Kind("")
					if rapid.Bool().Draw(rt, "reply lost") {
						kind = errkind.OutcomeUnknown
					}
					inputs[d].Advances = []system.AdvanceResult{{Rollout: "r1", Kind: kind}}
					for d := range inputs {
						inputs[d].Tree = rolloutTree(current)
					}
				}
			}
		}
		if halts && current.State != tree.RolloutAborted && current.State != tree.RolloutDone {
			return fmt.Errorf("halted rollout ended at %g%% %s", current.Percent, current.State)
		}
		if !halts && (current.State != tree.RolloutDone || current.Percent != 100) {
			return fmt.Errorf("rollout ended at %g%% %s", current.Percent, current.State)
		}
		return nil
	}
}

func unaltered(*table.Tables) {}

func TestRolloutStepsAndContinues(t *testing.T) { checkProperty(t, rolloutProperty(unaltered, false)) }

func TestRolloutStopsAtAHalt(t *testing.T) { checkProperty(t, rolloutProperty(unaltered, true)) }

// Negative control: with the time of the last step set to long ago, the check
// must find steps that are too close together.
func TestRolloutWithoutStepTime(t *testing.T) {
	assert.Assert(t, propertyFails(t, rolloutProperty(func(t *table.Tables) {
		for _, r := range t.Rollouts.All() {
			r.SteppedAt = epoch.Add(-time.Hour)
		}
	}, false)))
}

// Negative control: the halt marks are removed, and the target is changed so that
// marks that arrive again don't match it. The check must find a rollout that
// advances after its halt.
func TestRolloutWithoutHaltMark(t *testing.T) {
	assert.Assert(t, propertyFails(t, rolloutProperty(func(t *table.Tables) {
		maps.DeleteFunc(t.Halts, func(table.Halt, bool) bool { return true })
		for _, r := range t.Rollouts.All() {
			r.Settings.To = "s1" // another key than that of the mark
		}
	}, true)))
}

// Guards against advancing a rollout that is not running, whose target is
// withdrawn or unknown, or without a lease that outlasts the write.
func TestRolloutConditions(t *testing.T) {
	held := system.Lease{Held: true, Expires: epoch.Add(time.Hour)}
	for name, tc := range map[string]struct {
		state tree.RolloutState
		to    string
		lease system.Lease
		steps int
	}{
		"running":      {tree.RolloutRunning, "s2", held, 1},
		"paused":       {tree.RolloutPaused, "s2", held, 0},
		"aborted":      {tree.RolloutAborted, "s2", held, 0},
		"done":         {tree.RolloutDone, "s2", held, 0},
		"withdrawn":    {tree.RolloutRunning, "old", held, 0},
		"unknown":      {tree.RolloutRunning, "none", held, 0},
		"no lease":     {tree.RolloutRunning, "s2", system.Lease{}, 0},
		"ending lease": {tree.RolloutRunning, "s2", system.Lease{Held: true, Expires: epoch.Add(61 * time.Second)}, 0},
	} {
		tb := newTables(rolloutTree(tree.Rollout{From: "s1", To: tc.to, State: tc.state}))
		steps := 0
		for i := 600; i < 700; i++ {
			for _, effect := range system.Tick(tb, tickTime(i), &system.Inputs{RolloutLease: tc.lease}) {
				if a, ok := effect.(system.Advance); ok {
					steps++
					assert.Equal(t, a.Percent, 10.0)
				}
			}
		}
		assert.Equal(t, steps, tc.steps, name)
	}
}
