package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// maxAppliedRevisions is how many applied revisions the daemon remembers. An
	// older revision needs an acknowledgement from every entry VM.
	maxAppliedRevisions = 1024
	// leaseMargin is added to the evidence lease, because daemons check their
	// evidence once per tick.
	leaseMargin = 200 * time.Millisecond
)

// acceptance determines whether a revision is in force on every entry VM. A
// revision that changes nothing that an isolated daemon may use is in force once
// the evidence lease has passed since this daemon applied it: by then a daemon
// without newer evidence has stopped using what the revision changes. Any other
// revision needs an acknowledgement from every entry VM.
type acceptance struct {
	evidenceLease time.Duration
	// unacknowledged lists the entry VMs that have not acknowledged a revision.
	unacknowledged func(revision int64) []string
	now            func() time.Time

	mu      sync.Mutex
	applied []appliedRevision
}

// appliedRevision is a revision that this daemon has put in force.
type appliedRevision struct {
	revision        int64
	appliedAt       time.Time
	affectsIsolated bool
}

// recordApplied records that the daemon has replaced the snapshot old by next.
// old is nil for the first one.
func (a *acceptance) recordApplied(old, next *tree.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = append(a.applied, appliedRevision{
		revision:        next.Revision(),
		appliedAt:       a.now(),
		affectsIsolated: old == nil || tree.AffectsIsolatedDaemons(old, next),
	})
	if len(a.applied) > maxAppliedRevisions {
		a.applied = slices.Delete(a.applied, 0, len(a.applied)-maxAppliedRevisions)
	}
}

// Missing implements operator.Acceptance.
func (a *acceptance) Missing(revision int64) (zones, vms []string) {
	vms = a.unacknowledged(a.requiredAcknowledgement(revision))
	for _, id := range vms {
		if zone := member.ZoneOf(id); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones, vms
}

// requiredAcknowledgement returns the revision that every entry VM must have
// acknowledged for the given one to be in force everywhere.
func (a *acceptance) requiredAcknowledgement(revision int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.applied) == 0 || revision < a.applied[0].revision || revision > a.applied[len(a.applied)-1].revision {
		return revision // not remembered, so it may change anything
	}
	for i, s := range slices.Backward(a.applied) {
		if i > 0 && a.applied[i-1].revision >= revision {
			continue
		}
		// A daemon that receives several revisions at once records only the
		// last, whose entry stands for each of them.
		if s.affectsIsolated || a.now().Sub(s.appliedAt) <= a.evidenceLease+leaseMargin {
			return min(s.revision, revision)
		}
	}
	return 0
}
