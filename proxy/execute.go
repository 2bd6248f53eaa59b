package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// modelRequest is a checked model request on its way through the router.
type modelRequest struct {
	route   RouteRequest
	chat    chatRequest
	session pinnedSession
	// request and model are what the versions are chosen for.
	request *request
	model   string
	// usageKey is the request key of its ledger entry, room the place for it.
	usageKey string
	room     Reservation
}

// answer is what a call returned.
type answer struct {
	target Target
	result upstream.Result
	// text is the answer as far as it is kept for a rating.
	text string
}

// heldReleaseMargin is how long before the deadline an answer at hand is
// released, so that it reaches the caller in time.
const heldReleaseMargin = 20 * time.Millisecond

// execution is the state of one request while its calls are made. It belongs to
// one goroutine.
type execution struct {
	s        *Server
	m        *modelRequest
	events   *eventWriter
	progress Progress
	// held is an answer that was rated as not good.
	held *answer
	// live is set when parts were delivered as they arrived.
	live bool
	// delivered is the number of the last part that was delivered.
	delivered int
	// mayHaveRun says that an earlier call may have run, so that the request
	// cannot be refused as "not run" any more.
	mayHaveRun bool
	// rerouted says that the versions were chosen again.
	rerouted bool
}

// run makes the calls of a plan and of those that follow it until an answer is
// accepted. When the time is up, an answer that was rated as not good is
// returned rather than nothing.
func (x *execution) run(ctx context.Context, plan Plan) (answer, error) {
	a, err := x.runPlans(ctx, plan)
	if err != nil && x.mayHaveRun && errkind.RanOf(err) == errkind.RanNo {
		err = errkind.WithRan(err, errkind.RanUnknown)
	}
	return a, err
}

// runPlans makes the calls of one plan after the other.
func (x *execution) runPlans(ctx context.Context, plan Plan) (answer, error) {
	for {
		if len(plan.Steps) == 0 {
			return x.orHeld(answer{}, errkind.New(errkind.NoCapacity, "no further call is worth making"))
		}
		a, failed, err := x.runSteps(ctx, plan)
		if err == nil && !failed {
			return a, nil
		}
		if ctx.Err() != nil || x.timeIsUp() {
			return x.orHeld(a, errkind.Wrap(errkind.UpstreamTimeout, errOr(err, context.DeadlineExceeded)))
		}
		if next, ok := x.reroute(err); ok {
			plan = next
			continue
		}
		if err != nil && !errkind.AnswerFor(errkind.Of(err)).Retry {
			return x.orHeld(a, err)
		}
		next, planErr := x.s.o.Router.Next(x.m.route, x.progress)
		if planErr != nil {
			x.s.counters.retriesRefused.Add(1)
			return x.orHeld(a, errOr(err, planErr))
		}
		if err != nil {
			x.s.counters.retries.Add(1)
		}
		plan = next
	}
}

// timeIsUp tells whether nothing more can be done before the deadline. An answer
// at hand is released a little earlier.
func (x *execution) timeIsUp() bool {
	end := x.m.route.Deadline
	if x.held != nil {
		end = end.Add(-heldReleaseMargin)
	}
	return !time.Now().Before(end)
}

// note remembers what a failed call says about the request.
func (x *execution) note(err error) {
	if err != nil && errkind.RanOf(err) != errkind.RanNo {
		x.mayHaveRun = true
	}
}

// reroute chooses versions again when the one of the plan was withdrawn or
// halted between the decision and the write, or was unloaded by the upstreams
// because of that before the call arrived.
func (x *execution) reroute(err error) (Plan, bool) {
	if err == nil || x.rerouted || x.delivered > 0 || !x.outdated(err) {
		return Plan{}, false
	}
	x.rerouted = true
	m := x.m
	m.request.snapshot = x.s.o.Snapshot()
	e, effErr := m.request.snapshot.Effective(m.route.Organisation, m.route.Service, m.session.name)
	if effErr != nil {
		return Plan{}, false
	}
	m.route.Effective = e
	if x.s.chooseVersions(m) != nil {
		return Plan{}, false
	}
	plan, planErr := x.s.o.Router.Plan(x.m.route)
	return plan, planErr == nil
}

