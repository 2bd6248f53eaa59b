package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/savoryshift/savoryshift/upstream"
)

// maxRatedBytes bounds how much text of a streamed response is kept for a
// rating.
const maxRatedBytes = 64 << 10

// streamSteps forwards a streamed response part by part as it arrives. If parts
// were already delivered, the stream resumes after the last of them.
func (x *execution) streamSteps(ctx context.Context, plan Plan) (reply, error) {
	x.streaming = true
	return newStreamRace(ctx, x, plan).run()
}

// streamCall makes one call of a race, starting after part number from.
func (r *streamRace) streamCall(ctx context.Context, c *racingCall, from int) (resp reply, err error) {
	x := r.x
	defer x.server.recoverCall(x.req, &err)
	resp.target = c.target
	call, err := x.server.newCall(x.req, c.target, r.priority, true)
	if err != nil {
		return resp, err
	}
	call.OnIdle = func() { r.markIdle(c) }
	var text bytes.Buffer
	keep := x.server.options.Router.SampleRating(x.req.route, c.target)
	x.server.options.Router.Started(x.req.route, c.target)
	prompt := x.server.startPrompt(x.req, c.target, from)
	resp.result, err = x.server.options.Upstream.Stream(ctx, call, from, func(p upstream.Part) error {
		prompt.Event(time.Now())
		forward, err := r.claim(c, p.Number)
		if !forward || err != nil {
			return err
		}
		if keep && text.Len()+len(p.Data) <= maxRatedBytes {
			text.WriteString(deltaText(p.Data))
		}
		return r.deliver(c, p)
	})
	resp.text = text.String()
	x.server.recordCall(ctx, x.req, c.target, prompt, err)
	x.server.reportFinished(ctx, x.req, c.target, resp.result, err)
	x.server.cancelAbandoned(ctx, call, err)
	return resp, err
}

// writePart writes one part to the caller.
func (x *execution) writePart(t Target, data []byte) error {
	if !x.events.started {
		if err := x.server.setResponseHeaders(x.events.w.Header(), x.req, t); err != nil {
			return err
		}
	}
	return x.events.writeEvent(data)
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
