package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	upstreamDelay     = 150 * time.Millisecond
	slowWorkTime      = 1500 * time.Millisecond
	slowEventInterval = 400 * time.Millisecond
	// cutAfterEvents is the number of events after which a faulty upstream breaks a
	// stream.
	cutAfterEvents = 4
	// lateRefusalDelay and breakDelay are the times after which upstreams refuse requests,
	// or break them off, while another one pauses. A VM replaces a silent call by then.
	lateRefusalDelay = 450 * time.Millisecond
	breakDelay       = 350 * time.Millisecond
	// longShare is the share of the duration of a step for which each request is processed.
	longShare = 0.6
	// shortAskedPause and longAskedPause are the pauses for which upstreams ask.
	shortAskedPause = 1500 * time.Millisecond
	longAskedPause  = 2500 * time.Millisecond
	// leavingTime is how long an upstream says that it leaves, in addition to drainBound,
	// before the store says so.
	leavingTime = 2 * time.Second
)

// selectUpstream returns the target upstream, or nil if it is leaving. With leave, it
// marks the upstream as leaving and starts another one of the same service.
func (s *System) selectUpstream(target int, leave bool) *upstream {
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

// injectUpstreamFault applies a step to an upstream or to its link.
func (s *System) injectUpstreamFault(step Step) {
	u := s.selectUpstream(step.Target, slices.Contains([]StepKind{UpstreamCrash, UpstreamDrain, UpstreamLeave}, step.Kind))
	if u == nil {
		return
	}
	switch step.Kind {
	case UpstreamCrash:
		u.Crash()
		time.Sleep(entryTTL)
		u.Stop()
	case UpstreamDrain:
		s.drain(u, step.For)
	case UpstreamLeave:
		s.injectResponseFaults(Step{For: drainBound + leavingTime}, UpstreamLeave, []*upstream{u})
		s.drain(u, leaveDuration)
	case UpstreamReset:
		u.link.Reset()
	case UpstreamDelay:
		injectLinkFault(step, u.link, faultlink.Fault{Delay: upstreamDelay})
	case UpstreamHold:
		injectLinkFault(step, u.link, faultlink.Fault{HoldForward: true, HoldBack: true})
	case UpstreamHoldReplies:
		injectLinkFault(step, u.link, faultlink.Fault{HoldBack: true})
	case UpstreamAlone:
		s.injectResponseFaults(step, UpstreamRefuse, s.othersOfService(u))
	case UpstreamLong:
		s.injectResponseFaults(step, UpstreamLong, append(s.othersOfService(u), u))
	case UpstreamPart:
		upstreams := []*upstream{u}
		if step.variant(3) != 0 {
			upstreams = append(upstreams, s.othersOfService(u)...)
		}
		s.injectResponseFaults(step, UpstreamPart, upstreams)
	case UpstreamPauseRefused:
		s.injectPauseBeside(step, u, UpstreamRefuseLate)
	case UpstreamPauseBroken:
		s.injectPauseBeside(step, u, UpstreamBreak)
	case UpstreamResumeWrong:
		s.injectBeside(step, u, UpstreamCut, UpstreamResumeWrong)
	default:
		s.injectResponseFaults(step, step.Kind, []*upstream{u})
	}
}

// drain makes an upstream leave, which serves for d longer than it must.
func (s *System) drain(u *upstream, d time.Duration) {
	s.storeWrites.RLock()
	u.Drain()
	s.storeWrites.RUnlock()
	s.mu.Lock()
	s.record.Changes = append(s.record.Changes, Change{At: time.Now(), Upstream: u.ID})
	s.mu.Unlock()
	time.Sleep(drainBound + d)
	u.Stop()
}

// injectBeside applies a fault to an upstream and, for the same time, another one to the
// others of its service.
func (s *System) injectBeside(step Step, u *upstream, kind, others StepKind) {
	var both sync.WaitGroup
	both.Go(func() { s.injectResponseFaults(step, kind, []*upstream{u}) })
	s.injectResponseFaults(step, others, s.othersOfService(u))
	both.Wait()
}

// injectPauseBeside makes an upstream pause for half of the duration of a step, while the
// others of its service have a fault.
func (s *System) injectPauseBeside(step Step, u *upstream, others StepKind) {
	kind := []StepKind{UpstreamPauseHead, UpstreamPauseBody}[step.variant(2)]
	var both sync.WaitGroup
	for _, part := range []Step{{For: step.For / 2}, {At: step.For / 2, For: step.For / 2}} {
		both.Go(func() {
			time.Sleep(part.At)
			s.injectResponseFaults(part, kind, []*upstream{u})
		})
	}
	s.injectResponseFaults(step, others, s.othersOfService(u))
	both.Wait()
}

// othersOfService returns the other upstreams of the service of u.
func (s *System) othersOfService(u *upstream) []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.upstreams), func(other *upstream) bool { return other == u || other.Service != u.Service })
}

