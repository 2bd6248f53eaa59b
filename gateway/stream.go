package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/cascade"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
)

// streamExecution is the state of a request whose response is a stream of events.
type streamExecution struct {
	*execution
	ctx        context.Context
	controller *http.ResponseController
	// lastEventID is the ID of the last event that the client received.
	lastEventID string
	// lastEventAt is the time of the last event.
	lastEventAt time.Time
	// modelRank is the index of the current model in the models of the route.
	modelRank int
	// escalation is a call to the larger model that is placed and not yet sent.
	escalation *attempt
	// failedResult is the last complete 5xx response. It is delivered if no call
	// succeeds.
	failedResult *callResult
}

// serveStream serves a request whose response is a stream of events.
func (exec *execution) serveStream(ctx context.Context) {
	t := &streamExecution{execution: exec, ctx: ctx, lastEventID: exec.req.LastEventID, controller: http.NewResponseController(exec.w)}
	t.modelRank = t.initialRank()
	for a := exec.place(ctx, t.modelName(), t.modelRank); a != nil; a = t.nextAttempt() {
		if t.tryAttempt(a) {
			return
		}
	}
	t.abandon()
}

// nextAttempt returns the next call of the request, or nil if none may be made.
func (t *streamExecution) nextAttempt() *attempt {
	if a := t.escalation; a != nil {
		t.escalation = nil
		return a
	}
	if t.ctx.Err() != nil || t.mayHaveRun && !t.route.Idempotent() {
		return nil
	}
	if !t.allowRetry() {
		return nil
	}
	a := t.place(t.ctx, t.modelName(), t.modelRank)
	if a == nil && t.wroteHeader {
		a = t.waitForUpstream()
	}
	return a
}

const (
	// maxResumeWait bounds the wait of a broken stream for an upstream. Clients
	// wait at least that long for the next event.
	maxResumeWait = 2 * time.Second
	// resumePollInterval is the interval at which the wait checks for an upstream.
	resumePollInterval = 100 * time.Millisecond
)

// waitForUpstream places the next call of a stream that is partly delivered. It
// also tries upstreams that failed the request before: one of them may recover
// in time, and without an upstream the rest of the stream is lost.
func (t *streamExecution) waitForUpstream() *attempt {
	clear(t.excluded)
	for until := time.Now().Add(maxResumeWait); !t.callsExhausted() && time.Now().Before(until); {
		if a := t.place(t.ctx, t.modelName(), t.modelRank); a != nil {
			return a
		}
		select {
		case <-t.ctx.Done():
			return nil
		case <-time.After(resumePollInterval):
		}
	}
	return nil
}

// initialRank returns the index of the first model to try. A client that resumes
// a stream gets the largest model, because it is unknown which model produced
// the events that it has received.
func (t *streamExecution) initialRank() int {
	if t.req.AnyModel && t.req.LastEventID != "" {
		return max(0, len(t.route.Models)-1)
	}
	return 0
}

// modelName returns the model to request from the upstream.
func (t *streamExecution) modelName() string {
	if !t.req.AnyModel || len(t.route.Models) == 0 {
		return t.req.Model
	}
	return t.route.Models[t.modelRank]
}

// abandon ends a stream for which no further call can be made. A partly
// delivered stream is aborted, so that it does not look complete.
func (t *streamExecution) abandon() {
	switch {
	case t.wroteHeader:
		if t.reason == "" {
			t.reason = string(errkind.UpstreamFailed)
		}
		panic(http.ErrAbortHandler)
	case t.failedResult != nil && t.execution.ctx.Err() == nil:
		t.deliver(t.failedResult)
	default:
		t.giveUp()
	}
}

