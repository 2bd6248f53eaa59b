package rollout

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/policy/guard"
)

const (
	// slowFactor is how much longer than the nominal time a first event must take
	// to count as slow.
	slowFactor = 4.0
	// delayFactor is how much longer than the nominal time a first event must take
	// to count as delayed: a quarter to a third of those of a sound release do, and
	// more than half of those of one that is slow for a fifth of its requests. It is
	// compared only while few sessions are on the new release, because later the
	// load differs.
	delayFactor = 1.2
	// minSlow keeps short delays from counting as slow.
	minSlow = 400 * time.Millisecond
	// writerStep is the time that each VM leaves the one before it to write a
	// change to the store.
	writerStep = 1200 * time.Millisecond
	// writePause is the pause before a VM writes the same change again.
	writePause = time.Second
)

// Options configures a Manager.
type Options struct {
	// SessionIdle is the longest pause within a session.
	SessionIdle time.Duration
	// Exposure is the part of a service's requests that a bad release may get.
	Exposure float64
	Log      *zap.Logger
}

// Manager follows the rollouts of all services. It is safe for concurrent use.
type Manager struct {
	o Options
	// first is the part of the sessions that tries a new release first.
	first float64

	mu       sync.Mutex
	services map[string]*service
	sessions map[uint64]sessionUse
	recent   []servedSession
}

// service is the state of one service's rollout.
type service struct {
	order Order
	// known says that an order was given; began is when it was first seen here.
	known    bool
	began    time.Time
	progress Progress
	revision int64
	guard    *guard.Guard
	halted   bool
	// due is since when a change of the store's state is due.
	due     time.Time
	written time.Time
	// first are the releases that were registered before any order was known,
	// registered counts the upstreams of each release now.
	first      map[string]bool
	registered map[string]int
}

type sessionUse struct {
	at    time.Time
	onNew bool
}

// SessionUse tells peers which release a session had.
type SessionUse struct {
	Session uint64
	New     bool
	Age     time.Duration
}

// New returns a manager without rollouts.
func New(o Options) *Manager {
	if o.Exposure <= 0 {
		o.Exposure = defaultExposure
	}
	return &Manager{o: o, first: exposureUse * o.Exposure, services: map[string]*service{}, sessions: map[uint64]sessionUse{}}
}

func (m *Manager) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{first: map[string]bool{}, guard: guard.New(guard.Options{})}
		m.services[name] = s
	}
	return s
}

// SetOrder takes over an order of the operator.
func (m *Manager) SetOrder(o Order, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(o.Service)
	if s.known && s.order.Revision >= o.Revision {
		return
	}
	s.order, s.known, s.began = o, true, now
	s.guard, s.halted, s.due, s.written = guard.New(guard.Options{}), false, time.Time{}, time.Time{}
	m.o.Log.Info("rollout ordered", zap.String("service", o.Service), zap.String("release", o.Release), zap.Duration("duration", o.Duration), zap.Int64("revision", o.Revision))
}

// SetProgress takes over what the store keeps of a rollout. began is the
// beginning of the rollout by the clock of this VM.
func (m *Manager) SetProgress(p Progress, revision int64, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(p.Service)
	if revision <= s.revision {
		return
	}
	s.progress, s.revision, s.due = p, revision, time.Time{}
	if s.known && p.Order == s.order.Revision && began.Before(s.began) {
		s.began = began
	}
	m.o.Log.Info("rollout progress", zap.String("service", p.Service), zap.String("release", p.Release), zap.String("state", string(p.State)), zap.Int64("revision", revision))
}

// current returns the progress of the present order; a rollout that the store
// does not know yet is running.
func (s *service) current() State {
	if s.progress.Order == s.order.Revision && s.progress.State != "" {
		return s.progress.State
	}
	return Running
}

// SetReleases tells which releases of a service are registered.
func (m *Manager) SetReleases(name string, releases map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	s.registered = releases
	if s.known || len(s.first) > 0 {
		return
	}
	for r := range releases {
		s.first[r] = true
	}
}

