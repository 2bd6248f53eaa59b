package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// modelRequest is a validated model request that is being executed.
type modelRequest struct {
	route   RouteRequest
	chat    chatRequest
	session pinnedSession
	// request is the HTTP request, and model the model that it names, if any.
	// Versions are selected by both.
	request *request
	model   string
	// ledgerKey is the request key of the ledger entry, and reservation the
	// ledger space reserved for that entry.
	ledgerKey   string
	reservation Reservation
	// tests is set while a call of the request tests whether a message still ends
	// upstreams.
	tests atomic.Bool
}

// reply is the response of a target to one call.
type reply struct {
	target Target
	result upstream.Result
	// text is the part of the response that is kept for a rating: the body of a
	// complete response, or the generated text of a stream.
	text string
}

// heldReleaseMargin is how long before the deadline a held response is
// released, so that it reaches the caller in time.
const heldReleaseMargin = 20 * time.Millisecond

// execution is the state of one request while its upstream calls are made.
// Calls that run in parallel share it, but only one goroutine at a time
// modifies it.
type execution struct {
	server   *Server
	req      *modelRequest
	events   *eventWriter
	progress Progress
	// held is the last response that was rated as not good. It is returned when
	// no better one is obtained.
	held *reply
	// streaming is set when parts are forwarded to the caller as they arrive.
	streaming bool
	// delivered is the number of the last part sent to the caller.
	delivered int
	// mayHaveRun is set when an earlier call may have run; an error of the
	// request must then not claim "not run".
	mayHaveRun bool
	// rerouted is set once the versions were selected a second time, which
	// happens at most once per request.
	rerouted bool
}

// run executes a plan and its follow-up plans until a response is accepted.
// When no response is accepted, it returns the held one, if any, instead of an
// error. An error claims "not run" only if none of the calls may have run.
func (x *execution) run(ctx context.Context, plan Plan) (reply, error) {
	resp, err := x.runPlans(ctx, plan)
	if err != nil && x.mayHaveRun && errkind.RanOf(err) == errkind.RanNo {
		err = errkind.WithRan(err, errkind.RanUnknown)
	}
	return resp, err
}

// runPlans executes one plan after the other.
func (x *execution) runPlans(ctx context.Context, plan Plan) (reply, error) {
	for {
		if len(plan.Steps) == 0 {
			return x.heldOrError(reply{}, errkind.New(errkind.NoCapacity, "no further call is worth making"))
		}
		resp, rejected, err := x.runSteps(ctx, plan)
		if err == nil && !rejected {
			return resp, nil
		}
		if ctx.Err() != nil || x.deadlineReached() {
			return x.heldOrError(resp, errkind.Wrap(errkind.UpstreamTimeout, firstError(err, context.DeadlineExceeded)))
		}
		if next, ok := x.reroute(err); ok {
			plan = next
			continue
		}
		if err != nil && (errkind.Of(err) == errkind.Quarantined || !errkind.AnswerFor(errkind.Of(err)).Retry) {
			return x.heldOrError(resp, err)
		}
		if quarantined := x.quarantined(err); quarantined != nil {
			return x.heldOrError(resp, quarantined)
		}
		next, planErr := x.server.options.Router.Next(x.req.route, x.progress)
		if planErr != nil {
			x.server.counters.retriesRefused.Add(1)
			return x.heldOrError(resp, firstError(err, planErr))
		}
		if err != nil {
			x.server.counters.retries.Add(1)
		}
		plan = next
	}
}

// quarantined returns an error if a call has failed and a further one must not be made
// because of the prompt, which may end upstreams also after some parts of the response.
func (x *execution) quarantined(err error) error {
	if err == nil {
		return nil
	}
	return x.server.reconsiderQuarantine(x.req)
}

// deadlineReached reports whether the time for further calls is over. With a
// held response that is heldReleaseMargin before the deadline.
func (x *execution) deadlineReached() bool {
	end := x.req.route.Deadline
	if x.held != nil {
		end = x.req.releaseTime()
	}
	return !time.Now().Before(end)
}

// releaseTime returns when a held response is released at the latest.
func (m *modelRequest) releaseTime() time.Time { return m.route.Deadline.Add(-heldReleaseMargin) }

// recordMayHaveRun sets mayHaveRun unless err says that the call did not run.
func (x *execution) recordMayHaveRun(err error) {
	if err != nil && errkind.RanOf(err) != errkind.RanNo {
		x.mayHaveRun = true
	}
}

// reroute selects versions again and returns a new plan when the version of the
// plan was withdrawn or halted after the plan was made. The failure is seen
// either in the check before the write, or as a refusal by an upstream that has
// unloaded the version.
func (x *execution) reroute(err error) (Plan, bool) {
	if err == nil || x.rerouted || x.delivered > 0 || !x.causedByStalePlan(err) {
		return Plan{}, false
	}
	x.rerouted = true
	req := x.req
	req.request.snapshot = x.server.options.Snapshot()
	e, effErr := req.request.snapshot.Effective(req.route.Organisation, req.route.Service, req.session.name)
	if effErr != nil {
		return Plan{}, false
	}
	req.route.Effective = e
	if x.server.chooseVersions(req) != nil {
		return Plan{}, false
	}
	plan, planErr := x.server.options.Router.Plan(x.req.route)
	return plan, planErr == nil
}

