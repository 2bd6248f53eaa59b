package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errHedgeNotStarted is the result of a hedged call that was not made.
var errHedgeNotStarted = errors.New("second call was not started")

// mayHedge reports whether a hedged call to another upstream is made when the
// call of the step exceeds its patience: nothing was delivered yet and the
// deadline leaves time for it. Without a hedge, an engine that hangs would hold
// the request until its deadline.
func (x *execution) mayHedge(step Step) bool {
	return step.Patience > 0 && x.delivered == 0 && time.Until(x.req.route.Deadline) > step.Patience*3/2
}

// planHedge asks the Router where to make the hedged call, which counts as a
// retry. It returns false when the Router has no other upstream.
func (x *execution) planHedge(first Step) (Step, bool) {
	progress := x.progress
	progress.Failed = &first.Target
	next, err := x.server.options.Router.Next(x.req.route, progress)
	if err != nil || len(next.Steps) == 0 || next.Steps[0].Upstream == first.Upstream {
		return Step{}, false
	}
	x.server.counters.secondCalls.Add(1)
	return next.Steps[0], true
}

// hedgeResult is the result of one of the calls of callWithHedge.
type hedgeResult struct {
	step  Step
	reply reply
	err   error
}

// callWithHedge gets a complete response, with a hedged call when the first
// call exceeds its patience. The first successful response wins. The other call
// ends when runSteps cancels ctx.
func (x *execution) callWithHedge(ctx context.Context, first Step, priority int) (reply, bool, error) {
	results := make(chan hedgeResult, 2)
	start := func(step Step) {
		go func() {
			resp, err := x.server.callUnary(ctx, x.req, step.Target, priority)
			results <- hedgeResult{step: step, reply: resp, err: err}
		}()
	}
	start(first)
	running := 1
	timer := time.NewTimer(first.Patience)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if step, ok := x.planHedge(first); ok {
				start(step)
				running++
			}
		case r := <-results:
			running--
			x.progress.Calls++
			x.recordMayHaveRun(r.err)
			if r.err == nil {
				return x.acceptOrHold(ctx, r.step, r.reply)
			}
			if running == 0 {
				x.recordFailure(r.reply.target)
				return r.reply, false, r.err
			}
		}
	}
}

// streamWithHedge forwards a streamed response, with a hedged call when the
// first call has not sent a part within its patience. The first call to send a
// part is forwarded.
func (x *execution) streamWithHedge(ctx context.Context, first Step, priority int) (reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, 2)
	firstFailed := make(chan struct{})
	var winner atomic.Int32 // index+1 of the call whose stream is forwarded; 0 for none
	stream := func(index int, step Step) {
		// No part was delivered before, see mayHedge, so the stream starts at the
		// beginning.
		resp, err := x.streamStep(ctx, step.Target, priority, 0, func() bool {
			return winner.CompareAndSwap(0, int32(index+1)) || winner.Load() == int32(index+1)
		})
		results <- stepResult{index: index, reply: resp, err: err}
	}
	go stream(0, first)
	go func() {
		if x.waitForHedge(ctx, first.Patience, firstFailed) && winner.Load() == 0 {
			if step, ok := x.planHedge(first); ok {
				stream(1, step)
				return
			}
		}
		results <- stepResult{index: 1, err: errHedgeNotStarted}
	}()
	return x.awaitStreams(results, firstFailed, &winner, cancel)
}

// waitForHedge returns true when the patience has passed, and false when ctx
// ends or the first call fails before.
func (x *execution) waitForHedge(ctx context.Context, patience time.Duration, firstFailed <-chan struct{}) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-firstFailed:
	case <-timer.C:
		return true
	}
	return false
}
