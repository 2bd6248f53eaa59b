package gateway

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
)

// streamExecution is the state of a request whose response is a stream of events.
// Only the goroutine that serves the request uses it.
type streamExecution struct {
	*execution
	ctx context.Context
	// current is the call whose events are forwarded, or whose response is awaited.
	current *streamCall
	// candidate is the call that replaces current once its upstream has accepted it;
	// nil if there is none.
	candidate *streamCall
	// escalating is set while candidate is a call to a larger model. The events of
	// current are held back until then.
	escalating bool
	// reserve is the call that a candidate has replaced, while it is kept.
	reserve reserve
	// escalated is set once a larger model has been called.
	escalated bool
	// timer fires when current must be checked for silence, or when current and
	// candidate have run together for long enough.
	timer *time.Timer
	// lastEventID is the ID of the last event that the client received.
	lastEventID string
	sequence    eventSequence
	// mediaType is that of the response whose header the client received.
	mediaType string
	// unframed is set if the client receives the stream without chunks.
	unframed bool
	// lastEventAt is the time of the last event.
	lastEventAt time.Time
	// modelRank is the index of the current model in the models of the route.
	modelRank int
	// failedResult is the last complete 5xx response. It is delivered if no call
	// succeeds.
	failedResult *callResult
}

// serveStream serves a request whose response is a stream of events.
func (exec *execution) serveStream(ctx context.Context) {
	t := &streamExecution{
		execution: exec, ctx: ctx, timer: time.NewTimer(0),
		lastEventID: exec.req.LastEventID, sequence: newEventSequence(exec.req.LastEventID),
	}
	defer t.timer.Stop()
	defer t.dropCalls()
	// The deadline applies to a client that does not read its stream.
	_ = t.response.controller.SetWriteDeadline(exec.deadline.Add(writeGrace))
	defer func() { _ = t.response.controller.SetWriteDeadline(time.Time{}) }()
	t.modelRank = t.initialRank()
	t.setCurrent(t.begin(exec.place(ctx, t.modelName(), t.modelRank), t.modelRank))
	for t.current != nil {
		if t.step() {
			return
		}
	}
	t.abandon()
}

// step waits for the next thing to happen to the request and handles it. It returns
// true when the request is finished.
func (t *streamExecution) step() bool {
	select {
	case result := <-t.current.awaitedResult():
		return t.handleResult(result)
	case result := <-t.candidate.awaitedResult():
		t.handleCandidate(result)
	case event := <-t.awaitedEvents():
		return t.handleEvent(event)
	case event := <-t.candidate.awaitedEvents():
		return t.handleCandidateEvent(event)
	case <-t.timer.C:
		t.timer.Reset(t.checkCalls(time.Now()))
	case <-t.ctx.Done():
		t.handleContextEnd()
		return true
	}
	return false
}

// awaitedEvents returns the events of the current call, or nil while they are held
// back.
func (t *streamExecution) awaitedEvents() <-chan streamEvent {
	if t.escalating {
		return nil
	}
	return t.current.awaitedEvents()
}

// setCurrent makes c the current call; nil means that no call can be made.
func (t *streamExecution) setCurrent(c *streamCall) {
	t.current = c
	if c != nil {
		t.modelRank = c.modelRank
		t.timer.Reset(t.firstCheck(c))
	}
}

// advance replaces the current call, which has ended, by the candidate, by a new call or, if
// none can be made, by the one in reserve.
func (t *streamExecution) advance() {
	next := t.candidate
	t.candidate, t.escalating = nil, false
	if next == nil {
		next = t.begin(t.nextAttempt(), t.modelRank)
	}
	if next == nil {
		next = t.returnToReserve()
	}
	t.setCurrent(next)
}

// nextAttempt returns the next call of the request, or nil if none may be made.
func (t *streamExecution) nextAttempt() *attempt {
	if t.ctx.Err() != nil || t.mayHaveRun && !t.route.Idempotent() {
		return nil
	}
	a := t.placeRetry(t.ctx, t.modelName(), t.modelRank)
	switch {
	case a == nil && t.quarantined.Refused:
	case a == nil && t.response.begun():
		a = t.waitForUpstream()
	case a == nil && t.escalated:
		a = t.fallBack()
	}
	return a
}

// fallBack places a call to the smaller model, whose answer was dropped for a larger one
// that no upstream gives. It also tries upstreams that failed the request before.
func (t *streamExecution) fallBack() *attempt {
	clear(t.excluded)
	t.modelRank = t.initialRank()
	return t.placeRetry(t.ctx, t.modelName(), t.modelRank)
}

