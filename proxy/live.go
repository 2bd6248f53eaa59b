package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"

	"github.com/savoryshift/savoryshift/upstream"
)

// maxRatedBytes bounds how much of a streamed answer is kept for a rating.
const maxRatedBytes = 64 << 10

// errSuperseded ends the stream of a hedge whose other call was faster.
var errSuperseded = errors.New("another call delivered the first part")

// streamSteps delivers a streamed answer part by part while it arrives. With
// two steps, the first to send a part is the one that is delivered. After parts
// were delivered the call resumes behind them.
func (x *execution) streamSteps(ctx context.Context, plan Plan) (answer, error) {
	x.live = true
	first, from := plan.Steps[0], x.delivered
	switch {
	case len(plan.Steps) == 1 && x.mayGetSecond(first):
		return x.patientStream(ctx, first, plan.Priority)
	case len(plan.Steps) == 1:
		return x.streamStep(ctx, first.Target, plan.Priority, from, func() bool { return true })
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, len(plan.Steps))
	begin := make(chan struct{})
	var winner atomic.Int32
	for i, step := range plan.Steps {
		go func() {
			if i > 0 && !waitForStart(ctx, step.StartAfter, begin) {
				results <- stepResult{index: i, answer: answer{target: step.Target}, err: ctx.Err()}
				return
			}
			a, err := x.streamStep(ctx, step.Target, plan.Priority, from, func() bool {
				return winner.CompareAndSwap(0, int32(i+1)) || winner.Load() == int32(i+1)
			})
			results <- stepResult{index: i, answer: a, err: err}
		}()
	}
	return x.awaitStream(results, begin, &winner, cancel)
}

// awaitStream waits until both streams have ended and returns the delivered
// one. The streams write to the same caller, so neither may outlive the call.
func (x *execution) awaitStream(results <-chan stepResult, begin chan<- struct{}, winner *atomic.Int32, cancel context.CancelFunc) (answer, error) {
	first := <-results
	if first.err == nil || winner.Load() == int32(first.index+1) {
		cancel()
	} else {
		close(begin)
	}
	second := <-results
	x.note(first.err)
	x.note(second.err)
	chosen := second
	if winner.Load() == int32(first.index+1) || errors.Is(second.err, errNotStarted) {
		chosen = first
	}
	return chosen.answer, chosen.err
}

// streamStep delivers the answer of one step behind part from, for as long as
// won reports true.
func (x *execution) streamStep(ctx context.Context, target Target, priority, from int, won func() bool) (answer, error) {
	a := answer{target: target}
	call, err := x.s.newCall(x.m, a.target, priority, true)
	if err != nil {
		return a, err
	}
	var text bytes.Buffer
	keep := x.s.o.Router.SampleRating(x.m.route, a.target)
	x.s.o.Router.Started(x.m.route, a.target)
	a.result, err = x.s.o.Upstream.Stream(ctx, call, from, func(p upstream.Part) error {
		if !won() {
			return errSuperseded
		}
		if keep && text.Len()+len(p.Data) <= maxRatedBytes {
			text.WriteString(contentOf(p.Data))
		}
		return x.deliver(a.target, p)
	})
	a.text = text.String()
	x.s.finished(ctx, x.m, a.target, a.result, err)
	x.s.cancelLeft(ctx, call, err)
	return a, err
}

// deliver writes one part to the caller. Only the winning step calls it.
func (x *execution) deliver(t Target, p upstream.Part) error {
	if !x.events.started {
		if err := x.s.setAnswerHeaders(x.events.w.Header(), x.m, t); err != nil {
			return err
		}
	}
	if err := x.events.event(p.Data); err != nil {
		return err
	}
	x.delivered = p.Number
	return nil
}

// contentOf returns the text that a chunk adds to the answer.
func contentOf(data []byte) string {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}
