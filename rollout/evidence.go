package rollout

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/policy/guard"
)

// Observe records the outcome of a call. measured is the time to the first event
// and nominal the time predicted for an upstream of normal speed; both are 0 if
// unknown.
func (m *Manager) Observe(name, release, route string, failed bool, measured, nominal time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil || !s.hasOrder || s.state() != Running {
		return
	}
	s.observe(release == s.order.Release, guard.Stratum{Class: route, Signal: guard.Errors}, failed)
	if !failed && nominal > 0 && s.elapsedFraction(now) < latencyComparedUntil {
		slow := measured > minSlowLatency && measured.Seconds() > slowFactor*nominal.Seconds()
		s.observe(release == s.order.Release, guard.Stratum{Class: route, Signal: guard.Latency}, slow)
	}
	if !failed && nominal > 0 && s.elapsedFraction(now) < pinnedUntil {
		delayed := measured.Seconds() > delayFactor*nominal.Seconds()
		// All routes share one class, because the ratio does not depend on the size
		// of a request and both releases get the same mix of routes.
		s.observe(release == s.order.Release, guard.Stratum{Signal: guard.Delay}, delayed)
	}
	m.checkHalt(s)
}

// elapsedFraction returns the fraction of the rollout's duration that has passed.
func (s *service) elapsedFraction(now time.Time) float64 {
	return now.Sub(s.startedAt).Seconds() / s.order.Duration.Seconds()
}

func (s *service) observe(candidate bool, stratum guard.Stratum, bad bool) {
	if candidate {
		s.guard.ObserveCandidate(stratum, bad)
	} else {
		s.guard.ObserveBase(stratum, bad)
	}
}

// checkHalt halts the rollout if the evidence of all VMs against the new release
// suffices.
func (m *Manager) checkHalt(s *service) {
	halted, cause := s.guard.Halted()
	if !halted || s.halted {
		return
	}
	s.halted = true
	m.o.Log.Warn("rollout halted", zap.String("service", s.order.Service), zap.String("release", s.order.Release),
		zap.Stringer("signal", cause), zap.Float64("evidence", s.guard.Evidence(cause)))
}

// Evidence holds the outcomes that one VM has observed in a rollout.
type Evidence struct {
	Service string
	// Order is the revision of the order.
	Order  int64
	Counts guard.Counts
	// Halted is set if the VM has halted the rollout.
	Halted bool
}

// Evidence returns the evidence of this VM for all running rollouts.
func (m *Manager) Evidence() []Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Evidence
	for name, s := range m.services {
		if s.hasOrder && s.state() == Running {
			out = append(out, Evidence{Service: name, Order: s.order.Revision, Counts: s.guard.Counts(), Halted: s.halted})
		}
	}
	return out
}

// Merge replaces the stored evidence of a peer. peer must identify one
// incarnation of the peer, because its counts restart from zero with each
// incarnation.
func (m *Manager) Merge(peer string, list []Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range list {
		s := m.services[e.Service]
		if s == nil || !s.hasOrder || s.order.Revision != e.Order {
			continue
		}
		s.guard.Merge(peer, e.Counts)
		if e.Halted && !s.halted {
			s.halted = true
			m.o.Log.Warn("rollout halted by a peer", zap.String("service", e.Service), zap.String("release", s.order.Release), zap.String("peer", peer))
		}
		m.checkHalt(s)
	}
}

// SumEvidence sums evidence by service. Evidence for any order but the newest one
// of a service is ignored.
func SumEvidence(lists [][]Evidence) []Evidence {
	sums := map[string]*Evidence{}
	for _, list := range lists {
		for _, e := range list {
			s := sums[e.Service]
			switch {
			case s == nil || s.Order < e.Order:
				sums[e.Service] = &Evidence{Service: e.Service, Order: e.Order, Counts: e.Counts.Clone(), Halted: e.Halted}
			case s.Order == e.Order:
				s.Counts.Add(e.Counts)
				s.Halted = s.Halted || e.Halted
			}
		}
	}
	out := make([]Evidence, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	return out
}