// outdated tells whether an error may come from a plan that is older than the
// configuration in force.
func (x *execution) outdated(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.NoAllowedVersion || kind == errkind.UpstreamRefused && x.m.request.snapshot != x.s.o.Snapshot()
}

func errOr(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

func (x *execution) orHeld(a answer, err error) (answer, error) {
	if x.held != nil {
		return *x.held, nil
	}
	return a, err
}

// runSteps makes the calls of one plan. rejected says that the answer was rated
// as not good; it is then held.
func (x *execution) runSteps(ctx context.Context, plan Plan) (a answer, rejected bool, err error) {
	until := x.m.route.Deadline
	if x.held != nil {
		until = until.Add(-heldReleaseMargin)
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	first := plan.Steps[0]
	live := x.m.chat.stream && (x.delivered > 0 || !first.Rated && x.held == nil)
	switch {
	case live:
		a, err = x.streamSteps(ctx, plan)
	case len(plan.Steps) == 1 && x.mayGetSecond(first):
		return x.patientWhole(ctx, first, plan.Priority)
	case len(plan.Steps) == 1:
		a, err = x.s.callWhole(ctx, x.m, first.Target, plan.Priority)
	default:
		return x.raceSteps(ctx, plan)
	}
	x.progress.Calls++
	x.note(err)
	if err != nil {
		x.fail(a.target)
		return a, false, err
	}
	return x.judge(ctx, first, a)
}

// fail notes a failed call for the next decision.
func (x *execution) fail(t Target) {
	x.progress.Failed = &t
	if x.delivered > 0 {
		x.progress.KeepVersion = t.Version
	}
}

// judge asks for a rating when the step needs one, and holds a rejected answer.
func (x *execution) judge(ctx context.Context, step Step, a answer) (answer, bool, error) {
	x.progress.Failed = nil
	if !step.Rated || x.s.rate(ctx, x.m, a) {
		return a, false, nil
	}
	x.hold(a)
	return a, true, nil
}

func (x *execution) hold(a answer) {
	x.held = &a
	x.progress.Held = &HeldAnswer{Target: a.target, CompletionTokens: a.result.CompletionTokens}
	x.progress.Tried = append(x.progress.Tried, a.target)
}

// stepResult is what one step of a plan with two steps ended with.
type stepResult struct {
	index  int
	answer answer
	good   bool
	err    error
}

// raceSteps makes two calls of which the second one starts after a delay, or
// when the first one failed or was rejected. The first accepted answer wins and
// the other call is cancelled.
func (x *execution) raceSteps(ctx context.Context, plan Plan) (answer, bool, error) {
	results := make(chan stepResult, len(plan.Steps))
	begin := make(chan struct{})
	for i, step := range plan.Steps {
		go func() {
			if i > 0 && !waitForStart(ctx, step.StartAfter, begin) {
				results <- stepResult{index: i, answer: answer{target: step.Target}, err: ctx.Err()}
				return
			}
			a, err := x.s.callWhole(ctx, x.m, step.Target, plan.Priority)
			good := err == nil && (!step.Rated || x.s.rate(ctx, x.m, a))
			results <- stepResult{index: i, answer: a, good: good, err: err}
		}()
	}
	var last stepResult
	for i := range plan.Steps {
		last = <-results
		x.progress.Calls++
		x.note(last.err)
		if last.good {
			x.progress.Failed = nil
			return last.answer, false, nil
		}
		if last.err == nil {
			x.hold(last.answer)
		}
		if i == 0 {
			close(begin)
		}
	}
	if last.err != nil {
		x.fail(last.answer.target)
		return last.answer, false, last.err
	}
	x.progress.Failed = nil
	return last.answer, true, nil
}

// waitForStart returns true when the step may begin: its delay has passed or
// the step before it has ended without an accepted answer.
func waitForStart(ctx context.Context, after time.Duration, begin <-chan struct{}) bool {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-begin:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// rate asks the rating service about an answer. Without a judgement the answer
// is not accepted, so that a better version is asked.
func (s *Server) rate(ctx context.Context, m *modelRequest, a answer) bool {
	start := time.Now()
	good, err := s.o.Rater.Rate(ctx, RatingRequest{
		RequestID: m.route.RequestID,
		Model:     a.target.Model,
		Version:   a.target.Version,
		Class:     m.route.Service,
		Prompt:    m.chat.prompt,
		Answer:    a.text,
	})
	if err != nil {
		s.counters.ratingErrors.Add(1)
		return false
	}
	s.o.Router.Rated(m.route, a.target, good, time.Since(start))
	return good
}

// callWhole gets a whole answer from the target.
func (s *Server) callWhole(ctx context.Context, m *modelRequest, target Target, priority int) (answer, error) {
	a := answer{target: target}
	call, err := s.newCall(m, target, priority, false)
	if err != nil {
		return a, err
	}
	s.o.Router.Started(m.route, target)
	a.result, err = s.o.Upstream.Complete(ctx, call)
	a.text = string(a.result.Body)
	s.finished(ctx, m, target, a.result, err)
	s.cancelLeft(ctx, call, err)
	return a, err
}

// cancelTimeout bounds the message that ends a call which is not needed.
const cancelTimeout = time.Second

// cancelLeft tells the engine to stop a call that was given up, because an
// engine may go on generating after its connection is closed.
func (s *Server) cancelLeft(ctx context.Context, call upstream.Call, err error) {
	if err == nil || ctx.Err() == nil {
		return
	}
	go func() {
		limited, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if s.o.Upstream.Cancel(limited, call.URL, call.AttemptID) != nil {
			s.counters.cancelsFailed.Add(1)
		}
	}()
}

// newCall prepares a call to an engine. The check right before the write makes
// a daemon that was paused between the plan and the write refuse to send.
func (s *Server) newCall(m *modelRequest, target Target, priority int, stream bool) (upstream.Call, error) {
	body, err := m.chat.bodyFor(target.Model, stream)
	if err != nil {
		return upstream.Call{}, err
	}
	return upstream.Call{
		URL:         target.URL,
		RequestID:   m.route.RequestID,
		AttemptID:   uuid.NewString(),
		Model:       target.Model,
		Version:     target.Version,
		Deadline:    m.route.Deadline,
		Priority:    priority,
		Body:        body,
		BeforeWrite: func() error { return s.checkDispatch(m, target) },
	}, nil
}

// checkDispatch tells whether the version may run the request at this moment,
// by the newest configuration and evidence.
func (s *Server) checkDispatch(m *modelRequest, target Target) error {
	if !time.Now().Before(m.route.Deadline) {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	}
	if !s.o.Router.Usable(target) {
		return errkind.New(errkind.UpstreamRefused, "upstream %q takes no new work", target.Upstream)
	}
	allowed, err := s.allowedVersions(m.route.Organisation, m.route.Service, m.session.name)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, target.Version) {
		return errkind.New(errkind.NoAllowedVersion, "version %q may not be used any more", target.Version)
	}
	return nil
}

func (s *Server) finished(ctx context.Context, m *modelRequest, target Target, result upstream.Result, err error) {
	s.o.Router.Finished(Outcome{
		Request:          m.route,
		Target:           target,
		FirstToken:       result.FirstToken,
		Total:            result.Total,
		PromptTokens:     result.PromptTokens,
		CompletionTokens: result.CompletionTokens,
		Err:              err,
		Cancelled:        err != nil && ctx.Err() != nil,
	})
}
