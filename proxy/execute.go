package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// modelRequest is a checked model request on its way through the router.
type modelRequest struct {
	route    RouteRequest
	chat     chatRequest
	class    string
	session  pinnedSession
	priority int
	budget   *retryBudget
	// usageKey is the request key of its ledger entry.
	usageKey string
}

// answer is an accepted answer of one step.
type answer struct {
	target Target
	result upstream.Result
	// parts holds the parts of a streamed answer that is not yet delivered.
	parts []upstream.Part
	// cost is the price of the calls that were made for the request.
	cost float64
}

// stepResult is what one step of a plan ended with.
type stepResult struct {
	index  int
	answer answer
	err    error
}

// runPlan carries out a plan whose answer is delivered whole, or only after it
// was accepted. It returns the first accepted answer and cancels the other
// calls. An answer that was rated as not good is kept as a fallback: when no
// better one arrives before the deadline, it is returned rather than nothing.
func (s *Server) runPlan(ctx context.Context, m *modelRequest, plan Plan) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, len(plan.Steps))
	begin := make([]chan struct{}, len(plan.Steps)+1)
	for i := range begin {
		begin[i] = make(chan struct{})
	}
	for i, step := range plan.Steps {
		go s.runStep(ctx, m, i, step, begin[i], results)
	}
	close(begin[0])
	var fallback *answer
	var lastErr error
	for range plan.Steps {
		select {
		case <-ctx.Done():
			return orFallback(fallback, errkind.Wrap(errkind.UpstreamTimeout, ctx.Err()))
		case r := <-results:
			if r.err == nil {
				return r.answer, nil
			}
			if errors.Is(r.err, errRejected) {
				fallback = &r.answer
			}
			lastErr = r.err
			close(begin[r.index+1])
		}
	}
	return orFallback(fallback, lastErr)
}

func orFallback(fallback *answer, err error) (answer, error) {
	if fallback != nil {
		return *fallback, nil
	}
	return answer{}, err
}

// errRejected marks an answer that the rating service did not find good.
var errRejected = errors.New("answer was rated as not good")

// runStep waits for its start, makes the call and reports the result.
func (s *Server) runStep(ctx context.Context, m *modelRequest, index int, step Step, begin <-chan struct{}, results chan<- stepResult) {
	if !waitForStart(ctx, step.StartAfter, begin) {
		results <- stepResult{index: index, err: errkind.Wrap(errkind.UpstreamTimeout, ctx.Err())}
		return
	}
	a, err := s.callWhole(ctx, m, step.Target)
	if err == nil && step.Rated && !s.accepted(ctx, m, a) {
		err = errkind.Wrap(errkind.UpstreamInvalidAnswer, errRejected)
	}
	results <- stepResult{index: index, answer: a, err: err}
}

// waitForStart returns true when the step may begin: its delay has passed or
// the steps before it have failed.
func waitForStart(ctx context.Context, after time.Duration, begin <-chan struct{}) bool {
	var delay <-chan time.Time
	if after > 0 {
		timer := time.NewTimer(after)
		defer timer.Stop()
		delay = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-begin:
	case <-delay:
	}
	return ctx.Err() == nil
}

// accepted asks the rating service about an answer. Without a judgement the
// answer is not accepted, so that the next step of a cascade runs.
func (s *Server) accepted(ctx context.Context, m *modelRequest, a answer) bool {
	good, err := s.o.Rater.Rate(ctx, Judgement{
		RequestID: m.route.RequestID,
		Model:     a.target.Model,
		Version:   a.target.Version,
		Class:     m.class,
		Prompt:    m.chat.prompt,
		Answer:    string(a.result.Body),
	})
	if err != nil {
		return false
	}
	s.o.Router.Rated(m.route, a.target, good)
	return good
}

// callWhole gets a whole answer from the target, or from another one when it
// fails and the retry budget allows it.
func (s *Server) callWhole(ctx context.Context, m *modelRequest, target Target) (answer, error) {
	var tried []string
	for {
		call, err := s.newCall(m, target, false)
		if err != nil {
			return answer{}, err
		}
		s.o.Router.Started(m.route, target)
		result, err := s.o.Upstream.Complete(ctx, call)
		s.finished(ctx, m, target, result, err)
		if err == nil {
			return answer{target: target, result: result}, nil
		}
		tried = append(tried, target.Upstream)
		next, ok := s.alternative(ctx, m, target, tried, err, false)
		if !ok {
			return answer{}, err
		}
		target = next
	}
}

// streamLive delivers a streamed answer part by part while it arrives, and
// resumes it on another upstream of the same version when a call fails.
func (s *Server) streamLive(ctx context.Context, m *modelRequest, target Target, deliver func(Target, upstream.Part) error) (answer, error) {
	var tried []string
	delivered := 0
	for {
		call, err := s.newCall(m, target, true)
		if err != nil {
			return answer{target: target}, err
		}
		s.o.Router.Started(m.route, target)
		result, err := s.o.Upstream.Stream(ctx, call, delivered, func(p upstream.Part) error {
			if err := deliver(target, p); err != nil {
				return err
			}
			delivered = p.Number
			return nil
		})
		s.finished(ctx, m, target, result, err)
		a := answer{target: target, result: result}
		a.result.Parts = delivered
		if err == nil {
			return a, nil
		}
		tried = append(tried, target.Upstream)
		next, ok := s.alternative(ctx, m, target, tried, err, delivered > 0)
		if !ok {
			return a, err
		}
		target = next
	}
}

// newCall prepares a call to an engine. The check right before the write makes
// a daemon that was paused between the plan and the write refuse to send.
func (s *Server) newCall(m *modelRequest, target Target, stream bool) (upstream.Call, error) {
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
		Priority:    m.priority,
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
		Cancelled:        err != nil && context.Cause(ctx) != nil,
	})
}

// alternative returns where to try again after a failed call. It reports false
// when the failure is final, the time is up or the retry budget is spent.
func (s *Server) alternative(ctx context.Context, m *modelRequest, failed Target, tried []string, err error, keepVersion bool) (Target, bool) {
	if ctx.Err() != nil || !errkind.AnswerFor(errkind.Of(err)).Retry || !time.Now().Before(m.route.Deadline) {
		return Target{}, false
	}
	if !m.budget.take() {
		s.counters.retryBudgetSpent.Add(1)
		return Target{}, false
	}
	next, err := s.o.Router.Alternative(m.route, failed, tried, keepVersion || m.route.Pinned != "")
	if err != nil {
		return Target{}, false
	}
	s.counters.retries.Add(1)
	return next, true
}
