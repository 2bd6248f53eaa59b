package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// errSuperseded ends a stream while the parts of another one are forwarded.
var errSuperseded = errors.New("another call delivers the parts")

// replacementRetry is the time after which a replacement for a stream that sends
// nothing is sought again.
const replacementRetry = time.Second

// racingCall is one call of a race.
type racingCall struct {
	target Target
	cancel context.CancelCauseFunc
	// idle is set while the call sends nothing for the idle timeout. It is guarded
	// by streamRace.mu.
	idle bool
}

// streamRace forwards a streamed response to the caller from one of several calls
// to upstreams, the owner. A call is not ended because it is silent: it goes on
// until another call delivers the next part, because the other call may be refused
// or fail.
type streamRace struct {
	x        *execution
	ctx      context.Context
	cancel   context.CancelFunc
	plan     Plan
	priority int
	results  chan raceResult
	silent   chan struct{} // signals an idle call; capacity 1
	running  []*racingCall
	second   *time.Timer // starts the second call of the plan, or a hedged call
	retry    *time.Timer // seeks a replacement for an idle owner again
	// superseded lists the calls that were ended for another one and not made
	// again.
	superseded []Target
	// restarts counts the calls of startSuperseded.
	restarts int
	// failure is the result of the last owner that failed, or of the last call if
	// none delivered a part.
	failure raceResult

	mu      sync.Mutex
	owner   *racingCall // nil before the first part and after the owner has failed
	version string      // the version of the delivered parts
	writing bool        // a part of the owner is being written to the caller
}

// raceResult is the result of one call of a race.
type raceResult struct {
	call  *racingCall
	reply reply
	err   error
}

