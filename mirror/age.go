package mirror

import (
	"maps"
	"time"
)

const (
	// unknownAge is the age of a copy that has never been confirmed.
	unknownAge = time.Hour
	// maxClockError bounds the error of the estimate of the store's clock.
	maxClockError = 2 * time.Second
)

// State tells how recent a copy is.
type State struct {
	// Revision is the revision up to which the copy holds all changes of the table.
	Revision int64
	// Changed is the revision of the last change of the table up to Revision, or a
	// higher one if it is not known.
	Changed int64
	// Confirmed is the reading of the store's clock at which the copy was last known
	// to be current.
	Confirmed time.Duration
	// Era is that of the revisions. Builds before this field do not send it.
	Era int64
	// Begin is the first revision that was seen in the era, 0 if it is not known.
	Begin int64
	// Held is a fingerprint of the rows of earlier eras that are held, 0 if there are none.
	Held uint64
}

// State returns the state of the copy; ok is false until the table has been loaded.
func (m *Mirror) State() (s State, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{
		Revision: m.revision, Changed: m.changed, Confirmed: m.confirmed, Era: m.era, Begin: m.options.Eras.begin(m.era), Held: fingerprint(maps.Values(m.held)),
	}, m.loaded
}

// Confirm takes the state of a peer's copy. If this copy holds all changes of that
// one, it is as recent too, and Confirm returns true. A copy of another era confirms
// nothing.
func (m *Mirror) Confirm(peer State) bool {
	now := time.Now()
	if peer.Confirmed > 0 {
		m.options.Clock.observeIn(peer.Era, peer.Confirmed, now)
	}
	if peer.Begin > 0 && m.options.Eras.observe(Position{peer.Era, peer.Begin}, true, now) {
		m.review()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || peer.Era != m.era || m.revision < peer.Changed {
		return false
	}
	m.revision = max(m.revision, peer.Revision)
	m.confirm(peer.Confirmed)
	return true
}

// confirm records that the copy was current at a reading of the store's clock. The
// caller must hold m.mu.
func (m *Mirror) confirm(reading time.Duration) {
	if m.aheadOfClock(time.Now()) {
		m.confirmed = 0
	}
	m.confirmed = max(m.confirmed, reading)
}

// aheadOfClock reports whether the last confirmation is later than the store's clock,
// which has then begun anew. The caller must hold m.mu.
func (m *Mirror) aheadOfClock(now time.Time) bool {
	reading, _ := m.options.Clock.Now(now)
	return m.confirmed > reading+maxClockError
}

// Age returns the time since the copy was last known to be current.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	reading, ok := m.options.Clock.Now(now)
	if !ok || !m.loaded || m.aheadOfClock(now) {
		return unknownAge
	}
	return max(0, reading-m.confirmed)
}

// StoreClock estimates the reading of the store's monotonic clock; ok is false before
// the first reading.
func (m *Mirror) StoreClock(now time.Time) (at time.Duration, ok bool) {
	return m.options.Clock.Now(now)
}