// tryAttempt makes one call and forwards its events. It returns true when the
// request is finished.
func (t *streamExecution) tryAttempt(a *attempt) bool {
	watch := a.watch(max(minFirstEventTimeout, time.Duration(firstEventTimeoutFactor*a.choice.FirstEvent*float64(time.Second))), t.runs+1)
	class := a.send(t.lastEventID, t.enginePriority())
	watch.stop()
	t.recordResult(a, class)
	if class == failed {
		t.recordFailure(a, watch)
		return false
	}
	if class == notRun {
		return false
	}
	if a.responseHeader.Status >= 300 {
		return t.deliverNonSuccess(a)
	}
	now := time.Now()
	a.call.FirstEvent(now)
	a.observeRelease(false, now.Sub(a.start))
	a.logEvent("first event", zap.Float64("wait", a.choice.Wait), zap.Float64("reading", a.choice.PrefillSeconds))
	if t.escalate(a, now) {
		a.finish(placement.Answered)
		return false
	}
	return t.forwardStream(a)
}

// recordFailure records a call that failed before its first event, and keeps its
// 5xx response.
func (t *streamExecution) recordFailure(a *attempt, watch *watchdog) {
	if a.response != nil && a.responseHeader.Status >= 500 {
		result := &callResult{attempt: a, resultClass: failed}
		a.readBody(result)
		if result.body != nil && !t.wroteHeader {
			t.failedResult = result
		}
	}
	if !watch.fired.Load() && t.ctx.Err() == nil {
		a.observeRelease(true, 0)
	}
}

// escalate decides whether the response of the current model is dropped in favour
// of a larger model. If so, it keeps the placed call in escalation and returns
// true.
func (t *streamExecution) escalate(a *attempt, now time.Time) bool {
	largest := len(t.route.Models) - 1
	if !t.req.AnyModel || t.modelRank >= largest || t.wroteHeader || a.responseHeader.Confidence < 0 {
		return false
	}
	escalation := t.place(t.ctx, t.route.Models[largest], largest)
	if escalation == nil {
		return false
	}
	in := t.cascadeInput(a, escalation, now)
	d := cascade.Decide(in)
	ok := d.Drop && t.allowRetry()
	a.logEvent("confidence", zap.Int("confidence", in.Confidence), zap.Duration("larger", in.PredictedFirstEvent), zap.Duration("left", in.TimeLeft),
		zap.Float64("wait", in.Wait), zap.Float64("gain", d.Gain), zap.Float64("price", d.Price), zap.Bool("dropped", ok))
	if !ok {
		escalation.finish(placement.Neutral)
		t.sends--
		t.lastUpstream = a.choice.ID
		return false
	}
	t.modelRank, t.escalation = largest, escalation
	return true
}

// cascadeInput collects the inputs of the decision between the current response
// and a call to the larger model.
func (t *streamExecution) cascadeInput(a, next *attempt, now time.Time) cascade.Input {
	generated := float64(t.req.expectedOutput())
	size := float64(t.req.PromptTokens) + outputTokenWeight*generated
	cost := 0.0
	for _, m := range t.service.Models {
		if m.Name == next.model {
			cost = cascade.Cost(m.Cost, generated, next.choice.UncachedTokens)
		}
	}
	return cascade.Input{
		Confidence:          a.responseHeader.Confidence,
		Value:               cascade.Value(t.route.Priority, size, t.srv.requestSizes.observe(t.route.Name, size)),
		Cost:                cost,
		EngineTime:          next.choice.PrefillSeconds,
		Wait:                next.choice.Wait,
		PredictedFirstEvent: time.Duration(next.choice.FirstEvent * float64(time.Second)),
		TimeLeft:            t.route.Objective - now.Sub(t.start),
	}
}

const (
	// The engine priority of a request is baseEnginePriority plus
	// enginePriorityStep times its route or organisation priority; lower values are
	// served first. The step of 2 leaves a value for repeated calls in between.
	// maxEnginePriority is the largest value, which is served last.
	baseEnginePriority = 2
	enginePriorityStep = 2
	maxEnginePriority  = 9
)