// injectResponseFaults changes how upstreams respond for the duration of a step.
func (s *System) injectResponseFaults(step Step, kind StepKind, upstreams []*upstream) {
	for _, u := range upstreams {
		s.adjustActiveFaults(u.activeFaults, kind, 1, func() {
			u.variants[kind] = step
			u.applyFaults()
		})
	}
	time.Sleep(step.For)
	for _, u := range upstreams {
		s.adjustActiveFaults(u.activeFaults, kind, -1, u.applyFaults)
	}
}

// applyFaults makes the upstream respond as its faults in effect require.
func (u *upstream) applyFaults() {
	active := func(kind StepKind) bool { return u.activeFaults[kind] > 0 }
	b := healthyBehaviour(u.Service)
	b.Fail, b.RepeatRefusal, b.Leaving = active(UpstreamFail), active(UpstreamRepeat), active(UpstreamLeave)
	u.applyRefusals(&b, active)
	if active(UpstreamCut) {
		b.CutAfter = cutAfterEvents
	}
	if active(UpstreamPart) {
		b.Break = &standin.Breaks[u.variants[UpstreamPart].variant(len(standin.Breaks))]
	}
	if active(UpstreamBreak) {
		b.BreakAfter = breakDelay
	}
	if active(UpstreamSlow) {
		b.ServiceTime, b.EventEvery = slowWorkTime, slowEventInterval
	}
	if active(UpstreamLong) {
		b.ServiceTime = time.Duration(longShare * float64(u.variants[UpstreamLong].For))
		b.EventEvery = b.ServiceTime / streamEvents
	}
	for _, kind := range []StepKind{UpstreamPauseBody, UpstreamPauseHead} {
		if active(kind) {
			b.Pause = standin.Pause{For: u.variants[kind].For, InBody: kind == UpstreamPauseBody}
		}
	}
	for kind, framing := range framings {
		if active(kind) {
			b.Framing = max(b.Framing, framing)
		}
	}
	if active(UpstreamResumeWrong) {
		b.Resumption = &standin.WrongResumptions[u.variants[UpstreamResumeWrong].variant(len(standin.WrongResumptions))]
	}
	u.SetBehaviour(b)
}

// framings lists the steps that change the form of the responses.
var framings = map[StepKind]standin.Framing{
	UpstreamUnframed: standin.FramingByClose, UpstreamNoBody: standin.FramingWithoutBody, UpstreamCutHead: standin.FramingCutInHead,
}

// applyRefusals sets how the upstream refuses requests.
func (u *upstream) applyRefusals(b *standin.Behaviour, active func(StepKind) bool) {
	b.Full = active(UpstreamRefuse) || active(UpstreamRefuseLate) || active(UpstreamAskPause)
	if active(UpstreamRefuseLate) {
		b.RefuseAfter = lateRefusalDelay
	}
	if active(UpstreamAskPause) {
		b.RetryAfter = []time.Duration{shortAskedPause, longAskedPause}[u.variants[UpstreamAskPause].variant(2)]
	}
}
