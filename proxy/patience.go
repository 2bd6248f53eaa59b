package proxy

import (
	"context"
	"time"
)

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
	return x.planSecond(progress)
}

// planSecond asks the Router for a call to another upstream than the failed one.
func (x *execution) planSecond(progress Progress) (Step, bool) {
	next, err := x.server.options.Router.Next(x.req.route, progress)
	if err != nil || len(next.Steps) == 0 || next.Steps[0].Upstream == progress.Failed.Upstream {
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
