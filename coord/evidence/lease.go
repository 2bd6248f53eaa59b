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
	// DefaultDuration is the default age up to which evidence keeps a lease
	// valid.
	DefaultDuration = 4 * time.Second
	// Never is the age reported when there is no evidence.
	Never = time.Duration(math.MaxInt64)
)

// ErrBadEvidence reports evidence with a negative revision or age.
var ErrBadEvidence = errors.New("bad evidence")

// Options configures a Lease.
type Options struct {
	// Duration is the age up to which evidence keeps the lease valid; default
	// DefaultDuration.
	Duration time.Duration
	// Clock measures the age of evidence; default SystemClock.
	Clock Clock
}

// Lease reports whether the configuration of this node is fresh. All methods are
// safe for concurrent use. Age, Valid and Covers take no lock and do not
// allocate.
type Lease struct {
	duration time.Duration
	clock    Clock

	mu    sync.Mutex // serialises writers
	state atomic.Pointer[state]
}

// state is an immutable value; writers replace it as a whole.
type state struct {
	applied int64       // revision in force on this node
	covered observation // youngest evidence for a revision up to applied
	pending observation // youngest evidence for a revision after applied
}

// observation states that the head was at revision at some moment, no earlier
// than age before the request was sent.
type observation struct {
	known         bool
	revision      int64
	requestSentAt Instant
	age           time.Duration
}

func (r observation) ageAt(now Instant) time.Duration {
	if !r.known {
		return Never
	}
	since := now.Since(r.requestSentAt)
	if since > Never-r.age {
		return Never
	}
	return since + r.age
}

// New returns a lease without evidence. Such a lease is not valid.
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

// Now returns the current instant, to be passed to Observe as sentAt. The caller
// must read it before it sends the request.
func (l *Lease) Now() Instant { return l.clock.Now() }

// Observe records that the head was at revision, according to the reply to a
// request sent at sentAt. age is the age of the evidence as stated by the reply;
// it is 0 for a reply from the platform itself. Observe ignores evidence that is
// not younger than the recorded evidence, and returns ErrBadEvidence for a
// negative revision or age.
func (l *Lease) Observe(revision int64, sentAt Instant, age time.Duration) error {
	if revision < 0 || age < 0 {
		return fmt.Errorf("%w: revision %d, age %v", ErrBadEvidence, revision, age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	next := *l.state.Load()
	r := observation{known: true, revision: revision, requestSentAt: sentAt, age: age}
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

// Advance records that revision is in force on this node. It ignores revisions
// that are not above the current one.
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
		next.pending = observation{}
	}
	l.state.Store(&next)
}

// Applied returns the revision in force.
func (l *Lease) Applied() int64 { return l.state.Load().applied }

// Age returns the age of the evidence for the revision in force, or Never.
func (l *Lease) Age() time.Duration {
	return l.state.Load().covered.ageAt(l.clock.Now())
}

// Valid reports whether the evidence for the revision in force is not older than
// the duration of the lease. A revision with a valid lease may be superseded, but
// for no longer than that duration. Valid must be called right before the action
// that relies on it.
func (l *Lease) Valid() bool { return l.Age() <= l.duration }

// Covers reports whether the lease is valid for a decision that was made with
// the configuration of the given revision. It returns false when a later
// revision is in force.
func (l *Lease) Covers(revision int64) bool {
	s := l.state.Load()
	return revision >= s.applied && s.covered.ageAt(l.clock.Now()) <= l.duration
}

// Evidence returns the newest evidence, for replies to peers: the revision of
// the head, which may not be in force on this node yet, and the age of the
// evidence.
func (l *Lease) Evidence() (revision int64, age time.Duration, ok bool) {
	s, now := l.state.Load(), l.clock.Now()
	newest := s.covered
	if s.pending.ageAt(now) < newest.ageAt(now) {
		newest = s.pending
	}
	return newest.revision, newest.ageAt(now), newest.known
}