// enginePriority returns the scheduling priority at the engine. After a call of
// the request has run, further calls, such as one that replaces a dropped
// response or resumes a stream, are served before first calls of the same
// priority.
func (t *streamExecution) enginePriority() int {
	p := baseEnginePriority + enginePriorityStep*t.priority
	if t.runs > 0 {
		p--
	}
	return max(0, min(maxEnginePriority, p))
}

// deliverNonSuccess delivers a 3xx or 4xx response, which is not retried. It
// returns false if the response is incomplete or the client already has a header.
func (t *streamExecution) deliverNonSuccess(a *attempt) bool {
	result := &callResult{attempt: a, resultClass: deliverable}
	a.readBody(result)
	if result.resultClass != deliverable || t.wroteHeader {
		return false
	}
	t.deliver(result)
	return true
}

// forwardStream forwards events until the stream ends. It returns true when the
// request is finished, and false when the stream broke and may be resumed.
func (t *streamExecution) forwardStream(a *attempt) bool {
	t.model, t.confidence, t.streamRelease = a.model, a.responseHeader.Confidence, a.choice.Release
	if !t.wroteHeader {
		copyResponseHeader(t.w.Header(), a.response.Header)
		t.status, t.wroteHeader = a.responseHeader.Status, true
		t.w.WriteHeader(t.status)
	}
	silent, err := t.copyEvents(a)
	switch {
	case err == nil:
		a.finish(placement.Answered)
		return true
	case t.execution.ctx.Err() != nil:
		t.abortStream(a, placement.Neutral, "caller left")
	case !time.Now().Before(t.deadline):
		t.abortStream(a, placement.Failed, string(errkind.UpstreamTimeout))
	}
	a.finish(placement.Failed)
	if !silent {
		a.observeRelease(true, 0)
	}
	a.logEvent("stream broke", zap.Error(err), zap.String("last_event", t.lastEventID))
	t.exclude(a.choice.ID)
	return false
}

// abortStream aborts the client connection, so that the client sees that the
// stream is incomplete.
func (t *streamExecution) abortStream(a *attempt, outcome placement.Outcome, reason string) {
	a.finish(outcome)
	a.logEvent(reason, zap.String("last_event", t.lastEventID))
	t.reason = reason
	panic(http.ErrAbortHandler)
}

// recordEventTime updates the time to the first event and the longest pause.
func (t *streamExecution) recordEventTime(now time.Time) {
	if t.timeToFirstEvent == 0 {
		t.timeToFirstEvent = now.Sub(t.start)
		t.lastEventAt = now
	}
	t.longestPause = max(t.longestPause, now.Sub(t.lastEventAt))
	t.lastEventAt = now
}

// errClientWrite is joined to errors from writing an event to the client.
var errClientWrite = errors.New("writing to the client failed")

// copyEvents forwards whole events to the client. The error is nil if the stream
// ended properly. silent reports that the watchdog cancelled the call; such a
// failure says more about the load of the upstream than about its release.
func (t *streamExecution) copyEvents(a *attempt) (silent bool, err error) {
	timeout := time.Duration(pauseTimeoutShare * float64(t.route.MaxPause))
	if timeout <= 0 {
		timeout = defaultPauseTimeout
	}
	watch := a.watch(timeout, t.runs)
	defer func() {
		watch.stop()
		silent = watch.fired.Load()
	}()
	events := newEventReader(a.response)
	for {
		data, id, err := events.next()
		if err == io.EOF && a.response.Complete() {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		now := time.Now()
		watch.recordProgress()
		a.call.RecordBytes(now)
		t.recordEventTime(now)
		if _, err := t.w.Write(data); err != nil {
			return false, errors.Join(errClientWrite, err)
		}
		if id != "" {
			t.lastEventID = id
		}
		if events.buffered() {
			continue
		}
		if err := t.controller.Flush(); err != nil {
			return false, errors.Join(errClientWrite, err)
		}
	}
}
