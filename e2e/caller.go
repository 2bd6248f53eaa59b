package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
)

// Call is one request of a caller.
type Call struct {
	// Organisation is the index of the caller's organisation.
	Organisation int
	Deadline     time.Duration
	// BookingKey is the idempotency key of a booking. If it is "", the call is a chat.
	BookingKey string
	// Model, Stream and MaxTokens describe a chat.
	Model     string
	Stream    bool
	MaxTokens int
}

// Answer is the response that a caller received.
type Answer struct {
	Status    int
	RequestID string
	Version   string
	Repeated  bool
	Body      string
	// Complete reports whether the whole response was received and, for a chat, ended
	// with a finish reason or an end marker.
	Complete bool
	// Refusal is the error in the body of a response that is not a success.
	Refusal proxy.ErrorDetail
	// Err is a failure to send the request or to read the response.
	Err error
}

// NotRun reports whether the response says that the call did not and will not run.
func (a Answer) NotRun() bool { return a.Err == nil && !a.Complete && a.Refusal.Ran == errkind.RanNo }

// client opens a connection for each call, because a caller behind a balancer gets a
// new connection when the balancer sends it to another daemon.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Send sends a call to a daemon and reads the response to its end.
func Send(base string, c Call) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	path, body := "/v1/chat/completions", map[string]any{
		"model": c.Model, "stream": c.Stream, "max_tokens": max(1, c.MaxTokens),
		"messages": []map[string]string{{"role": "user", "content": "Which beacon for a party of four?"}},
	}
	if c.BookingKey != "" {
		path, body = "/hire-desk/bookings", map[string]any{"beacon": c.BookingKey}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(data))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey(c.Organisation))
	req.Header.Set(proxy.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.BookingKey != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, c.BookingKey)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, c)
}

// readAnswer reads a response to its end.
func readAnswer(resp *http.Response, c Call) Answer {
	a := Answer{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get(proxy.HeaderRequestID),
		Version:   resp.Header.Get(proxy.HeaderVersion),
		Repeated:  resp.Header.Get(proxy.HeaderRepeated) == "true",
	}
	if c.Stream && resp.StatusCode == http.StatusOK {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			a.Complete = a.Complete || lines.Text() == "data: [DONE]"
		}
		a.Err = lines.Err()
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(data), err
	if resp.StatusCode/100 == 2 {
		a.Complete = err == nil && (c.BookingKey != "" || strings.Contains(a.Body, `"finish_reason":"stop"`))
		return a
	}
	var refusal proxy.ErrorBody
	if err := json.Unmarshal(data, &refusal); err == nil {
		a.Refusal = refusal.Error
	}
	return a
}
