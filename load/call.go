package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/upstream"
)

const (
	maxAnswerBytes = 16 << 20
	maxLineBytes   = 1 << 20

	headerDeadlineMs     = "Savoryshift-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

// Outcome codes that are not error kinds of the target.
const (
	outcomeOK         = ""
	outcomeCallerLeft = "caller_left"       // no complete response before the caller left
	outcomeNotSent    = "not_sent"          // the caller left before the request was sent
	outcomeTransport  = "transport"         // the connection broke
	outcomeIncomplete = "incomplete_answer" // the response is truncated or malformed
)

// outcome is the result of one request. Its durations are measured from the time at
// which the request was due, unless said otherwise.
type outcome struct {
	class      string
	code       string
	firstToken time.Duration // 0 without a first token
	latency    time.Duration
	service    time.Duration // from the time at which the request was sent
	attempts   int
}

// perform sends a request, with retries of a booking, and waits for its complete
// response.
func (g *generator) perform(ctx context.Context, r request) outcome {
	out := outcome{class: r.class}
	ctx, cancel := context.WithDeadline(ctx, r.due.Add(r.deadline+r.leaveDelay))
	defer cancel()
	if ctx.Err() != nil {
		out.code, out.latency = outcomeNotSent, time.Since(r.due)
		return out
	}
	sent := time.Now()
	for {
		out.attempts++
		out.code = g.attempt(ctx, r, &out)
		if out.code == outcomeOK || !r.booking || out.attempts > g.options.BookingRetries || ctx.Err() != nil {
			break
		}
	}
	if out.code != outcomeOK && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.code = outcomeCallerLeft
	}
	out.latency, out.service = time.Since(r.due), time.Since(sent)
	return out
}

// attempt sends a request once and returns its outcome code.
func (g *generator) attempt(ctx context.Context, r request, out *outcome) string {
	path := upstream.PathCompletions
	if r.booking {
		path = g.options.BookingPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.options.URL+path, bytes.NewReader(r.body))
	if err != nil {
		return outcomeTransport
	}
	req.GetBody = nil // keeps the transport from resending a booking by itself
	g.setHeader(req.Header, r, out.attempts)
	resp, err := g.client.Do(req)
	if err != nil {
		return outcomeTransport
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode/100 != 2:
		return errorCode(resp)
	case r.streamed:
		return readStream(resp.Body, r.due, out)
	case r.booking:
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return transportCode(err)
	}
	return readWhole(resp.Body)
}

func (g *generator) setHeader(h http.Header, r request, attempt int) {
	h.Set("Content-Type", "application/json")
	h.Set(headerDeadlineMs, strconv.FormatInt(max(1, time.Until(r.due.Add(r.deadline)).Milliseconds()), 10))
	if g.options.Key != "" {
		h.Set("Authorization", "Bearer "+g.options.Key)
	}
	if r.booking {
		h.Set(headerIdempotencyKey, r.id)
		return
	}
	if g.options.EngineVersion != "" {
		h.Set(upstream.HeaderRequestID, r.id)
		h.Set(upstream.HeaderAttemptID, r.id+"-"+strconv.Itoa(attempt))
		h.Set(upstream.HeaderVersion, g.options.EngineVersion)
	}
}

// errorCode returns the error kind in the body of a response, or else its status.
func errorCode(resp *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &parsed) == nil && parsed.Error.Code != "" {
		return parsed.Error.Code
	}
	return "status_" + strconv.Itoa(resp.StatusCode)
}

func transportCode(err error) string {
	if err != nil {
		return outcomeTransport
	}
	return outcomeOK
}

// readWhole reads a response that is not streamed and checks that it has a finish
// reason.
func readWhole(body io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return outcomeTransport
	}
	var completion struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &completion) != nil || len(completion.Choices) == 0 || completion.Choices[0].FinishReason == "" {
		return outcomeIncomplete
	}
	return outcomeOK
}

// readStream reads server-sent events up to the end marker [DONE] and notes the time
// of the first one.
func readStream(body io.Reader, due time.Time, out *outcome) string {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			_, _ = io.Copy(io.Discard, io.LimitReader(body, maxLineBytes))
			return outcomeOK
		case bytes.HasPrefix(data, []byte(`{"error"`)):
			return streamError(data)
		case out.firstToken == 0:
			out.firstToken = time.Since(due)
		}
	}
	if lines.Err() != nil {
		return outcomeTransport
	}
	return outcomeIncomplete
}

// streamError returns the error kind in an error event.
func streamError(data []byte) string {
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &parsed) != nil || parsed.Error.Code == "" {
		return outcomeIncomplete
	}
	return parsed.Error.Code
}
