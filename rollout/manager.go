package rollout

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/policy/guard"
)

const (
	// slowFactor is the ratio to the nominal time above which a first event counts
	// as slow.
	slowFactor = 4.0
	// delayFactor is the factor above the ordinary ratio of a model from which on a first
	// event counts as delayed. Up to a fifth of the first events of a good release are
	// delayed, and about half of those of a release that is slow for a fifth of its
	// requests. Delays are compared only while few sessions are on the new
	// release, because the load of the two releases differs later.
	delayFactor = 1.5
	// minSlowLatency is the latency up to which a first event never counts as slow.
	minSlowLatency = 400 * time.Millisecond
	// writerStagger is the delay per rank before a VM writes a change to the store,
	// so that VMs of lower rank can write it first.
	writerStagger = 1200 * time.Millisecond
	// unknownProgressDelay is the delay before a VM that does not know the progress of a
	// rollout replaces an unreadable row, so that VMs that know it can do so first.
	unknownProgressDelay = 4 * writerStagger
	// writeRetryInterval is the shortest time between two attempts of a VM to write
	// a change.
	writeRetryInterval = time.Second
)

// Options configures a Manager.
type Options struct {
	// SessionIdle is the idle time after which a session has ended.
	SessionIdle time.Duration
	// Exposure is the largest fraction of a service's requests that a bad release
	// may get. Default: 0.15.
	Exposure float64
	Log      *zap.Logger
}

// Manager tracks the rollouts of all services. It is safe for concurrent use.
type Manager struct {
	o Options
	// initialShare is the fraction of the sessions that get a new release in the
	// first phase of a rollout.
	initialShare float64

	mu         sync.Mutex
	services   map[string]*service
	sessions   map[uint64]sessionUse
	recentUses []servedSession
	// era is that of the revisions of stored progress. Rows up to the revision base may be
	// older than the era.
	era, base int64
}

// service is the rollout state of one service.
type service struct {
	order Order
	// hasOrder is set once an order is known. startedAt is the start of the rollout:
	// the time at which this VM learned of the order, or an earlier one from the
	// store.
	hasOrder  bool
	startedAt time.Time
	progress  Progress
	revision  int64
	// unreadable is set if the row of the progress has been replaced by one that cannot
	// be read.
	unreadable bool
	// rewrite is set if the store has lost the known progress.
	rewrite bool
	// former holds the earlier IDs of the order, which the operator wrote again after the
	// store was restored, and past the latest orders before it.
	former []orderID
	past   []Order
	guard  *guard.Guard
	halted bool
	// changeDueSince is the time since which the stored state is due for a change,
	// zero if it is not. lastWriteAt is the time of this VM's last attempt to write
	// a change.
	changeDueSince time.Time
	lastWriteAt    time.Time
	// initialReleases holds the releases that were registered before any order was
	// known. registered counts the registered upstreams of each release.
	initialReleases map[string]bool
	registered      map[string]int
	// ordinary holds the ordinary times of the calls to the old release.
	ordinary ordinaryRatios
}

// sessionUse is the last known use of a session on any VM.
type sessionUse struct {
	usedAt time.Time
	// order is the revision of the order to whose release the session was moved, 0 if the
	// release was not new.
	order int64
}

// anyOrder stands for the order of a session of which a peer reports that it is on the new
// release, but not by which order.
const anyOrder = -1

// moved reports whether a session is on the new release of the current order.
func (s *service) moved(u sessionUse) bool {
	return u.order == s.order.Revision || u.order == anyOrder || slices.ContainsFunc(s.former, func(i orderID) bool { return i.revision == u.order })
}

// SessionUse reports to peers which release served a session.
type SessionUse struct {
	// Session is the hash of the session name.
	Session uint64
	// New is set if the new release served the session, and Order is the revision of its
	// order. Builds before this field do not report it.
	New   bool
	Order int64
	// Age is the time since the use.
	Age time.Duration
}

// order returns the order to whose release the session was moved, 0 for none.
func (u SessionUse) order() int64 {
	if u.New && u.Order == 0 {
		return anyOrder
	}
	return u.Order
}

// New returns a Manager without rollouts.
func New(o Options) *Manager {
	if o.Exposure <= 0 {
		o.Exposure = defaultExposure
	}
	return &Manager{o: o, initialShare: initialExposureFraction * o.Exposure, services: map[string]*service{}, sessions: map[uint64]sessionUse{}}
}

