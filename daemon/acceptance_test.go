package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/tree"
)

// Guards against a change that is reported as in force everywhere while another
// daemon may still use the old settings.
func TestAcceptance(t *testing.T) {
	now := time.Unix(1000, 0)
	acknowledged := map[string]int64{"a/vm1": 3, "b/vm1": 1} // revision by VM
	a := &acceptance{
		evidenceLease: 4 * time.Second,
		now:           func() time.Time { return now },
		unacknowledged: func(revision int64) []string {
			var missing []string
			for _, id := range []string{"a/vm1", "b/vm1"} {
				if acknowledged[id] < revision {
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
	a.recordApplied(nil, first)
	a.recordApplied(first, second)

	_, vms := a.Missing(2)
	assert.DeepEqual(t, vms, []string{"b/vm1"}) // the lease of b may still run
	now = now.Add(4*time.Second + 2*leaseMargin)
	_, vms = a.Missing(2)
	assert.Equal(t, len(vms), 0)

	zones, _ := a.Missing(3) // committed, but not applied by this daemon yet
	assert.DeepEqual(t, zones, []string{"b"})
	a.recordApplied(second, third)
	now = now.Add(time.Hour)
	zones, _ = a.Missing(3)
	assert.DeepEqual(t, zones, []string{"b"}) // an isolated daemon may use s1
	acknowledged["b/vm1"] = 3
	zones, _ = a.Missing(3)
	assert.Equal(t, len(zones), 0)
	acknowledged["b/vm1"] = 0
	zones, _ = a.Missing(0)
	assert.Equal(t, len(zones), 0)
}

// Guards against a revision that is reported as in force everywhere because a
// later one, received in the same step, changes nothing that an isolated daemon
// may use. Revisions received at once share the state of the whole step.
func TestAcceptanceOfSkippedRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &acceptance{
		evidenceLease:  4 * time.Second,
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
	a.recordApplied(nil, first)
	a.recordApplied(first, second)
	a.recordApplied(second, fourth)
	now = now.Add(time.Hour)
	for _, revision := range []int64{3, 4} {
		zones, _ := a.Missing(revision)
		assert.DeepEqual(t, zones, []string{"b"})
	}
	zones, _ := a.Missing(2)
	assert.Equal(t, len(zones), 0)
}