// causedByStalePlan reports whether err may come from a plan that is older than
// the configuration in force.
func (x *execution) causedByStalePlan(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.NoAllowedVersion || kind == errkind.UpstreamRefused && x.req.request.snapshot != x.server.options.Snapshot()
}

// firstError returns err, or other when err is nil.
func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// heldOrError returns the held response, if any, instead of resp and err.
func (x *execution) heldOrError(resp reply, err error) (reply, error) {
	if x.held != nil {
		return *x.held, nil
	}
	return resp, err
}

// runSteps makes the calls of one plan. rejected is true when the response was
// rated as not good; the response is then held.
func (x *execution) runSteps(ctx context.Context, plan Plan) (resp reply, rejected bool, err error) {
	until := x.req.route.Deadline
	if x.held != nil {
		until = x.req.releaseTime()
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	first := plan.Steps[0]
	live := x.req.chat.stream && (x.delivered > 0 || !first.Rated && x.held == nil)
	switch {
	case live:
		resp, err = x.streamSteps(ctx, plan)
	case len(plan.Steps) == 1 && x.mayHedge(first):
		return x.callWithHedge(ctx, first, plan.Priority)
	case len(plan.Steps) == 1:
		resp, err = x.server.callUnary(ctx, x.req, first.Target, plan.Priority)
	default:
		return x.raceSteps(ctx, plan)
	}
	x.progress.Calls++
	x.recordMayHaveRun(err)
	if err != nil {
		x.recordFailure(resp.target)
		return resp, false, err
	}
	return x.acceptOrHold(ctx, first, resp)
}

// recordFailure records a failed call for the next decision of the Router.
func (x *execution) recordFailure(t Target) {
	x.progress.Failed = &t
	if x.delivered > 0 {
		x.progress.KeepVersion = t.Version
	}
}

// acceptOrHold has the response rated if the step requires it, and holds a
// rejected response. The result is true for a rejected response.
func (x *execution) acceptOrHold(ctx context.Context, step Step, resp reply) (reply, bool, error) {
	x.progress.Failed = nil
	if !step.Rated || x.rate(ctx, resp) {
		return resp, false, nil
	}
	x.hold(resp)
	return resp, true, nil
}

// hold keeps a rejected response in case no better one is obtained.
func (x *execution) hold(resp reply) {
	x.held = &resp
	x.progress.Held = &HeldAnswer{Target: resp.target, CompletionTokens: resp.result.CompletionTokens}
	x.progress.Tried = append(x.progress.Tried, resp.target)
}

// stepResult is the result of one step of a plan with two steps.
type stepResult struct {
	index    int
	reply    reply
	accepted bool
	err      error
}

// raceSteps runs a plan with two steps. The second call starts after its delay,
// or as soon as the first one failed or was rejected. The first accepted
// response wins and the other call is cancelled.
func (x *execution) raceSteps(ctx context.Context, plan Plan) (reply, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, len(plan.Steps))
	firstFailed := make(chan struct{})
	for i, step := range plan.Steps {
		go func() {
			if i > 0 && !waitForStart(ctx, step.StartAfter, firstFailed) {
				results <- stepResult{index: i, reply: reply{target: step.Target}, err: ctx.Err()}
				return
			}
			resp, err := x.server.callUnary(ctx, x.req, step.Target, plan.Priority)
			accepted := err == nil && (!step.Rated || x.rate(ctx, resp))
			results <- stepResult{index: i, reply: resp, accepted: accepted, err: err}
		}()
	}
	var last stepResult
	for i := range plan.Steps {
		last = <-results
		x.progress.Calls++
		x.recordMayHaveRun(last.err)
		if last.accepted {
			x.progress.Failed = nil
			return last.reply, false, nil
		}
		if last.err == nil {
			x.hold(last.reply)
			release := time.AfterFunc(time.Until(x.req.releaseTime()), cancel)
			defer release.Stop()
		}
		if i == 0 {
			close(firstFailed)
		}
	}
	if last.err != nil {
		x.recordFailure(last.reply.target)
		return last.reply, false, last.err
	}
	x.progress.Failed = nil
	return last.reply, true, nil
}

// waitForStart waits until a step may start and returns true: after its delay,
// or when the step before it ended without an accepted response. It returns
// false when ctx ends first.
func waitForStart(ctx context.Context, after time.Duration, firstFailed <-chan struct{}) bool {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-firstFailed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// rate asks the rating service about a response while there is time left to
// release it.
func (x *execution) rate(ctx context.Context, resp reply) bool {
	ctx, cancel := context.WithDeadline(ctx, x.req.releaseTime())
	defer cancel()
	return x.server.rate(ctx, x.req, resp)
}

// rate asks the rating service about a response. If the rating fails or panics, the
// response counts as not good, so that a better version is called.
func (s *Server) rate(ctx context.Context, m *modelRequest, resp reply) (good bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.options.Log.Error("rating panicked", zap.String("request", m.route.RequestID), zap.Any("cause", cause), zap.Stack("stack"))
			s.counters.ratingErrors.Add(1)
			good = false
		}
	}()
	start := time.Now()
	good, err := s.options.Rater.Rate(ctx, RatingRequest{
		RequestID: m.route.RequestID,
		Model:     resp.target.Model,
		Version:   resp.target.Version,
		Class:     m.route.Service,
		Prompt:    m.chat.prompt,
		Answer:    resp.text,
	})
	if err != nil {
		s.counters.ratingErrors.Add(1)
		return false
	}
	s.options.Router.Rated(m.route, resp.target, good, time.Since(start))
	return good
}
