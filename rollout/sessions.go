package rollout

import (
	"hash/fnv"
	"maps"
	"time"
)

// servedSession is a use of a session by this VM.
type servedSession struct {
	session uint64
	onNew   bool
	at      time.Time
}

// Served notes which release served a session.
func (m *Manager) Served(name, session, release string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	onNew := s != nil && s.known && s.order.Release == release && s.current() != Done
	h := hash(session)
	m.sessions[h] = sessionUse{at: now, onNew: onNew}
	// Peers need only the sessions that the schedule may move in its first part,
	// and those that have moved.
	if onNew || float64(h>>11)/(1<<53) < m.first {
		m.recent = append(m.recent, servedSession{session: h, onNew: onNew, at: now})
	}
}

// RecentSessions returns the uses of sessions within a time, for peers.
func (m *Manager) RecentSessions(window time.Duration, now time.Time) []SessionUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []SessionUse
	kept := m.recent[:0]
	for _, u := range m.recent {
		age := now.Sub(u.at)
		if age > window {
			continue
		}
		kept = append(kept, u)
		out = append(out, SessionUse{Session: u.session, New: u.onNew, Age: age})
	}
	m.recent = kept
	return out
}

// AddSessions takes over the uses that a peer told.
func (m *Manager) AddSessions(uses []SessionUse, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range uses {
		at := now.Add(-u.Age)
		if old, ok := m.sessions[u.Session]; !ok || at.After(old.at) {
			m.sessions[u.Session] = sessionUse{at: at, onNew: u.New}
		}
	}
}

// Sweep forgets sessions that have ended.
func (m *Manager) Sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.sessions, func(_ uint64, u sessionUse) bool { return now.Sub(u.at) > m.o.SessionIdle })
}

// hash spreads session names evenly over 64 bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	return v ^ v>>33
}
