package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// completion is the JSON body of a non-streamed chat completion or, when Object
// is "chat.completion.chunk", of one part of a streamed completion.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (j *job) usage() *usage {
	return &usage{j.run.PromptTokens, j.tokens, j.run.PromptTokens + j.tokens}
}

func (j *job) completion(object string) completion {
	return completion{
		ID: "chatcmpl-" + j.run.RequestID, Object: object, Created: j.started.Unix(), Model: j.run.Model, Choices: []choice{},
	}
}

// writeWhole waits for the time that generating all tokens takes and then writes
// the answer as one JSON body. complete is false when the connection must be
// broken because the answer was not written in full.
func (e *Engine) writeWhole(ctx context.Context, w http.ResponseWriter, j *job) (state RunState, complete bool) {
	ready := j.started.Add(j.firstDelay() + time.Duration(j.tokens)*j.interval())
	if j.fails {
		ready = j.started.Add(j.firstDelay())
	}
	if !e.sleepUntil(ctx, ready) {
		return RunCancelled, false
	}
	if j.fails {
		writeError(w, http.StatusInternalServerError, errkind.UpstreamFailed, "engine failed")
		return RunFailed, true
	}
	text, stop := e.text(j), "stop"
	answer := j.completion("chat.completion")
	answer.Choices = append(answer.Choices, choice{Message: &message{Role: "assistant", Content: &text}, FinishReason: &stop})
	answer.Usage = j.usage()
	data, err := json.Marshal(answer)
	if err != nil {
		return RunFailed, false
	}
	faults := e.Faults()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if faults.CutAfterPart > 0 {
		_, _ = w.Write(data[:len(data)/2])
		return RunFailed, false
	}
	if faults.Malformed {
		data[0] = '!'
	}
	_, _ = w.Write(data)
	e.runs.setParts(j.run, j.tokens)
	return RunFinished, true
}

// writeStream writes the answer as numbered server-sent events: one per token
// and one with the finish reason, then the usage if the request asks for it.
// complete is false when the connection must be broken, as in writeWhole.
func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, j *job) (state RunState, complete bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	total := j.streamParts()
	due := j.started.Add(j.firstDelay())
	for n := j.run.From + 1; n <= total; n++ {
		if n <= j.tokens {
			due = due.Add(j.interval())
		}
		if !e.sleepUntil(ctx, due) {
			return RunCancelled, false
		}
		if j.fails && n > j.tokens/2 {
			data, _ := json.Marshal(errorBody(errkind.UpstreamFailed, "engine failed"))
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			return RunFailed, true
		}
		if e.Faults().Malformed {
			_, _ = fmt.Fprint(w, "broken line\n\n")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.encodePart(j, n)); err != nil {
			return RunCancelled, false
		}
		if err := flush(); err != nil {
			return RunCancelled, false
		}
		e.runs.setParts(j.run, n)
		if e.Faults().CutAfterPart == n {
			return RunFailed, false
		}
		if j.fatalAfter > 0 && n-j.run.From == j.fatalAfter && e.opts.End != nil {
			e.opts.End()
			return RunFailed, false
		}
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: {\"parts\":%d,\"completion_tokens\":%d,\"prompt_tokens\":%d}\n\ndata: [DONE]\n\n",
		total, j.tokens, j.run.PromptTokens)
	return RunFinished, true
}

// streamParts returns the number of streamed parts: one per token, one for the
// finish reason and, if the request asks for it, one for the usage.
func (j *job) streamParts() int {
	if j.body.StreamOptions.IncludeUsage {
		return j.tokens + 2
	}
	return j.tokens + 1
}

// encodePart returns the JSON of streamed part n, counted from 1.
func (e *Engine) encodePart(j *job, n int) []byte {
	chunk := j.completion("chat.completion.chunk")
	switch {
	case n <= j.tokens:
		word, delta := e.word(j, n-1), &message{}
		delta.Content = &word
		if n == 1 {
			delta.Role = "assistant"
		}
		chunk.Choices = append(chunk.Choices, choice{Delta: delta})
	case n == j.tokens+1:
		stop := "stop"
		chunk.Choices = append(chunk.Choices, choice{Delta: &message{}, FinishReason: &stop})
	default:
		chunk.Usage = j.usage()
	}
	data, _ := json.Marshal(chunk)
	return data
}
