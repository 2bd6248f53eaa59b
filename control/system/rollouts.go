package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	defaultStepPercent = 10.0
	defaultStepTime    = 60 * time.Second
	fullPercent        = 100.0
	// AdvanceRetry is the time between two attempts to write a step.
	AdvanceRetry = 2 * time.Second
	// AdvanceTimeout bounds one attempt.
	AdvanceTimeout = 2 * time.Second
)

// Advance writes one step of a rollout to the settings tree if the rollout
// still equals From. Its result is an AdvanceResult.
type Advance struct {
	Rollout string
	From    tree.Rollout
	// Percent and State are the new values.
	Percent float64
	State   tree.RolloutState
	Fencing int64
	Timeout time.Duration
}

func (Advance) effect() {}

// AdvanceResult is the result of an Advance effect. After a success the new
// values arrive with the next settings tree.
type AdvanceResult struct {
	Rollout string
	// Kind is the kind of the error, empty for a success.
	Kind errkind.Kind
}

// Rollouts advances the running rollouts, and aborts those whose target has a
// halt mark, so that the halt is recorded in the change log. A daemon that takes
// over the lease waits a whole step time from when it first saw the current
// percent, because it cannot know when the last step was made.
func Rollouts(t *table.Tables, now time.Time, in *Inputs) []Effect {
	for _, result := range in.Advances {
		if r := t.Rollouts.Get(result.Rollout); r != nil {
			r.Pending, r.RetryAt = false, now.Add(AdvanceRetry)
		}
	}
	holdsLease := in.RolloutLease.usable(now, AdvanceTimeout)
	if !holdsLease && !in.Delegate {
		return nil
	}
	var effects []Effect
	for id, r := range t.Rollouts.All() {
		if r.Pending || now.Before(r.RetryAt) {
			continue
		}
		if halted(t, id, r) {
			r.Pending = true
			effects = append(effects, abort(id, r.Settings, in.RolloutLease.Fencing))
			continue
		}
		if !holdsLease || !canAdvance(t, r) || now.Sub(r.SteppedAt) < stepTime(r.Settings) {
			continue
		}
		r.Pending = true
		effects = append(effects, nextStep(id, r.Settings, in.RolloutLease.Fencing))
	}
	return effects
}

// usable reports whether the lease is held and a call with the given timeout ends
// before the lease expires.
func (l Lease) usable(now time.Time, call time.Duration) bool {
	return l.Held && !now.Add(call).After(l.Expires)
}

func canAdvance(t *table.Tables, r *table.Rollout) bool {
	to := t.Versions.Get(r.Settings.To)
	return r.Settings.State == tree.RolloutRunning && to != nil && to.State != tree.VersionWithdrawn
}

// halted reports whether a running or paused rollout has a halt mark.
func halted(t *table.Tables, id string, r *table.Rollout) bool {
	active := r.Settings.State == tree.RolloutRunning || r.Settings.State == tree.RolloutPaused
	return active && t.Halts[table.Halt{Version: r.Settings.To, Rollout: id}]
}

// abort returns the step that aborts a halted rollout. The executor of the
// effect withdraws the target version in the same change.
func abort(id string, r tree.Rollout, fencing int64) Advance {
	return Advance{Rollout: id, From: r, Percent: r.Percent, State: tree.RolloutAborted, Fencing: fencing, Timeout: AdvanceTimeout}
}

func stepTime(r tree.Rollout) time.Duration {
	if r.StepSeconds <= 0 {
		return defaultStepTime
	}
	return time.Duration(r.StepSeconds * float64(time.Second))
}

// nextStep returns the step that adds one step percent. A rollout that has
// already been at the full percent for a step time becomes done.
func nextStep(id string, r tree.Rollout, fencing int64) Advance {
	step := r.StepPercent
	if step <= 0 {
		step = defaultStepPercent
	}
	a := Advance{Rollout: id, From: r, Percent: min(fullPercent, r.Percent+step), State: r.State, Fencing: fencing, Timeout: AdvanceTimeout}
	if r.Percent >= fullPercent {
		a.State = tree.RolloutDone
	}
	return a
}
