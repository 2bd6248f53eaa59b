package tree

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults for a rollout that doesn't set its steps.
const (
	DefaultStepPercent = 10
	DefaultStepSeconds = 60
)

// Step returns the percent that is added to the share of the rollout in each
// step, and the time between steps.
func (r Rollout) Step() (percent float64, after time.Duration) {
	percent, seconds := r.StepPercent, r.StepSeconds
	if percent == 0 {
		percent = DefaultStepPercent
	}
	if seconds == 0 {
		seconds = DefaultStepSeconds
	}
	return percent, time.Duration(seconds * float64(time.Second))
}

func (r Rollout) active() bool { return r.State == RolloutRunning || r.State == RolloutPaused }

// movesSessions reports whether new sessions go to the target. A finished rollout
// moves all of them, a paused one keeps its share.
func (r Rollout) movesSessions() bool { return r.active() || r.State == RolloutDone }

// cohortBuckets is the number of hash buckets of sessions. It gives the share of
// a rollout a resolution of 0.01 percent.
const cohortBuckets = 10_000

// CohortVersion returns the version that a new session gets when it asks for
// version. The result depends only on the ids and the tree, so that all daemons
// agree. A session that is in the cohort of a rollout at some percentage stays
// in it at a higher one. Rollouts to a withdrawn version are skipped.
func (s *Snapshot) CohortVersion(sessionID, version string) string {
	return s.CohortVersionUnless(sessionID, version, func(string, string) bool { return false })
}

// CohortVersionUnless is like CohortVersion, but stops at the first rollout for
// which halted reports a halt mark.
func (s *Snapshot) CohortVersionUnless(sessionID, version string, halted func(to, rollout string) bool) string {
	for range s.rolloutsByFrom {
		r, ok := s.rolloutsByFrom[version]
		if !ok || !r.includes(sessionID) || halted(r.to, r.id) {
			return version
		}
		version = r.to
	}
	return version
}

// RolloutTo returns the id of the running or paused rollout to a version.
func (s *Snapshot) RolloutTo(version string) (id string, ok bool) {
	id, ok = s.activeRolloutTo[version]
	return id, ok
}

type compiledRollout struct {
	id      string
	to      string
	buckets uint64 // out of cohortBuckets
}

func (r compiledRollout) includes(sessionID string) bool {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.id)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(sessionID)
	return h.Sum64()%cohortBuckets < r.buckets
}

func compileRollouts(t Tree) map[string]compiledRollout {
	byFrom := make(map[string]compiledRollout, len(t.Rollouts))
	for id, r := range t.Rollouts {
		if !r.movesSessions() || t.Versions[r.To].State == VersionWithdrawn {
			continue
		}
		percent := r.Percent
		if r.State == RolloutDone {
			percent = 100
		}
		byFrom[r.From] = compiledRollout{id: id, to: r.To, buckets: uint64(percent*cohortBuckets/100 + 0.5)}
	}
	return byFrom
}
