package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// writeGrace is how long after the deadline of a request its response may still
// be written to a slow reader.
const writeGrace = 5 * time.Second

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w       *callerResponse
	control *http.ResponseController
	buf     bytes.Buffer
	started bool
}

func newEventWriter(w *callerResponse, deadline time.Time) *eventWriter {
	e := &eventWriter{w: w, control: http.NewResponseController(w)}
	// If the server does not support write deadlines, its own timeout applies.
	_ = e.control.SetWriteDeadline(deadline.Add(writeGrace))
	return e
}

// writeEvent writes one data event and flushes it.
func (e *eventWriter) writeEvent(data []byte) error {
	if !e.started {
		header := e.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
		e.started = true
	}
	e.buf.Reset()
	e.buf.WriteString("data: ")
	e.buf.Write(data)
	e.buf.WriteString("\n\n")
	if _, err := e.w.Write(e.buf.Bytes()); err != nil {
		return errCallerLeft
	}
	if err := e.control.Flush(); err != nil {
		return errCallerLeft
	}
	return nil
}

var doneEvent = []byte("[DONE]")

// respond executes a plan and delivers the accepted response. The end of the
// response is held back until the usage is recorded in the ledger, so that a
// caller that received the complete response is billed, and any other caller
// can detect that its response is incomplete.
func (s *Server) respond(ctx context.Context, w *callerResponse, req *modelRequest, plan Plan) (reply, error) {
	x := &execution{server: s, req: req, events: newEventWriter(w, req.route.Deadline)}
	resp, err := x.run(ctx, plan)
	if err != nil {
		return resp, x.finishFailed(ctx, resp, err)
	}
	if !x.streaming {
		if err := s.setResponseHeaders(w.Header(), req, resp.target); err != nil {
			return resp, errkind.WithRan(err, errkind.RanYes)
		}
	}
	var chunks [][]byte
	if !x.streaming && req.chat.stream {
		if chunks, err = toChunks(resp.result.Body, req.chat.includeUsage); err != nil {
			return resp, errkind.WithRan(err, errkind.RanYes)
		}
	}
	if err := bill(ctx, req.reservation, req.usage(resp)); err != nil {
		return resp, x.reportError(errkind.WithRan(err, errkind.RanYes))
	}
	switch {
	case x.streaming:
		err = w.end(x.events.writeEvent(doneEvent))
	case req.chat.stream:
		err = x.events.writeAll(chunks)
	default:
		w.Header().Set("Content-Type", "application/json")
		err = w.writeWhole(ctx, req.request.Method, http.StatusOK, resp.result.Body)
	}
	if err != nil {
		s.counters.callersLeft.Add(1)
		return resp, nil
	}
	w.answers = true
	s.sampleRating(req, resp)
	return resp, nil
}

// finishFailed reports the error of a request to the caller. If the caller
// disconnected or the deadline passed during a stream, it bills the parts that
// were delivered.
func (x *execution) finishFailed(ctx context.Context, resp reply, err error) error {
	if ctx.Err() != nil && x.events.started {
		resp.result.PromptTokens = x.req.chat.promptTokens
		resp.result.CompletionTokens = x.delivered
		if billErr := bill(ctx, x.req.reservation, x.req.usage(resp)); billErr != nil {
			err = billErr
		}
	}
	return x.reportError(err)
}

// reportError returns err if the response has not started, and otherwise sends
// it as an event of the stream, which proves that the request ran. The missing
// end marker tells the caller that the response is incomplete.
func (x *execution) reportError(err error) error {
	if !x.events.started {
		return err
	}
	err = x.server.stopError(x.req.request.Context(), x.req.route.RequestID, err)
	x.server.counters.errors.Add(string(errkind.Of(err)), 1)
	err = errkind.WithRan(err, errkind.RanYes)
	data, marshalErr := json.Marshal(errorBody(err, x.req.route.RequestID))
	if marshalErr == nil {
		// A response that was not sent to its end is logged by finish.
		_ = x.events.w.end(x.events.writeEvent(data))
	}
	return nil
}

// writeAll delivers a complete response as a stream of the chunks.
func (e *eventWriter) writeAll(chunks [][]byte) error {
	for _, chunk := range chunks {
		if err := e.writeEvent(chunk); err != nil {
			return err
		}
	}
	return e.w.end(e.writeEvent(doneEvent))
}

// completion holds the members of a complete response that chunks are made
// from.
type completion struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index        int             `json:"index"`
		Message      json.RawMessage `json:"message"`
		FinishReason string          `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
}

// toChunks converts a complete response to chat completion chunks.
func toChunks(body []byte, includeUsage bool) ([][]byte, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errkind.Wrap(errkind.UpstreamInvalidAnswer, err)
	}
	base := chunk{ID: c.ID, Object: "chat.completion.chunk", Created: c.Created, Model: c.Model, Choices: []chunkChoice{}}
	content, finish := base, base
	for _, choice := range c.Choices {
		content.Choices = append(content.Choices, chunkChoice{Index: choice.Index, Delta: choice.Message})
		finish.Choices = append(finish.Choices, chunkChoice{Index: choice.Index, Delta: json.RawMessage("{}"), FinishReason: &choice.FinishReason})
	}
	all := []chunk{content, finish}
	if includeUsage {
		usage := base
		usage.Usage = c.Usage
		all = append(all, usage)
	}
	var chunks [][]byte
	for _, one := range all {
		data, err := json.Marshal(one)
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err)
		}
		chunks = append(chunks, data)
	}
	return chunks, nil
}
