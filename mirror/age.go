package mirror

import "time"

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
}

// State returns the state of the copy; ok is false until the table has been loaded.
func (m *Mirror) State() (s State, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Revision: m.revision, Changed: m.changed, Confirmed: m.confirmed}, m.loaded
}

// Confirm takes the state of a peer's copy. If this copy holds all changes of that
// one, it is as recent too, and Confirm returns true.
func (m *Mirror) Confirm(peer State) bool {
	if peer.Confirmed > 0 {
		m.options.Clock.Observe(peer.Confirmed, time.Now())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.revision < peer.Changed {
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
