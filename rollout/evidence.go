package rollout

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/policy/guard"
)

// Outcome is the outcome of one call.
type Outcome struct {
	Route, Model string
	Failed       bool
	// Measured is the time to the first event and Nominal the time predicted for an
	// upstream of normal speed; both are 0 if unknown.
	Measured, Nominal time.Duration
}

// Observe records the outcome of a call to a release of a service.
func (m *Manager) Observe(name, release string, o Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	running := s.hasOrder && s.state() == Running
	candidate := s.hasOrder && release == s.order.Release && s.state() != Done
	timed := !o.Failed && o.Measured > 0 && o.Nominal > 0
	if running {
		s.observe(candidate, guard.Stratum{Class: o.Route, Signal: guard.Errors}, o.Failed)
		if timed {
			s.observeTime(candidate, o, now)
		}
		m.checkHalt(s)
	}
	if timed && !candidate {
		s.ordinary.observe(o.Model, o.ratio())
	}
}

// observeTime records whether the first event of a call was slow or delayed.
func (s *service) observeTime(candidate bool, o Outcome, now time.Time) {
	if s.elapsedFraction(now) < latencyComparedUntil {
		slow := o.Measured > minSlowLatency && o.ratio() > slowFactor
		s.observe(candidate, guard.Stratum{Class: o.Route, Signal: guard.Latency}, slow)
	}
	if ordinary, known := s.ordinary.of(o.Model); known && s.elapsedFraction(now) < pinnedUntil {
		// All calls share one class, because they are compared with the ordinary times of
		// their own model.
		s.observe(candidate, guard.Stratum{Signal: guard.Delay}, o.ratio() > delayFactor*ordinary)
	}
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
	// Order is the revision of the order, and Era its era. Builds before eras send none.
	Order  int64
	Era    int64
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
			out = append(out, Evidence{Service: name, Order: s.order.Revision, Era: s.order.Era, Counts: s.guard.Counts(), Halted: s.halted})
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
		if s == nil || !s.hasOrder || !s.is(orderID{e.Era, e.Order}) {
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
			case s == nil || s.id().compare(e.id()) < 0:
				sums[e.Service] = &Evidence{Service: e.Service, Order: e.Order, Era: e.Era, Counts: e.Counts.Clone(), Halted: e.Halted}
			case s.id() == e.id():
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

func (e *Evidence) id() orderID { return orderID{e.Era, e.Order} }
