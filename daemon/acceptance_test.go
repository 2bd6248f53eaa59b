package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/tree"
)

// Guards against a change that is reported as in force everywhere while a
// daemon may still work by the old settings.
func TestAcceptance(t *testing.T) {
	now := time.Unix(1000, 0)
	behind := map[string]int64{"a/vm1": 3, "b/vm1": 1} // acknowledged revisions
	a := &acceptance{
		lease: 4 * time.Second,
		now:   func() time.Time { return now },
		unacknowledged: func(revision int64) []string {
			var missing []string
			for _, id := range []string{"a/vm1", "b/vm1"} {
				if behind[id] < revision {
					missing = append(missing, id)
				}
			}
			return missing
		},
	}
	compile := func(revision int64, state tree.VersionState) *tree.Snapshot {
		s, err := tree.Compile(tree.Tree{Versions: map[string]tree.Version{
			"s1": {Model: "small", CostPer1kOutputTokens: 1, State: state},
			"s2": {Model: "small", CostPer1kOutputTokens: float64(revision), State: tree.VersionCandidate},
		}}, revision, "")
		assert.NilError(t, err)
		return s
	}
	first := compile(1, tree.VersionSettled)
	second := compile(2, tree.VersionSettled) // only the candidate changes
	third := compile(3, tree.VersionWithdrawn)
	a.note(nil, first)
	a.note(first, second)

	_, vms := a.Missing(2)
	assert.DeepEqual(t, vms, []string{"b/vm1"}) // the lease of b may still run
	now = now.Add(4*time.Second + 2*leaseMargin)
	_, vms = a.Missing(2)
	assert.Equal(t, len(vms), 0)

	zones, _ := a.Missing(3) // committed, but not known here yet
	assert.DeepEqual(t, zones, []string{"b"})
	a.note(second, third)
	now = now.Add(time.Hour)
	zones, _ = a.Missing(3)
	assert.DeepEqual(t, zones, []string{"b"}) // s1 is usable in isolation
	behind["b/vm1"] = 3
	zones, _ = a.Missing(3)
	assert.Equal(t, len(zones), 0)
	behind["b/vm1"] = 0
	zones, _ = a.Missing(0)
	assert.Equal(t, len(zones), 0)
}

// Guards invariant 10: when a daemon learns two revisions at once, the state of
// the earlier one is that of the step which it became part of. A trivial later
// change must not hide that the earlier one is not yet in force everywhere.
func TestAcceptanceOfSkippedRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &acceptance{
		lease:          4 * time.Second,
		now:            func() time.Time { return now },
		unacknowledged: func(revision int64) []string { return map[bool][]string{true: {"b/vm1"}}[revision > 2] },
	}
	compile := func(revision int64, state tree.VersionState, cost float64) *tree.Snapshot {
		s, err := tree.Compile(tree.Tree{Versions: map[string]tree.Version{
			"s1": {Model: "small", State: state},
			"s2": {Model: "small", CostPer1kOutputTokens: cost, State: tree.VersionCandidate},
		}}, revision, "")
		assert.NilError(t, err)
		return s
	}
	first, second := compile(1, tree.VersionSettled, 1), compile(2, tree.VersionSettled, 2)
	fourth := compile(4, tree.VersionWithdrawn, 2) // revision 3 withdrew s1
	a.note(nil, first)
	a.note(first, second)
	a.note(second, fourth)
	now = now.Add(time.Hour)
	for _, revision := range []int64{3, 4} {
		zones, _ := a.Missing(revision)
		assert.DeepEqual(t, zones, []string{"b"})
	}
	zones, _ := a.Missing(2)
	assert.Equal(t, len(zones), 0)
}
