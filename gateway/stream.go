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

// streaming is the state of a stream request.
type streaming struct {
	*execution
	ctx context.Context
	out *http.ResponseController
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
	// eventAt is when the last event came.
	eventAt time.Time
	// rank is the place of the present model among those of the route.
	rank int
	// next is a call that has been placed already.
	next *attempt
	// kept is an answer that failed at its upstream, for the case that nothing
	// better comes.
	kept *outcome
}

// stream serves a request that is answered with events.
func (x *execution) stream(ctx context.Context) {
	t := &streaming{execution: x, ctx: ctx, lastEvent: x.req.LastEventID, out: http.NewResponseController(x.w)}
	t.rank = t.firstRank()
	for a := x.place(ctx, t.modelName(), t.rank); a != nil; a = t.again() {
		if t.try(a) {
			return
		}
	}
	t.abandon()
}

// again places the next call, if the request may be sent once more.
func (t *streaming) again() *attempt {
	if a := t.next; a != nil {
		t.next = nil
		return a
	}
	if t.ctx.Err() != nil || t.mayHaveRun && !t.route.Idempotent() {
		return nil
	}
	if !t.repeat() {
		return nil
	}
	a := t.place(t.ctx, t.modelName(), t.rank)
	if a == nil && t.wrote {
		a = t.waitForUpstream()
	}
	return a
}

const (
	// resumeWait is how long a broken stream waits for an upstream: callers wait
	// at least that long for the next event.
	resumeWait = 2 * time.Second
	// resumeLook is the time between two looks for one.
	resumeLook = 100 * time.Millisecond
)

// waitForUpstream places the next call of a stream that the caller has begun to
// read, also at an upstream that failed it before: one may be back in time, and a
// stream that breaks is lost.
func (t *streaming) waitForUpstream() *attempt {
	clear(t.excluded)
	for until := time.Now().Add(resumeWait); !t.spent() && time.Now().Before(until); {
		if a := t.place(t.ctx, t.modelName(), t.rank); a != nil {
			return a
		}
		select {
		case <-t.ctx.Done():
			return nil
		case <-time.After(resumeLook):
		}
	}
	return nil
}

// firstRank is the model to begin with. A caller that resumes a stream gets the
// largest model, because the model of the events that it has is not known.
func (t *streaming) firstRank() int {
	if t.req.AnyModel && t.req.LastEventID != "" {
		return max(0, len(t.route.Models)-1)
	}
	return 0
}

// modelName is the model to be named to the upstream.
func (t *streaming) modelName() string {
	if !t.req.AnyModel || len(t.route.Models) == 0 {
		return t.req.Model
	}
	return t.route.Models[t.rank]
}

// abandon ends a stream for which no further call can be made.
func (t *streaming) abandon() {
	switch {
	case t.wrote:
		if t.reason == "" {
			t.reason = string(errkind.UpstreamFailed)
		}
		panic(http.ErrAbortHandler)
	case t.kept != nil && t.execution.ctx.Err() == nil:
		t.deliver(t.kept)
	default:
		t.giveUp()
	}
}

// try makes one call and passes its events on. It returns true when the request
// is finished.
func (t *streaming) try(a *attempt) bool {
	watch := a.watch(max(minFirstPatience, time.Duration(patienceFactor*a.choice.FirstEvent*float64(time.Second))), t.runs+1)
	v := a.send(t.lastEvent, t.urgency())
	watch.stop()
	t.settle(a, v)
	if v == failed {
		t.failure(a, watch)
		return false
	}
	if v == notRun {
		return false
	}
	if a.answer.Status >= 300 {
		return t.passFailure(a)
	}
	now := time.Now()
	a.call.FirstEvent(now)
	a.observe(false, now.Sub(a.start))
	a.log("first event", zap.Float64("wait", a.choice.Wait), zap.Float64("reading", a.choice.PrefillSeconds))
	if t.escalate(a, now) {
		a.end(placement.Answered)
		return false
	}
	return t.pump(a)
}

// failure notes a call that failed before its first event.
func (t *streaming) failure(a *attempt, watch *watchdog) {
	if a.reply != nil && a.answer.Status >= 500 {
		o := &outcome{attempt: a, verdict: failed}
		a.read(o)
		if o.body != nil && !t.wrote {
			t.kept = o
		}
	}
	if !watch.fired.Load() && t.ctx.Err() == nil {
		a.observe(true, 0)
	}
}

// escalate places the call to the larger model if the answer at hand is to be
// dropped for it.
func (t *streaming) escalate(a *attempt, now time.Time) bool {
	largest := len(t.route.Models) - 1
	if !t.req.AnyModel || t.rank >= largest || t.wrote || a.answer.Confidence < 0 {
		return false
	}
	next := t.place(t.ctx, t.route.Models[largest], largest)
	if next == nil {
		return false
	}
	in := t.cascadeInput(a, next, now)
	d := cascade.Decide(in)
	ok := d.Drop && t.repeat()
	a.log("confidence", zap.Int("confidence", in.Confidence), zap.Duration("larger", in.PredictedFirstEvent), zap.Duration("left", in.TimeLeft),
		zap.Float64("wait", in.Wait), zap.Float64("gain", d.Gain), zap.Float64("price", d.Price), zap.Bool("dropped", ok))
	if !ok {
		next.end(placement.Neutral)
		t.sends--
		t.last = a.choice.ID
		return false
	}
	t.rank, t.next = largest, next
	return true
}

