package mirror

import "time"

// Outdated reports whether the copy was last known to be current longer ago than limit,
// although the store has not been lost for longer than grace. This is the case after this
// VM was suspended: the next answer of the store may hold changes that should be in force.
// While the store is unavailable the last copy stays in force, so it is not outdated then.
func (m *Mirror) Outdated(limit, grace time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reading, ok := m.options.Clock.Now(now)
	if !ok || !m.loaded || m.aheadOfClock(now) || reading-m.confirmed <= limit {
		return false
	}
	return m.lostSince.IsZero() || now.Sub(m.lostSince) <= grace
}
