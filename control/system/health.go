package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
)

const (
	// FailuresToDown is the number of consecutive failures that mark an upstream
	// down, SuccessesToUp the number of consecutive successes that mark it up.
	FailuresToDown = 3
	SuccessesToUp  = 2
	// MinDown is the minimum time that an upstream stays down, so that a
	// flapping upstream does not receive work between its failures.
	MinDown = 2 * time.Second
)

// Health marks an upstream down after failed probes and calls, and up again
// after successful probes.
func Health(t *table.Tables, now time.Time, in *Inputs) []Effect {
	for _, result := range in.Calls {
		u := t.Upstreams.Get(result.Upstream)
		if u == nil || result.Leaving || !u.Health.Up {
			continue
		}
		// The failure of a call sent before the upstream came up says nothing
		// about its present health.
		if result.SentAt.After(u.Health.ChangedAt) || !result.Failed {
			countResult(&u.Health, result.Failed, now)
		}
	}
	for _, result := range in.Probes {
		u := t.Upstreams.Get(result.Upstream)
		if u == nil || result.SentAt.Before(u.Health.ResultSentAt) {
			continue
		}
		u.Health.Probing, u.Health.ResultSentAt = false, result.SentAt
		countResult(&u.Health, result.Failed, now)
	}
	return nil
}

// countResult counts one result and updates Up, with hysteresis.
func countResult(h *table.Health, failed bool, now time.Time) {
	if failed {
		h.Failures, h.Successes = h.Failures+1, 0
	} else {
		h.Failures, h.Successes = 0, h.Successes+1
	}
	switch {
	case h.Up && h.Failures >= FailuresToDown:
		h.Up, h.ChangedAt = false, now
	case !h.Up && h.Successes >= SuccessesToUp && now.Sub(h.ChangedAt) >= MinDown:
		h.Up, h.ChangedAt = true, now
	}
}
