package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	storeDelay  = 400 * time.Millisecond
	callerDelay = 80 * time.Millisecond
	// abandonedWorkWait is how long the system runs on after the callers have stopped,
	// so that work for abandoned calls shows. It is twice the time allowed for it.
	abandonedWorkWait = 2 * abandonedWorkBound
)

// Run executes a plan while callers send requests, waits until the system has
// recovered and returns what was observed.
func (s *System) Run(seed uint64, plan []Step, length time.Duration) Record {
	s.load = newLoadGenerator(s, seed)
	s.load.start()
	if s.platform {
		s.load.startWithdrawnKeys()
	}
	done := make(chan struct{})
	defer close(done)
	go s.detectStalls(done)
	var steps sync.WaitGroup
	begun := time.Now()
	for _, step := range plan {
		time.Sleep(time.Until(begun.Add(step.At)))
		steps.Go(func() { s.runStep(step) })
	}
	time.Sleep(time.Until(begun.Add(length)))
	steps.Wait()
	s.waitRecovered()
	s.load.stop()
	time.Sleep(abandonedWorkWait)
	s.stopAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls = s.load.calls
	return s.record
}

const (
	// stallCheckPeriod is the interval at which the clock is read. A stall is recorded
	// when a reading is late by more than maxStall, a third of the 600 ms after which
	// a VM considers an upstream silent.
	stallCheckPeriod = 20 * time.Millisecond
	maxStall         = 200 * time.Millisecond
)

// detectStalls records when the process of the soak test itself does not run,
// because its links and upstreams are then silent for all VMs.
func (s *System) detectStalls(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallCheckPeriod):
		}
		now := time.Now()
		if now.Sub(last) > stallCheckPeriod+maxStall {
			s.t.Logf("this process did not run for %v", now.Sub(last))
			s.mu.Lock()
			s.record.History = append(s.record.History, Interval{Step: Step{Kind: ProcessStall}, From: last, To: now})
			s.mu.Unlock()
		}
		last = now
	}
}

