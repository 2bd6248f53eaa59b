package evidence

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultDuration is how long evidence lets a node use its configuration.
	DefaultDuration = 4 * time.Second
	// Never is the age of evidence that does not exist.
	Never = time.Duration(math.MaxInt64)
)

// ErrBadEvidence reports evidence with a negative revision or age.
var ErrBadEvidence = errors.New("bad evidence")

// Options configures a Lease.
type Options struct {
	// Duration of the lease; default DefaultDuration.
	Duration time.Duration
	// Clock defaults to SystemClock.
	Clock Clock
}

// Lease tells whether the configuration of this node is fresh. All methods are
// safe for concurrent use; Age, Valid and Covers take no lock and allocate
// nothing.
type Lease struct {
	duration time.Duration
	clock    Clock

	mu    sync.Mutex // serialises writers
	state atomic.Pointer[state]
}

// state is replaced as a whole and never modified.
type state struct {
	applied int64  // revision in force on this node
	covered record // newest evidence of a revision up to applied
	pending record // newest evidence of a later revision
}

// record says that the head was at revision when the clock read at, or later.
type record struct {
	known    bool
	revision int64
	sent     Instant
	age      time.Duration
}

func (r record) ageAt(now Instant) time.Duration {
	if !r.known {
		return Never
	}
	since := now.Since(r.sent)
	if since > Never-r.age {
		return Never
	}
	return since + r.age
}

// New returns a lease without evidence, which is not valid.
func New(o Options) *Lease {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	l := &Lease{duration: o.Duration, clock: o.Clock}
	l.state.Store(&state{})
	return l
}

// Now returns the instant to pass to Observe. It must be read before the
// request is sent.
func (l *Lease) Now() Instant { return l.clock.Now() }

// Observe records that the head was at revision, according to a reply to a
// request sent at sentAt. age is the age that the reply states; it is 0 for an
// answer of the platform itself. Evidence older than the known one is ignored.
func (l *Lease) Observe(revision int64, sentAt Instant, age time.Duration) error {
	if revision < 0 || age < 0 {
		return fmt.Errorf("%w: revision %d, age %v", ErrBadEvidence, revision, age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	next := *l.state.Load()
	r := record{known: true, revision: revision, sent: sentAt, age: age}
	slot := &next.covered
	if revision > next.applied {
		slot = &next.pending
	}
	if r.ageAt(now) >= slot.ageAt(now) {
		return nil
	}
	*slot = r
	l.state.Store(&next)
	return nil
}

// Advance says that revision is in force on this node. Lower revisions than the
// current one are ignored.
func (l *Lease) Advance(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := *l.state.Load()
	if revision <= next.applied {
		return
	}
	next.applied = revision
	if next.pending.known && next.pending.revision <= revision {
		now := l.clock.Now()
		if next.pending.ageAt(now) < next.covered.ageAt(now) {
			next.covered = next.pending
		}
		next.pending = record{}
	}
	l.state.Store(&next)
}

// Applied returns the revision in force.
func (l *Lease) Applied() int64 { return l.state.Load().applied }

// Age returns the age of the evidence for the revision in force, or Never.
func (l *Lease) Age() time.Duration {
	return l.state.Load().covered.ageAt(l.clock.Now())
}

// Valid reports whether the revision in force was not superseded longer ago
// than the duration of the lease. It must be called right before the action
// that relies on it.
func (l *Lease) Valid() bool { return l.Age() <= l.duration }

// Covers is Valid for a caller that decided with the configuration of the given
// revision, and false when a later revision is in force by now.
func (l *Lease) Covers(revision int64) bool {
	s := l.state.Load()
	return revision >= s.applied && s.covered.ageAt(l.clock.Now()) <= l.duration
}

// Evidence returns the newest evidence, for replies to peers: the revision of
// the head, which may not be in force here yet, and the age of that knowledge.
func (l *Lease) Evidence() (revision int64, age time.Duration, ok bool) {
	s, now := l.state.Load(), l.clock.Now()
	newest := s.covered
	if s.pending.ageAt(now) < newest.ageAt(now) {
		newest = s.pending
	}
	return newest.revision, newest.ageAt(now), newest.known
}