func (m *Manager) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{initialReleases: map[string]bool{}, guard: guard.New(guard.Options{}), ordinary: ordinaryRatios{}}
		m.services[name] = s
	}
	return s
}

// SetOrder starts a rollout by an order of the operator. Orders that are not newer
// than the known one are ignored. After the store was restored, an order with the content of
// the known one is that one, written again.
func (m *Manager) SetOrder(o Order, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(o.Service)
	if s.hasOrder {
		order := s.order.id().compare(o.id())
		if order == 0 {
			s.order.Base = o.Base
		}
		if order >= 0 || m.supersede(s, o) {
			return
		}
		s.past = append(s.past[max(0, len(s.past)+1-maxPastOrders):], s.order)
	}
	s.former = nil
	s.order, s.hasOrder, s.startedAt = o, true, now
	s.guard, s.halted, s.changeDueSince, s.lastWriteAt = guard.New(guard.Options{}), false, time.Time{}, time.Time{}
	m.o.Log.Info("rollout ordered", zap.String("service", o.Service), zap.String("release", o.Release), zap.Duration("duration", o.Duration), zap.Int64("revision", o.Revision))
}

// SetProgress applies the stored progress of a rollout, at a revision of the current era.
// startedAt is the start of the rollout by the clock of this VM.
func (m *Manager) SetProgress(p Progress, revision int64, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setProgress(p, revision, startedAt)
}

// SetWritten applies the progress that this VM has written at a revision of an era.
func (m *Manager) SetWritten(w Write, era, revision int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.era {
		m.setProgress(w.Progress, revision, now)
	}
}

func (m *Manager) setProgress(p Progress, revision int64, startedAt time.Time) {
	s := m.service(p.Service)
	if revision <= s.revision {
		return
	}
	s.revision, s.unreadable, s.changeDueSince = revision, false, time.Time{}
	if m.keeps(s, p, revision <= m.base) {
		s.rewrite = true
		m.o.Log.Warn("rollout progress of the store is older than known", zap.String("service", p.Service), zap.String("release", p.Release), zap.String("state", string(p.State)),
			zap.String("known", string(s.progress.State)), zap.Int64("era", m.era), zap.Int64("revision", revision))
		return
	}
	s.progress = p
	s.rewrite = s.belongs(&p) && p.order().compare(s.order.id()) < 0 && p.Order != s.order.Revision
	if s.belongs(&p) && startedAt.Before(s.startedAt) {
		s.startedAt = startedAt
	}
	m.o.Log.Info("rollout progress", zap.String("service", p.Service), zap.String("release", p.Release), zap.String("state", string(p.State)), zap.Int64("revision", revision))
}

// SetUnreadable records that the stored progress of a rollout has been replaced by one
// that cannot be read. The known progress stays in force and is written again.
func (m *Manager) SetUnreadable(name string, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	if revision <= s.revision {
		return
	}
	s.revision, s.unreadable = revision, true
}

// state returns the state of the current order. A rollout without stored progress
// is running.
func (s *service) state() State {
	if s.belongs(&s.progress) {
		return s.progress.State
	}
	return Running
}

// SetReleases sets the number of registered upstreams of a service by release.
func (m *Manager) SetReleases(name string, releases map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	s.registered = releases
	if s.hasOrder || len(s.initialReleases) > 0 {
		return
	}
	for r := range releases {
		s.initialReleases[r] = true
	}
}

// capacityShare returns the fraction of the sessions that the registered upstreams
// of the new release can serve, so that the first of them to register are not
// sent the traffic meant for all.
func (s *service) capacityShare() float64 {
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

// Filter determines which releases may serve a request. A nil function allows all
// releases. Prefer applies first, Accept applies if no upstream of a preferred
// release is available, and AfterFailure applies after a failed call.
type Filter struct {
	Prefer, AfterFailure, Accept func(release string) bool
}

// Allow returns the filter for the releases that may serve a session at the given
// time.
func (m *Manager) Allow(name, session string, now time.Time) Filter {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return Filter{}
	}
	if !s.hasOrder {
		return s.filterBeforeOrder()
	}
	release := s.order.Release
	isNew := func(r string) bool { return r == release }
	isOld := func(r string) bool { return r != release }
	switch {
	case s.state() == Done:
		return Filter{Prefer: isNew, Accept: isNew}
	case s.state() == RolledBack || s.halted:
		return Filter{Prefer: isOld, Accept: isOld}
	case m.onNew(s, hash(session), now):
		return Filter{Prefer: isNew, AfterFailure: isOld}
	}
	return Filter{Prefer: isOld, AfterFailure: isOld}
}