const (
	// writeGrace is how long after the deadline of a request its last events may still be
	// written to a slow client.
	writeGrace = time.Second
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
	for until := time.Now().Add(maxResumeWait); !t.callsExhausted() && t.mayCall(time.Now()) && time.Now().Before(until); {
		select {
		case <-t.ctx.Done():
			return nil
		case <-time.After(resumePollInterval):
		}
		clear(t.excluded)
		if a := t.placeRetry(t.ctx, t.modelName(), t.modelRank); a != nil {
			return a
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
	case t.response.begun() && t.quarantined.Refused && t.ctx.Err() == nil:
		t.srv.opts.Log.Info("quarantined", t.quarantineFields()...)
		t.closeConnection(string(errkind.Quarantined))
	case t.response.begun():
		t.closeConnection(string(errkind.UpstreamFailed))
	case t.failedResult != nil:
		t.deliver(t.failedResult)
	default:
		t.giveUp()
	}
}

// handleResult handles the response header of the current call. It returns true when
// the request is finished.
func (t *streamExecution) handleResult(result *callResult) bool {
	c := t.current
	c.responded = true
	t.recordResponse(c, result.resultClass)
	switch {
	case result.resultClass == deliverable && c.responseHeader.Status < http.StatusMultipleChoices && t.continues(c):
		t.dropCandidate()
		t.accept(c)
		t.escalate(c, time.Now())
		return false
	case result.resultClass == deliverable && !t.response.begun():
		t.deliver(result)
		return true
	}
	t.recordUnusable(c, result)
	t.advance()
	return false
}

// handleCandidate handles the response header of the candidate. The current call goes
// on if the candidate cannot replace it. A candidate of the same model replaces it with
// its first event.
func (t *streamExecution) handleCandidate(result *callResult) {
	c := t.candidate
	c.responded = true
	t.countResult(c.attempt, result.resultClass)
	if result.resultClass == deliverable && c.responseHeader.Status < http.StatusMultipleChoices && t.continues(c) {
		if t.escalating {
			t.replaceCurrent()
		}
		t.accept(c)
		return
	}
	t.recordUnusable(c, result)
	t.forgetCandidate()
	if result.resultClass == notRun {
		// Another upstream may take the call at once.
		t.timer.Reset(newsPollInterval)
	}
}

// handleCandidateEvent handles the first event of a candidate. It returns true when the
// stream has ended properly.
func (t *streamExecution) handleCandidateEvent(event streamEvent) bool {
	c, sequence := t.candidate, t.sequence
	switch {
	case event.err != nil:
	case c.resumed && !event.end && isComment(event.data):
		return false
	case !event.end && sequence.accept(event.data, event.id, c.resumed):
		t.replaceCurrent()
		return t.handleEvent(event)
	}
	c.logEvent("no continuation", zap.String("event", event.id), zap.Bool("end", event.end), zap.Error(event.err))
	c.end(placement.Failed)
	c.observeRelease(true, 0)
	t.exclude(c.choice.ID)
	t.forgetCandidate()
	return false
}

// forgetCandidate goes on with the current call alone.
func (t *streamExecution) forgetCandidate() {
	t.candidate, t.escalating = nil, false
	t.timer.Reset(t.firstCheck(t.current))
}

// recordUnusable records a call whose response cannot be forwarded as a stream, and
// keeps a complete 5xx response.
func (t *streamExecution) recordUnusable(c *streamCall, result *callResult) {
	outcome := placement.Failed
	if result.resultClass == notRun {
		outcome = placement.Neutral
		c.returnCharge()
	}
	c.end(outcome)
	t.exclude(c.choice.ID)
	if result.resultClass != failed {
		return
	}
	if result.body != nil && !t.response.begun() {
		t.failedResult = result
	}
	if t.ctx.Err() == nil {
		c.observeRelease(true, 0)
	}
}

// continues reports whether the response of a call can be forwarded to the client. The
// response to a resumed call must be of the same kind as the one that it continues.
func (t *streamExecution) continues(c *streamCall) bool {
	if !t.response.begun() || c.responseHeader.Status == t.status && mediaType(c.response.Header) == t.mediaType {
		return true
	}
	c.logEvent("no continuation", zap.String("content_type", c.response.Header.Get("Content-Type")))
	return false
}

// mediaType returns the content type without its parameters.
func mediaType(h http.Header) string {
	text := h.Get("Content-Type")
	if name, _, err := mime.ParseMediaType(text); err == nil {
		return name
	}
	return text
}

// accept records that the upstream has begun to respond to a call with a stream.
func (t *streamExecution) accept(c *streamCall) {
	now := time.Now()
	c.accept(now, t.pauseTimeout())
	c.call.FirstEvent(now)
	c.observePrediction(now)
	c.recordEngineTime(now)
	c.observeRelease(false, now.Sub(c.start))
	c.logEvent("first event", zap.Float64("wait", c.choice.Wait), zap.Float64("reading", c.choice.PrefillSeconds), zap.Int("streams", c.choice.Streams), zap.Float64("pause_level", c.choice.PauseLevel))
	if c == t.current {
		t.timer.Reset(t.firstCheck(c))
	}
}

// handleBrokenStream ends the current call, whose stream broke, and goes on with the
// next one. It returns true when the request is finished.
func (t *streamExecution) handleBrokenStream(cause error) bool {
	c := t.current
	if t.ctx.Err() != nil {
		t.handleContextEnd()
		return true
	}
	if errors.Is(cause, errNoRoomForEvent) {
		t.abortStream(placement.Neutral, string(errkind.NoCapacity))
	}
	t.examined = c.examined.Load()
	c.end(placement.Failed)
	c.observeRelease(true, 0)
	c.logEvent("stream broke", zap.Error(cause), zap.String("last_event", t.lastEventID), zap.String("framing", string(c.response.Framing())))
	t.exclude(c.choice.ID)
	t.advance()
	return false
}

// handleContextEnd ends a request whose client has left or whose deadline has passed.
func (t *streamExecution) handleContextEnd() {
	outcome, reason := placement.Failed, string(errkind.UpstreamTimeout)
	switch {
	case t.execution.ctx.Err() != nil:
		outcome, reason = placement.Neutral, callerLeft
	case t.srv.stop.ended.Err() != nil:
		outcome, reason = placement.Neutral, endedByStop
	}
	if t.response.begun() {
		t.abortStream(outcome, reason)
	}
	t.recordDropped(t.current)
	t.current.end(outcome)
	t.current.logEvent(reason)
	t.abandon()
}

// abortStream aborts the client connection, so that the client sees that the
// stream is incomplete.
func (t *streamExecution) abortStream(outcome placement.Outcome, reason string) {
	t.current.end(outcome)
	t.current.logEvent(reason, zap.String("last_event", t.lastEventID))
	t.closeConnection(reason)
}
