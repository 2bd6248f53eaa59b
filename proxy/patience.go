package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errNotStarted is the result of a second call that was not needed.
var errNotStarted = errors.New("second call was not started")

// mayGetSecond tells whether a call that stays without an answer for its
// patience leaves time for a second one elsewhere. An engine that hangs would
// otherwise hold the request until its deadline.
func (x *execution) mayGetSecond(step Step) bool {
	return step.Patience > 0 && x.delivered == 0 && time.Until(x.m.route.Deadline) > step.Patience*3/2
}

// second chooses where to call a second time. It counts as a retry.
func (x *execution) second(first Step) (Step, bool) {
	progress := x.progress
	progress.Failed = &first.Target
	next, err := x.s.o.Router.Next(x.m.route, progress)
	if err != nil || len(next.Steps) == 0 || next.Steps[0].Upstream == first.Upstream {
		return Step{}, false
	}
	x.s.counters.secondCalls.Add(1)
	return next.Steps[0], true
}

// patientResult is what one of the calls of patientWhole ended with.
type patientResult struct {
	step   Step
	answer answer
	err    error
}

// patientWhole gets a whole answer, with a second call when the first one takes
// too long. The first answer wins; the caller's context ends the other call.
func (x *execution) patientWhole(ctx context.Context, first Step, priority int) (answer, bool, error) {
	results := make(chan patientResult, 2)
	start := func(step Step) {
		go func() {
			a, err := x.s.callWhole(ctx, x.m, step.Target, priority)
			results <- patientResult{step: step, answer: a, err: err}
		}()
	}
	start(first)
	running := 1
	timer := time.NewTimer(first.Patience)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if step, ok := x.second(first); ok {
				start(step)
				running++
			}
		case r := <-results:
			running--
			x.progress.Calls++
			x.note(r.err)
			if r.err == nil {
				return x.judge(ctx, r.step, r.answer)
			}
			if running == 0 {
				x.fail(r.answer.target)
				return r.answer, false, r.err
			}
		}
	}
}

// patientStream delivers a stream, with a second call when the first one takes
// too long to send a part. The first to send one is delivered.
func (x *execution) patientStream(ctx context.Context, first Step, priority int) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, 2)
	ended := make(chan struct{})
	var winner atomic.Int32
	stream := func(index int, step Step) {
		// Nothing was delivered yet; see mayGetSecond.
		a, err := x.streamStep(ctx, step.Target, priority, 0, func() bool {
			return winner.CompareAndSwap(0, int32(index+1)) || winner.Load() == int32(index+1)
		})
		results <- stepResult{index: index, answer: a, err: err}
	}
	go stream(0, first)
	go func() {
		if x.waitPatience(ctx, first.Patience, ended) && winner.Load() == 0 {
			if step, ok := x.second(first); ok {
				stream(1, step)
				return
			}
		}
		results <- stepResult{index: 1, err: errNotStarted}
	}()
	return x.awaitStream(results, ended, &winner, cancel)
}

// waitPatience returns true when the patience is over before the first call is.
func (x *execution) waitPatience(ctx context.Context, patience time.Duration, ended <-chan struct{}) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-timer.C:
		return true
	}
	return false
}
