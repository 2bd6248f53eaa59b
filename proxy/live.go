package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"

	"github.com/savoryshift/savoryshift/upstream"
)

// maxRatedBytes bounds how much text of a streamed response is kept for a
// rating.
const maxRatedBytes = 64 << 10

// errSuperseded ends a stream of which another call has delivered the first
// part.
var errSuperseded = errors.New("another call delivered the first part")

// streamSteps forwards a streamed response part by part as it arrives. With two
// steps, the first one to send a part is forwarded. If parts were already
// delivered, the stream resumes after the last of them.
func (x *execution) streamSteps(ctx context.Context, plan Plan) (reply, error) {
	x.streaming = true
	first, from := plan.Steps[0], x.delivered
	switch {
	case len(plan.Steps) == 1 && x.mayHedge(first):
		return x.streamWithHedge(ctx, first, plan.Priority)
	case len(plan.Steps) == 1:
		return x.streamStep(ctx, first.Target, plan.Priority, from, func() bool { return true })
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan stepResult, len(plan.Steps))
	firstFailed := make(chan struct{})
	var winner atomic.Int32 // index+1 of the step whose stream is forwarded; 0 for none
	for i, step := range plan.Steps {
		go func() {
			if i > 0 && !waitForStart(ctx, step.StartAfter, firstFailed) {
				results <- stepResult{index: i, reply: reply{target: step.Target}, err: ctx.Err()}
				return
			}
			resp, err := x.streamStep(ctx, step.Target, plan.Priority, from, func() bool {
				return winner.CompareAndSwap(0, int32(i+1)) || winner.Load() == int32(i+1)
			})
			results <- stepResult{index: i, reply: resp, err: err}
		}()
	}
	return x.awaitStreams(results, firstFailed, &winner, cancel)
}

// awaitStreams waits until both streams have ended and returns the result of
// the one that was forwarded. Both streams write to the same caller, so neither
// may outlive this function.
func (x *execution) awaitStreams(results <-chan stepResult, firstFailed chan<- struct{}, winner *atomic.Int32, cancel context.CancelFunc) (reply, error) {
	first := <-results
	if first.err == nil || winner.Load() == int32(first.index+1) {
		cancel()
	} else {
		close(firstFailed)
	}
	second := <-results
	x.recordMayHaveRun(first.err)
	x.recordMayHaveRun(second.err)
	chosen := second
	if winner.Load() == int32(first.index+1) || errors.Is(second.err, errHedgeNotStarted) {
		chosen = first
	}
	return chosen.reply, chosen.err
}

// streamStep forwards the response of one step, starting after part number
// from, as long as isWinner returns true.
func (x *execution) streamStep(ctx context.Context, target Target, priority, from int, isWinner func() bool) (reply, error) {
	resp := reply{target: target}
	call, err := x.server.newCall(x.req, resp.target, priority, true)
	if err != nil {
		return resp, err
	}
	var text bytes.Buffer
	keep := x.server.options.Router.SampleRating(x.req.route, resp.target)
	x.server.options.Router.Started(x.req.route, resp.target)
	resp.result, err = x.server.options.Upstream.Stream(ctx, call, from, func(p upstream.Part) error {
		if !isWinner() {
			return errSuperseded
		}
		if keep && text.Len()+len(p.Data) <= maxRatedBytes {
			text.WriteString(deltaText(p.Data))
		}
		return x.deliver(resp.target, p)
	})
	resp.text = text.String()
	x.server.reportFinished(ctx, x.req, resp.target, resp.result, err)
	x.server.cancelAbandoned(ctx, call, err)
	return resp, err
}

// deliver writes one part to the caller. Only the stream that won calls it.
func (x *execution) deliver(t Target, p upstream.Part) error {
	if !x.events.started {
		if err := x.server.setResponseHeaders(x.events.w.Header(), x.req, t); err != nil {
			return err
		}
	}
	if err := x.events.writeEvent(p.Data); err != nil {
		return err
	}
	x.delivered = p.Number
	return nil
}

// deltaText returns the text that a chat completion chunk adds to the response.
func deltaText(data []byte) string {
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
