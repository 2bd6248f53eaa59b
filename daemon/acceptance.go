package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// keptRevisions is how many revisions the daemon remembers for acceptance;
	// older ones need an acknowledgement from every entry VM.
	keptRevisions = 1024
	// leaseMargin allows for the tick in which evidence is checked.
	leaseMargin = 200 * time.Millisecond
)

// acceptance tells whether a revision is in force everywhere. A revision that
// touches nothing usable in isolation is, once the evidence lease has run out
// since it was known here: a daemon without newer evidence no longer uses what
// the revision changes. Any other needs an acknowledgement from every entry VM.
type acceptance struct {
	lease          time.Duration
	unacknowledged func(revision int64) []string
	now            func() time.Time

	mu   sync.Mutex
	seen []seenRevision
}

type seenRevision struct {
	revision int64
	at       time.Time
	touches  bool
}

// note records that the daemon put next in force in place of old.
func (a *acceptance) note(old, next *tree.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = append(a.seen, seenRevision{
		revision: next.Revision(),
		at:       a.now(),
		touches:  old == nil || tree.AffectsIsolatedDaemons(old, next),
	})
	if len(a.seen) > keptRevisions {
		a.seen = slices.Delete(a.seen, 0, len(a.seen)-keptRevisions)
	}
}

// Missing implements operator.Acceptance.
func (a *acceptance) Missing(revision int64) (zones, vms []string) {
	vms = a.unacknowledged(a.needed(revision))
	for _, id := range vms {
		if zone := member.ZoneOf(id); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones, vms
}

// needed returns the revision that every entry VM must have acknowledged for
// the given one to be in force everywhere.
func (a *acceptance) needed(revision int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.seen) == 0 || revision < a.seen[0].revision || revision > a.seen[len(a.seen)-1].revision {
		return revision // not known here, so it may touch anything
	}
	for i, s := range slices.Backward(a.seen) {
		if i > 0 && a.seen[i-1].revision >= revision {
			continue
		}
		// A step over several revisions counts for each of them.
		if s.touches || a.now().Sub(s.at) <= a.lease+leaseMargin {
			return min(s.revision, revision)
		}
	}
	return 0
}
