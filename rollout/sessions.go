package rollout

import (
	"hash/fnv"
	"maps"
	"time"
)

// servedSession records that this VM served a request of a session.
type servedSession struct {
	session uint64
	sessionUse
}

// Served records which release served a request of a session.
func (m *Manager) Served(name, session, release string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	use := sessionUse{usedAt: now}
	if s != nil && s.hasOrder && s.order.Release == release && s.state() != Done {
		use.order = s.order.Revision
	}
	h := hash(session)
	m.sessions[h] = use
	// Peers need only the sessions that the schedule may move before pinnedUntil and
	// those that are on the new release.
	if use.order != 0 || float64(h>>11)/(1<<53) < m.initialShare {
		m.recentUses = append(m.recentUses, servedSession{session: h, sessionUse: use})
	}
}

// RecentSessions returns the session uses within the window, for reporting to peers, and
// drops older ones.
func (m *Manager) RecentSessions(window time.Duration, now time.Time) []SessionUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []SessionUse
	kept := m.recentUses[:0]
	for _, u := range m.recentUses {
		age := now.Sub(u.usedAt)
		if age > window {
			continue
		}
		kept = append(kept, u)
		out = append(out, SessionUse{Session: u.session, New: u.order != 0, Order: u.order, Age: age})
	}
	m.recentUses = kept
	return out
}

// AddSessions merges session uses that a peer reported.
func (m *Manager) AddSessions(uses []SessionUse, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range uses {
		usedAt := now.Add(-u.Age)
		if old, ok := m.sessions[u.Session]; !ok || usedAt.After(old.usedAt) {
			m.sessions[u.Session] = sessionUse{usedAt: usedAt, order: u.order()}
		}
	}
}

// Sweep drops sessions that have been idle for longer than SessionIdle.
func (m *Manager) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.sessions, func(_ uint64, u sessionUse) bool { return now.Sub(u.usedAt) > m.o.SessionIdle })
}

// hash maps session names evenly to 64 bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}
