package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	storeDelay    = 400 * time.Millisecond
	upstreamDelay = 150 * time.Millisecond
	callerDelay   = 80 * time.Millisecond
	slowWork      = 1500 * time.Millisecond
	slowEvents    = 400 * time.Millisecond
	// afterCallers lets work that goes on without its caller be seen: twice the time
	// that it is allowed.
	afterCallers = 2 * goneBound
	// cutAfter is the number of events after which a faulty upstream breaks a stream.
	cutAfter = 4
)

// Run carries out a plan while callers send, waits for the recovery and returns
// what was seen.
func (s *System) Run(seed uint64, plan []Step, length time.Duration) Record {
	s.callers = newCallers(s, seed)
	s.callers.start()
	watched := make(chan struct{})
	defer close(watched)
	go s.watchStalls(watched)
	var steps sync.WaitGroup
	begun := time.Now()
	for _, step := range plan {
		time.Sleep(time.Until(begun.Add(step.At)))
		steps.Go(func() { s.carryOut(step) })
	}
	time.Sleep(time.Until(begun.Add(length)))
	steps.Wait()
	s.recovered()
	s.callers.stop()
	time.Sleep(afterCallers)
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls = s.callers.calls
	return s.record
}

const (
	// stallLook is the time between two looks at the clock, and longestStall how
	// much more than that may pass: a part of the 600 ms after which a VM takes an
	// upstream for silent.
	stallLook    = 20 * time.Millisecond
	longestStall = 200 * time.Millisecond
)

// watchStalls notes when the process of the soak itself does not run, because
// then its links and upstreams are silent for all VMs.
func (s *System) watchStalls(ended <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-time.After(stallLook):
		}
		now := time.Now()
		if now.Sub(last) > stallLook+longestStall {
			s.t.Logf("this process did not run for %v", now.Sub(last))
			s.mu.Lock()
			s.record.History = append(s.record.History, Interval{Step: Step{Fault: Stall}, From: last, To: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// carryOut applies a step for its time.
func (s *System) carryOut(step Step) {
	s.mu.Lock()
	at := len(s.record.History)
	// Until it has ended, a step counts as in effect.
	s.record.History = append(s.record.History, Interval{Step: step, From: time.Now(), To: time.Now().Add(time.Hour)})
	s.mu.Unlock()
	m := s.vms[step.Target%len(s.vms)]
	switch step.Fault {
	case StoreDown, StoreDelay, StoreLose:
		s.disturbStore(step)
	case StoreCompact:
		s.store.Compact()
	case StoreReset:
		for _, m := range s.vms {
			m.store.Reset()
		}
	case StoreHold:
		during(step, m.store, Disturbance{HoldBack: true})
	case CallerDelay:
		during(step, m.front, Disturbance{Delay: callerDelay})
	case CallerHold:
		during(step, m.front, Disturbance{HoldForward: true})
	case CallerReset:
		m.front.Reset()
	case VMPause:
		s.pause(m, step.For)
	case VMKill:
		s.restart(m, step.For, (*e2e.Process).Kill)
	case KillAll:
		var all sync.WaitGroup
		for _, m := range s.vms {
			all.Go(func() { s.restart(m, step.For, (*e2e.Process).Kill) })
		}
		all.Wait()
	case VMStop:
		s.restart(m, step.For, func(p *e2e.Process) { s.stopPlanned(m.settings.VM, p) })
	case VMReload:
		s.reload(m)
	case Configure:
		s.configure()
	default:
		s.disturbUpstream(step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.History[at].To = time.Now()
}

func during(step Step, l *Link, d Disturbance) {
	l.Disturb(d)
	time.Sleep(step.For)
	l.Disturb(Disturbance{})
}

// count changes the number of steps of a kind that are in effect.
func (s *System) count(faults map[Fault]int, f Fault, by int, apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults[f] += by
	apply()
}

func (s *System) disturbStore(step Step) {
	apply := func() {
		f := standin.Fault{Down: s.faults[StoreDown] > 0, LoseWrites: s.faults[StoreLose] > 0}
		if s.faults[StoreDelay] > 0 {
			f.Delay = storeDelay
		}
		s.store.SetFault(f)
	}
	s.count(s.faults, step.Fault, 1, apply)
	time.Sleep(step.For)
	s.count(s.faults, step.Fault, -1, apply)
}

// pick returns an upstream that is not leaving, or nil; it marks it as leaving
// if asked to.
func (s *System) pick(target int, leave bool) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[target%len(s.upstreams)]
	if u.leaving {
		return nil
	}
	u.leaving = leave
	if leave {
		s.addUpstream(u.Service)
	}
	return u
}

func (s *System) disturbUpstream(step Step) {
	u := s.pick(step.Target, step.Fault == UpstreamCrash || step.Fault == UpstreamDrain)
	if u == nil {
		return
	}
	switch step.Fault {
	case UpstreamCrash:
		u.Crash()
		time.Sleep(entryLapse)
		u.Stop()
	case UpstreamDrain:
		u.Drain()
		s.mu.Lock()
		s.record.Changes = append(s.record.Changes, Change{At: time.Now(), Upstream: u.ID})
		s.mu.Unlock()
		time.Sleep(leaveBound + step.For)
		u.Stop()
	case UpstreamReset:
		u.link.Reset()
	case UpstreamDelay:
		during(step, u.link, Disturbance{Delay: upstreamDelay})
	case UpstreamHold:
		during(step, u.link, Disturbance{HoldForward: true, HoldBack: true})
	case UpstreamMute:
		during(step, u.link, Disturbance{HoldBack: true})
	default:
		s.misbehave(u, step)
	}
}

// misbehave changes how an upstream answers.
func (s *System) misbehave(u *upstream, step Step) {
	apply := func() {
		b := ordinary(u.Service)
		b.Fail, b.Full = u.faults[UpstreamFail] > 0, u.faults[UpstreamFull] > 0
		if u.faults[UpstreamCut] > 0 {
			b.CutAfter = cutAfter
		}
		if u.faults[UpstreamSlow] > 0 {
			b.ServiceTime, b.EventEvery = slowWork, slowEvents
		}
		u.SetBehaviour(b)
	}
	s.count(u.faults, step.Fault, 1, apply)
	time.Sleep(step.For)
	s.count(u.faults, step.Fault, -1, apply)
}

func (s *System) pause(m *vm, d time.Duration) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if p == nil || !p.Running() {
		return
	}
	p.Pause()
	time.Sleep(d)
	if p.Running() {
		p.Resume()
	}
}

// restart ends the process of a VM and starts another one after a while.
func (s *System) restart(m *vm, after time.Duration, end func(*e2e.Process)) {
	if !s.end(m, end) {
		return
	}
	time.Sleep(after)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.launch(m)
}

// reload changes the settings file, and says so in one case of two.
func (s *System) reload(m *vm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings.Bounds.RetrySlack++
	s.writeSettings(m)
	if m.process != nil && m.process.Running() && rand.IntN(2) == 0 {
		m.process.Signal(syscall.SIGHUP)
	}
}