// cascadeInput collects what the choice between the answer at hand and the
// larger model depends on.
func (t *streaming) cascadeInput(a, next *attempt, now time.Time) cascade.Input {
	generated := float64(t.req.expectedOutput())
	size := float64(t.req.PromptTokens) + outputWeight*generated
	cost := 0.0
	for _, m := range t.service.Models {
		if m.Name == next.model {
			cost = cascade.Cost(m.Cost, generated, next.choice.UncachedTokens)
		}
	}
	return cascade.Input{
		Confidence:          a.answer.Confidence,
		Value:               cascade.Value(t.route.Priority, size, t.s.sizes.mean(t.route.Name, size)),
		Cost:                cost,
		EngineTime:          next.choice.PrefillSeconds,
		Wait:                next.choice.Wait,
		PredictedFirstEvent: time.Duration(next.choice.FirstEvent * float64(time.Second)),
		TimeLeft:            t.route.Objective - now.Sub(t.start),
	}
}

const (
	// firstUrgency and urgencyStep map the priority of a route to that at the
	// engine and leave room for repeats in between; maxUrgency is the last one.
	firstUrgency = 2
	urgencyStep  = 2
	maxUrgency   = 9
)

// urgency is the scheduling priority at the engine. A call that replaces a
// dropped answer, or resumes a stream, goes before others of its route.
func (t *streaming) urgency() int {
	u := firstUrgency + urgencyStep*t.priority
	if t.runs > 0 {
		u--
	}
	return max(0, min(maxUrgency, u))
}

// passFailure passes on an answer that is neither a success nor worth repeating.
func (t *streaming) passFailure(a *attempt) bool {
	o := &outcome{attempt: a, verdict: good}
	a.read(o)
	if o.verdict != good || t.wrote {
		return false
	}
	t.deliver(o)
	return true
}

// pump passes events on until the stream ends. It returns true when the
// request is finished.
func (t *streaming) pump(a *attempt) bool {
	t.model, t.confidence, t.release = a.model, a.answer.Confidence, a.choice.Release
	if !t.wrote {
		copyAnswerHeader(t.w.Header(), a.reply.Header)
		t.status, t.wrote = a.answer.Status, true
		t.w.WriteHeader(t.status)
	}
	silent, err := t.copyEvents(a)
	switch {
	case err == nil:
		a.end(placement.Answered)
		return true
	case t.execution.ctx.Err() != nil:
		t.breakOff(a, placement.Neutral, "caller left")
	case !time.Now().Before(t.end):
		t.breakOff(a, placement.Failed, string(errkind.UpstreamTimeout))
	}
	a.end(placement.Failed)
	if !silent {
		a.observe(true, 0)
	}
	a.log("stream broke", zap.Error(err), zap.String("last_event", t.lastEvent))
	t.exclude(a.choice.ID)
	return false
}

// breakOff ends a stream visibly before its end.
func (t *streaming) breakOff(a *attempt, o placement.Outcome, reason string) {
	a.end(o)
	a.log(reason, zap.String("last_event", t.lastEvent))
	t.reason = reason
	panic(http.ErrAbortHandler)
}

// timing notes when an event came.
func (t *streaming) timing(now time.Time) {
	if t.firstEvent == 0 {
		t.firstEvent = now.Sub(t.start)
		t.eventAt = now
	}
	t.pause = max(t.pause, now.Sub(t.eventAt))
	t.eventAt = now
}

// errCallerGone says that an event could not be written to the caller.
var errCallerGone = errors.New("caller is gone")

// copyEvents passes whole events on. The error is nil at the proper end of the
// stream; silent says that the upstream was given up because it sent nothing,
// which speaks of its load rather than of its release.
func (t *streaming) copyEvents(a *attempt) (silent bool, err error) {
	patience := time.Duration(gapPatienceShare * float64(t.route.MaxPause))
	if patience <= 0 {
		patience = defaultGapPatience
	}
	watch := a.watch(patience, t.runs)
	defer func() {
		watch.stop()
		silent = watch.fired.Load()
	}()
	events := newEventReader(a.reply)
	for {
		data, id, err := events.next()
		if err == io.EOF && a.reply.Whole() {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		now := time.Now()
		watch.step()
		a.call.RecordBytes(now)
		t.timing(now)
		if _, err := t.w.Write(data); err != nil {
			return false, errors.Join(errCallerGone, err)
		}
		if id != "" {
			t.lastEvent = id
		}
		if events.buffered() {
			continue
		}
		if err := t.out.Flush(); err != nil {
			return false, errors.Join(errCallerGone, err)
		}
	}
}
