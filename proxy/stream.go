package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// writeGrace is how long after the deadline a slow reader is waited for.
const writeGrace = 5 * time.Second

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buf     bytes.Buffer
	started bool
}

func newEventWriter(w http.ResponseWriter, deadline time.Time) *eventWriter {
	e := &eventWriter{w: w, control: http.NewResponseController(w)}
	// A server without support for deadlines falls back to its own timeout.
	_ = e.control.SetWriteDeadline(deadline.Add(writeGrace))
	return e
}

// event writes one data event and flushes it.
func (e *eventWriter) event(data []byte) error {
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

// answer makes the calls of a plan and delivers the accepted answer. The end
// of it is held back until the usage is entered in the ledger, so a caller that
// has the whole answer is billed, and one that has not can tell.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, m *modelRequest, plan Plan) (answer, error) {
	x := &execution{s: s, m: m, events: newEventWriter(w, m.route.Deadline)}
	a, err := x.run(ctx, plan)
	if err != nil {
		return a, x.endBroken(ctx, a, err)
	}
	if !x.live {
		if err := s.setAnswerHeaders(w.Header(), m, a.target); err != nil {
			return a, errkind.WithRan(err, errkind.RanYes)
		}
	}
	if err := bill(ctx, m.room, m.usage(a)); err != nil {
		return a, x.streamError(errkind.WithRan(err, errkind.RanYes))
	}
	switch {
	case x.live:
		err = x.events.event(doneEvent)
	case m.chat.stream:
		err = s.writeAsEvents(x.events, m, a)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, err = w.Write(a.result.Body)
	}
	if err != nil {
		s.counters.callersLeft.Add(1)
		return a, nil
	}
	s.counters.answered.Add(1)
	s.sampleRating(m, a)
	return a, nil
}

// endBroken bills the parts that a caller received before it left or the answer
// failed, and reports the error to the caller.
func (x *execution) endBroken(ctx context.Context, a answer, err error) error {
	if ctx.Err() != nil && x.events.started {
		a.result.PromptTokens = x.m.chat.promptTokens
		a.result.CompletionTokens = x.delivered
		if billErr := bill(ctx, x.m.room, x.m.usage(a)); billErr != nil {
			err = billErr
		}
	}
	return x.streamError(err)
}

// streamError answers with err, as an event when the stream has begun. The
// missing end marker tells the caller that the answer is not whole.
func (x *execution) streamError(err error) error {
	if !x.events.started {
		return err
	}
	x.s.counters.errors.Add(string(errkind.Of(err)), 1)
	if errkind.RanOf(err) == errkind.RanNo {
		err = errkind.WithRan(err, errkind.RanYes)
	}
	data, marshalErr := json.Marshal(errorBody(err, x.m.route.RequestID))
	if marshalErr == nil {
		// The caller may be gone; nothing is left to do for it.
		_ = x.events.event(data)
	}
	return nil
}

// writeAsEvents delivers a whole answer as a stream of one content chunk.
func (s *Server) writeAsEvents(events *eventWriter, m *modelRequest, a answer) error {
	chunks, err := chunksOf(a.result.Body, m.chat.includeUsage)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		if err := events.event(chunk); err != nil {
			return err
		}
	}
	return events.event(doneEvent)
}

// completion is the part of a whole answer that chunks are made from.
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

// chunksOf converts a whole answer to chat completion chunks.
func chunksOf(body []byte, includeUsage bool) ([][]byte, error) {
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