func newStreamRace(ctx context.Context, x *execution, plan Plan) *streamRace {
	r := &streamRace{
		x: x, plan: plan, priority: plan.Priority, version: plan.Steps[0].Version,
		results: make(chan raceResult), silent: make(chan struct{}, 1),
		second: stoppedTimer(), retry: stoppedTimer(),
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// run makes the calls and returns the result of the one that completed the
// stream, or the last failure. No call outlives it, because all of them write to
// the same caller.
func (r *streamRace) run() (reply, error) {
	defer r.end()
	first := r.plan.Steps[0]
	switch {
	case len(r.plan.Steps) > 1:
		r.second.Reset(r.plan.Steps[1].StartAfter)
	case r.x.mayHedge(first):
		r.second.Reset(first.Patience)
	}
	r.start(first.Target)
	for len(r.running) > 0 {
		select {
		case res := <-r.results:
			if r.ended(res) {
				return res.reply, nil
			}
		case <-r.second.C:
			r.startSecond()
		case <-r.silent:
			r.replaceIdle()
		case <-r.retry.C:
			r.replaceIdle()
		}
	}
	return r.failure.reply, r.failure.err
}

// start makes a call that continues after the last delivered part.
func (r *streamRace) start(t Target) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	c := &racingCall{target: t, cancel: cancel}
	r.running = append(r.running, c)
	from := r.delivered()
	go func() {
		defer cancel(nil)
		resp, err := r.streamCall(ctx, c, from)
		r.results <- raceResult{c, resp, err}
	}()
}

// end ends the calls that still run and waits for them.
func (r *streamRace) end() {
	r.second.Stop()
	r.retry.Stop()
	r.mu.Lock()
	for _, c := range r.running {
		if c.idle {
			c.cancel(upstream.ErrStreamIdle)
		}
	}
	r.mu.Unlock()
	r.cancel()
	for range r.running {
		<-r.results
	}
}

// ended handles the end of a call. It returns true when the stream is complete.
func (r *streamRace) ended(res raceResult) bool {
	r.running = slices.DeleteFunc(r.running, func(c *racingCall) bool { return c == res.call })
	if res.err == nil && r.completes(res) {
		return true
	}
	if res.err == nil {
		res.err = errkind.New(errkind.UpstreamInvalidAnswer, "stream ended after part %d of %d", res.reply.result.Parts, r.delivered())
	}
	r.x.recordMayHaveRun(res.err)
	if errors.Is(res.err, errSuperseded) || errors.Is(res.err, upstream.ErrStreamIdle) {
		r.superseded = append(r.superseded, res.call.target)
	}
	wasOwner := r.disown(res.call)
	if wasOwner || r.failure.err == nil || r.delivered() == 0 {
		r.failure = res
	}
	if wasOwner && !errkind.AnswerFor(errkind.Of(res.err)).Retry {
		r.cancel()
	}
	r.replaceFailed(wasOwner)
	return false
}

// completes reports whether the call confirmed the end of the stream after the
// last delivered part. The call then is the owner, so that no other one delivers
// a part.
func (r *streamRace) completes(res raceResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != res.call && (!r.mayTakeOver(res.call) || res.reply.result.Parts != r.x.delivered) {
		return false
	}
	r.owner = res.call
	return true
}

// disown reports whether the call was the owner. The race then has none.
func (r *streamRace) disown(c *racingCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner != c {
		return false
	}
	r.owner = nil
	return true
}

// replaceFailed starts a call in the place of a failed one unless another call
// delivers. If no call is left that could, the Router is asked by runPlans.
func (r *streamRace) replaceFailed(wasOwner bool) {
	owned, idle := r.ownership()
	switch {
	case r.ctx.Err() != nil, owned && !idle:
	case owned:
		r.retry.Reset(replacementRetry)
	case r.delivered() == 0:
		if len(r.running) == 0 && r.second.Stop() && len(r.plan.Steps) > 1 {
			r.start(r.plan.Steps[1].Target)
		}
	case wasOwner:
		r.endOtherVersions()
		if len(r.running)+len(r.superseded) > 0 {
			r.replace(r.failure.call.target)
		}
	case len(r.running) == 0:
		r.startSuperseded()
	}
}

// endOtherVersions ends the calls that cannot continue the delivered parts.
func (r *streamRace) endOtherVersions() {
	version := r.failure.call.target.Version
	for _, c := range r.running {
		if c.target.Version != version {
			c.cancel(nil)
		}
	}
}

// replaceIdle seeks a call that continues the stream of an idle owner.
func (r *streamRace) replaceIdle() {
	r.mu.Lock()
	owner := r.owner
	idle := owner != nil && owner.idle
	r.mu.Unlock()
	if !idle {
		return
	}
	if len(r.running) > 1 || !r.replace(owner.target) {
		r.retry.Reset(replacementRetry)
	}
}

// replace starts a call that continues the stream in the place of a target that
// failed or is silent: the one that the Router plans or, if it plans none, one that
// was superseded before.
func (r *streamRace) replace(failed Target) bool {
	progress := r.x.progress
	progress.Failed, progress.KeepVersion = &failed, failed.Version
	if step, ok := r.x.planSecond(progress); ok && !r.calls(step.Target) {
		r.start(step.Target)
		return true
	}
	return r.startSuperseded()
}

// maxRestarts bounds the calls of a stream that need no retry from the budget.
const maxRestarts = 2

// startSuperseded makes a superseded call again. It needs no retry from the budget,
// because the call was ended by this router and not by its upstream.
func (r *streamRace) startSuperseded() bool {
	i := slices.IndexFunc(r.superseded, func(t Target) bool { return t.Version == r.deliveredVersion() })
	if i < 0 || r.restarts >= maxRestarts {
		return false
	}
	r.restarts++
	t := r.superseded[i]
	r.superseded = slices.Delete(r.superseded, i, i+1)
	r.start(t)
	return true
}

// calls reports whether a call to the upstream is running.
func (r *streamRace) calls(t Target) bool {
	return slices.ContainsFunc(r.running, func(c *racingCall) bool { return c.target.Upstream == t.Upstream })
}

// startSecond starts the second call of the plan, or a hedged call, unless a part
// has arrived.
func (r *streamRace) startSecond() {
	if owned, _ := r.ownership(); owned || r.delivered() > 0 {
		return
	}
	if len(r.plan.Steps) > 1 {
		r.start(r.plan.Steps[1].Target)
	} else if step, ok := r.x.planHedge(r.plan.Steps[0]); ok {
		r.start(step.Target)
	}
}

func (r *streamRace) ownership() (owned, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner != nil, r.owner != nil && r.owner.idle
}

// delivered returns the number of the last part sent to the caller.
func (r *streamRace) delivered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.x.delivered
}

// deliveredVersion returns the version of the delivered parts.
func (r *streamRace) deliveredVersion() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// markIdle records that a call has sent nothing for the idle timeout.
func (r *streamRace) markIdle(c *racingCall) {
	r.mu.Lock()
	c.idle = r.owner != c || !r.writing
	r.mu.Unlock()
	select {
	case r.silent <- struct{}{}:
	default:
	}
}

// claim reports whether a part of the call is to be forwarded. Its call then is the
// owner until another call delivers a part while it is idle. A part that was
// delivered before is dropped.
func (r *streamRace) claim(c *racingCall, number int) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.idle = false
	switch {
	case r.owner == c:
	case !r.mayTakeOver(c):
		return false, errSuperseded
	case number <= r.x.delivered:
		return false, nil
	case r.owner != nil:
		r.owner.cancel(upstream.ErrStreamIdle)
	}
	r.owner, r.version, r.writing = c, c.target.Version, true
	return true, nil
}

// mayTakeOver reports whether another call than the owner may deliver the next
// part. The caller holds mu.
func (r *streamRace) mayTakeOver(c *racingCall) bool {
	return (r.owner == nil || r.owner.idle) && (r.x.delivered == 0 || c.target.Version == r.version)
}

// deliver writes a part of the owner to the caller. The caller may read slowly.
func (r *streamRace) deliver(c *racingCall, p upstream.Part) error {
	err := r.x.writePart(c.target, p.Data)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	if err == nil {
		r.x.delivered = p.Number
	}
	return err
}
