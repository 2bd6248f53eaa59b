package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/cascade"
)

// escalate decides whether the response of the current model is dropped in favour of a
// larger model. If so, the call to the larger model becomes the candidate.
func (t *streamExecution) escalate(c *streamCall, now time.Time) {
	largest := len(t.route.Models) - 1
	if !t.req.AnyModel || t.modelRank >= largest || t.escalated || t.response.begun() || c.responseHeader.Confidence < 0 || !t.mayRetryTwice() {
		return
	}
	escalation := t.place(t.ctx, t.route.Models[largest], largest)
	if escalation == nil {
		return
	}
	in := t.cascadeInput(c.attempt, escalation, now)
	d := cascade.Decide(in)
	ok := d.Drop && t.chargeRetry()
	c.logEvent("confidence", zap.Int("confidence", in.Confidence), zap.Duration("larger", in.PredictedFirstEvent), zap.Duration("left", in.TimeLeft),
		zap.Float64("wait", in.Wait), zap.Float64("mean_wait", in.MeanWait), zap.Float64("pause_level", escalation.choice.PauseLevel), zap.Int("streams", escalation.choice.Streams), zap.Float64("late_streams", in.LateStreams), zap.Float64("value", in.Value), zap.Float64("engine_time_value", in.EngineTimeValue), zap.Float64("gain", d.Gain), zap.Float64("price", d.Price), zap.Bool("dropped", ok))
	if !ok {
		t.unplace(escalation)
		return
	}
	t.dropReserve()
	t.candidate, t.escalating, t.escalated = t.begin(escalation, largest), true, true
	t.timer.Reset(maxEscalationOverlap)
}

// cascadeInput collects the inputs of the decision between the current response
// and a call to the larger model.
func (t *streamExecution) cascadeInput(a, next *attempt, now time.Time) cascade.Input {
	request := cascade.Request{
		Route: t.route.Name, PromptTokens: float64(t.req.PromptTokens), GeneratedTokens: float64(t.req.expectedOutput()),
		Price: t.service.Price(next.model), EngineTime: next.choice.PrefillSeconds, Wait: next.choice.Wait, Objective: t.route.Objective,
	}
	return cascade.Input{
		Confidence:          a.responseHeader.Confidence,
		Terms:               t.srv.valuations.of(t.service.Name).Observe(request),
		Cost:                cascade.Cost(request.Price, request.GeneratedTokens, next.choice.UncachedTokens),
		EngineTime:          request.EngineTime,
		Wait:                next.choice.Wait,
		LateStreams:         next.choice.LateStreams,
		PredictedFirstEvent: time.Duration(next.choice.FirstEvent * float64(time.Second)),
		TimeLeft:            t.route.Objective - now.Sub(t.start),
	}
}

const (
	// The engine priority of a request is baseEnginePriority plus
	// enginePriorityStep times its route or organisation priority; lower values are
	// served first. The step of 2 leaves a value in between: for repeated calls of the less
	// urgent priority and for calls of organisations over their fair part of the more urgent.
	// maxEnginePriority is the largest value, which is served last.
	baseEnginePriority = 2
	enginePriorityStep = 2
	maxEnginePriority  = 9
)

// enginePriority returns the scheduling priority at the engine. After a call of
// the request has run, further calls, such as one that replaces a dropped
// response or resumes a stream, are served before first calls of the same
// priority. Calls of an organisation over its fair part are served after those of others of
// the same priority, and not after first calls of the next one.
func (t *streamExecution) enginePriority(overFairPart bool) int {
	p := baseEnginePriority + enginePriorityStep*t.priority
	if t.runs > 0 {
		p--
	}
	if overFairPart {
		p++
	}
	return max(0, min(maxEnginePriority, p))
}