// capacity is the part of the sessions that the upstreams of the new release can
// carry: the first of many must not get what all of them are meant for.
func (s *service) capacity() float64 {
	others := 0
	for release, n := range s.registered {
		if release != s.order.Release {
			others += n
		}
	}
	if others == 0 {
		return 1
	}
	return min(1, float64(s.registered[s.order.Release])/float64(others))
}

// Filter tells which releases may serve a request; nil functions allow all.
// Accept is asked when no upstream that Prefer allows is at hand, Retreat after
// a failed call.
type Filter struct {
	Prefer, AfterFailure, Accept func(release string) bool
}

// Allow returns the releases that a session may get now.
func (m *Manager) Allow(name, session string, now time.Time) Filter {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return Filter{}
	}
	if !s.known {
		return s.beforeOrder()
	}
	release := s.order.Release
	isNew := func(r string) bool { return r == release }
	isOld := func(r string) bool { return r != release }
	switch {
	case s.current() == Done:
		return Filter{Prefer: isNew, Accept: isNew}
	case s.current() == RolledBack || s.halted:
		return Filter{Prefer: isOld, Accept: isOld}
	case m.onNew(s, hash(session), now):
		return Filter{Prefer: isNew, AfterFailure: isOld}
	}
	return Filter{Prefer: isOld, AfterFailure: isOld}
}

// beforeOrder keeps releases out that appeared later than the first ones: their
// order has not been read yet.
func (s *service) beforeOrder() Filter {
	if len(s.first) == 0 {
		return Filter{}
	}
	first := s.first
	known := func(r string) bool { return first[r] }
	return Filter{Prefer: known}
}

// onNew decides for a session and remembers the decision.
func (m *Manager) onNew(s *service, session uint64, now time.Time) bool {
	part := s.part(now)
	use, seen := m.sessions[session]
	active := seen && now.Sub(use.at) <= m.o.SessionIdle
	onNew := float64(session>>11)/(1<<53) < s.share(part, m.first)
	switch {
	case active && use.onNew:
		onNew = true
	case active && part < pinnedUntil:
		onNew = false
	}
	return onNew
}

// share is the part of the sessions that get the new release, at most what its
// upstreams can carry. It does not grow while failures speak against the release.
func (s *service) share(part, first float64) float64 {
	if s.guard.MaxClassEvidence() >= suspicious {
		return min(first, s.capacity())
	}
	return min(share(part, first), s.capacity())
}

// Write is a change of a rollout's state that the store should keep.
type Write struct {
	Progress Progress
	// ExpectedRevision is the revision of the progress that the change follows.
	ExpectedRevision int64
}

// DueWrites returns the changes that this VM should write now. rank is the place of
// this VM among those that are alive: the first one writes at once, each other
// one only if those before it did not. oldCalls tells how many calls to other
// releases of a service are running.
func (m *Manager) DueWrites(now time.Time, storeClock time.Duration, rank int, oldCalls func(service, release string) int) []Write {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Write
	for name, s := range m.services {
		if !s.known {
			continue
		}
		next, ok := s.next(now, func() int { return oldCalls(name, s.order.Release) })
		if !ok {
			s.due = time.Time{}
			continue
		}
		if s.due.IsZero() {
			s.due = now
		}
		if now.Sub(s.due) < time.Duration(rank)*writerStep || now.Sub(s.written) < writePause {
			continue
		}
		s.written = now
		p := Progress{Service: name, Release: s.order.Release, State: next, Order: s.order.Revision, Started: storeClock - now.Sub(s.began)}
		out = append(out, Write{Progress: p, ExpectedRevision: s.revision})
	}
	return out
}

// next returns the state that the store should have, if it differs.
func (s *service) next(now time.Time, oldCalls func() int) (State, bool) {
	if s.progress.Order != s.order.Revision {
		if s.halted {
			return RolledBack, true
		}
		return Running, true
	}
	if s.progress.State != Running {
		return "", false
	}
	part := s.part(now)
	switch {
	case s.halted, part >= suspectedUntil && s.guard.MaxClassEvidence() >= suspicious:
		return RolledBack, true
	case part >= drainedBy, part >= movedAt && oldCalls() == 0:
		return Done, true
	}
	return "", false
}