// runStep applies a step for its duration and records it in the history.
func (s *System) runStep(step Step) {
	s.mu.Lock()
	m := s.vms[step.Target%len(s.vms)]
	subject := ""
	switch {
	case slices.Contains(vmDisruptions, step.Kind) || step.Kind == VMStop:
		subject = m.settings.VM
	case strings.HasPrefix(string(step.Kind), "upstream "):
		// Upstreams may be added before the step selects its own.
		step.Target %= len(s.upstreams)
		for slices.Contains([]StepKind{UpstreamResumeWrong, UpstreamPart}, step.Kind) && (s.upstreams[step.Target].Service != "model" || s.upstreams[step.Target].leaving) {
			step.Target = (step.Target + 1) % len(s.upstreams) // only these send streams
		}
		subject = s.upstreams[step.Target].ID
	}
	index := len(s.record.History)
	// A step counts as in effect until it has ended.
	s.record.History = append(s.record.History, Interval{Step: step, Subject: subject, From: time.Now(), To: time.Now().Add(time.Hour)})
	s.mu.Unlock()
	switch step.Kind {
	case StoreDown, StoreDelay, StoreLoseReplies:
		s.injectStoreFault(step)
	case StoreCompact:
		s.store.Compact()
	case StoreReset:
		for _, m := range s.vms {
			m.storeLink.Reset()
		}
	case StoreHold:
		injectLinkFault(step, m.storeLink, faultlink.Fault{HoldBack: true})
	case StoreSilence:
		m.storeLink.Silence()
	case CallerDelay:
		injectLinkFault(step, m.frontLink, faultlink.Fault{Delay: callerDelay})
	case CallerHold:
		injectLinkFault(step, m.frontLink, faultlink.Fault{HoldForward: true})
	case CallerReset:
		m.frontLink.Reset()
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
		s.restart(m, step.For, func(p *e2e.Process) { s.stopUnderLoad(m, p, step, index) })
	case VMReload:
		s.reload(m)
	case Configure:
		s.configure()
	case ZoneEvacuate:
		s.evacuate(step)
	case ColdStart:
		s.startCold(step)
	case StoreRestore:
		s.restoreStore(step)
	case OddRegistration:
		s.injectOddRegistration(step, index)
	default:
		s.injectUpstreamFault(step)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.History[index].To = time.Now()
}

// injectLinkFault applies a fault to a link for the duration of a step.
func injectLinkFault(step Step, l *faultlink.Link, f faultlink.Fault) {
	l.SetFault(f)
	time.Sleep(step.For)
	l.SetFault(faultlink.Fault{})
}

// adjustActiveFaults changes the number of steps of a kind that are in effect and
// calls apply, under the lock, to apply the new combination. Steps can overlap.
func (s *System) adjustActiveFaults(active map[StepKind]int, kind StepKind, delta int, apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active[kind] += delta
	apply()
}

// injectStoreFault makes the store misbehave for the duration of a step.
func (s *System) injectStoreFault(step Step) {
	apply := func() {
		f := standin.Fault{Down: s.activeFaults[StoreDown] > 0, LoseWrites: s.activeFaults[StoreLoseReplies] > 0}
		if s.activeFaults[StoreDelay] > 0 {
			f.Delay = storeDelay
		}
		s.store.SetFault(f)
	}
	s.adjustActiveFaults(s.activeFaults, step.Kind, 1, apply)
	time.Sleep(step.For)
	s.adjustActiveFaults(s.activeFaults, step.Kind, -1, apply)
}

// injectOddRegistration writes an odd registration and removes it after the duration
// of a step.
func (s *System) injectOddRegistration(step Step, number int) {
	variants := standin.OddRegistrations([]string{"desk", "model"}[number%2], s.oddListener.Addr().String())
	odd := variants[step.variant(len(variants))]
	odd.ID += strconv.Itoa(number)
	s.store.PutValue("servers", odd.ID, []byte(odd.Value))
	time.Sleep(step.For)
	s.store.Remove("servers", odd.ID)
}

// pause stops the process of a VM for d, if it runs, and resumes it.
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

// restart ends the process of a VM and starts another one after a delay.
func (s *System) restart(m *vm, delay time.Duration, end func(*e2e.Process)) {
	if !s.endProcess(m, end) {
		return
	}
	time.Sleep(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.launch(m)
}

// stopUnderLoad stops a process as planned. If the shape asks for it, callers connect
// straight to the VM until the process is gone, and further signals follow the first.
func (s *System) stopUnderLoad(m *vm, p *e2e.Process, step Step, index int) {
	if !s.directCalls {
		s.stopPlanned(m.settings.VM, p)
		return
	}
	direct := newDirectLoad(s.load, m)
	s.mu.Lock()
	s.record.History[index].From = time.Now()
	s.mu.Unlock()
	direct.start(p)
	var signals sync.WaitGroup
	if further := []syscall.Signal{0, syscall.SIGHUP, syscall.SIGTERM}[step.variant(3)]; further != 0 {
		signals.Go(func() {
			time.Sleep(firstSignalDelay + rand.N(lastSignalDelay-firstSignalDelay))
			p.Signal(further)
		})
	}
	s.stopPlanned(m.settings.VM, p)
	signals.Wait()
	direct.wait()
}

// reload changes the settings file of a VM and, in half of the cases, signals the
// process to read it again.
func (s *System) reload(m *vm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings.Bounds.RetrySlack++
	s.writeSettings(m)
	if m.process != nil && m.process.Running() && rand.IntN(2) == 0 {
		m.process.Signal(syscall.SIGHUP)
	}
}

// countOddConnections counts the connections to the address of odd registrations.
func (s *System) countOddConnections() {
	for {
		conn, err := s.oddListener.Accept()
		if err != nil {
			return // closed
		}
		_ = conn.Close()
		s.mu.Lock()
		s.record.OddConnections++
		s.mu.Unlock()
	}
}