// filterBeforeOrder returns a filter that prefers the initially registered
// releases: a release that registers later has an order that has not been read.
func (s *service) filterBeforeOrder() Filter {
	if len(s.initialReleases) == 0 {
		return Filter{}
	}
	initialReleases := s.initialReleases
	known := func(r string) bool { return initialReleases[r] }
	return Filter{Prefer: known}
}

// onNew reports whether a session gets the new release. An active session that
// has been served by the new release stays there; one that has been served by the
// old release stays there until pinnedUntil.
func (m *Manager) onNew(s *service, session uint64, now time.Time) bool {
	elapsedFraction := s.elapsedFraction(now)
	use, seen := m.sessions[session]
	active := seen && now.Sub(use.usedAt) <= m.o.SessionIdle
	onNew := float64(session>>11)/(1<<53) < s.scheduledShare(elapsedFraction, m.initialShare)
	switch {
	case active && s.moved(use):
		onNew = true
	case active && elapsedFraction < pinnedUntil:
		onNew = false
	}
	return onNew
}

// scheduledShare returns the fraction of the sessions that get the new release,
// limited by the capacity of its upstreams. While the release is suspected, it is
// at most the initial share.
func (s *service) scheduledShare(elapsedFraction, initialShare float64) float64 {
	if s.guard.MaxClassEvidence() >= suspicionThreshold {
		return min(initialShare, s.capacityShare())
	}
	return min(scheduledShare(elapsedFraction, initialShare), s.capacityShare())
}

// Write is a change of a rollout's progress to be written to the store.
type Write struct {
	Progress Progress
	// ExpectedRevision is the revision of the stored progress that the change replaces, 0 if
	// the store has none.
	ExpectedRevision int64
}

// DueWrites returns the changes that this VM should write. rank is the index of this VM
// among the VMs that are alive: rank 0 writes at once, and each further VM writes
// only if those before it have not written within writerStagger each. storeClock
// is the time of the store's clock. oldCalls returns the number of calls in flight
// to all releases of a service but the given one.
func (m *Manager) DueWrites(now time.Time, storeClock time.Duration, rank int, oldCalls func(service, release string) int) []Write {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Write
	for name, s := range m.services {
		if !s.hasOrder && !s.rewrite {
			continue
		}
		nextState, ok := s.nextState(now, func() int { return oldCalls(name, s.order.Release) })
		if !ok && s.unreadable && s.hasOrder {
			nextState, ok = s.state(), true
		}
		if !ok && !s.rewrite {
			s.changeDueSince = time.Time{}
			continue
		}
		if s.changeDueSince.IsZero() {
			s.changeDueSince = now
		}
		wait := time.Duration(rank) * writerStagger
		if s.unreadable && s.progress.State == "" {
			wait += unknownProgressDelay
		}
		if now.Sub(s.changeDueSince) < wait || now.Sub(s.lastWriteAt) < writeRetryInterval {
			continue
		}
		s.lastWriteAt = now
		p := s.progress
		if s.hasOrder {
			if !ok {
				nextState = s.state()
			}
			p = Progress{
				Service: name, Release: s.order.Release, State: nextState, Order: s.order.Revision, Era: s.order.Era, Duration: s.order.Duration,
				Started: storeClock - now.Sub(s.startedAt),
			}
		}
		out = append(out, Write{Progress: p, ExpectedRevision: s.revision})
	}
	return out
}

// nextState returns the state to be written to the store, and whether it differs
// from the stored one.
func (s *service) nextState(now time.Time, oldCalls func() int) (State, bool) {
	if !s.hasOrder {
		return "", false
	}
	if !s.belongs(&s.progress) {
		if s.halted {
			return RolledBack, true
		}
		return Running, true
	}
	if s.progress.State != Running {
		return "", false
	}
	elapsedFraction := s.elapsedFraction(now)
	switch {
	case s.halted, elapsedFraction >= suspicionDeadline && s.guard.MaxClassEvidence() >= suspicionThreshold:
		return RolledBack, true
	case elapsedFraction >= drainDeadline, elapsedFraction >= fullTrafficFrom && oldCalls() == 0:
		return Done, true
	}
	return "", false
}
