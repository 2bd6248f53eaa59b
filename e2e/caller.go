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
	// Organisation is the number of the caller's organisation.
	Organisation int
	Deadline     time.Duration
	// Booking is the idempotency key of a booking; "" makes the call a chat.
	Booking string
	// Model, Stream and Tokens describe a chat.
	Model  string
	Stream bool
	Tokens int
}

// Answer is what a caller received.
type Answer struct {
	Status    int
	RequestID string
	Version   string
	Repeated  bool
	Body      string
	// Whole says that the answer is complete.
	Whole bool
	// Error describes a refusal.
	Error proxy.ErrorDetail
	// Err is a broken exchange.
	Err error
}

// NotRun tells whether the caller was told that the call does not run.
func (a Answer) NotRun() bool { return a.Err == nil && !a.Whole && a.Error.Ran == errkind.RanNo }

// client opens a connection per call, as callers behind a balancer do when it
// sends them elsewhere.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Send sends a call to a daemon and reads the answer to its end.
func Send(base string, c Call) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), Limit)
	defer cancel()
	path, body := "/v1/chat/completions", map[string]any{
		"model": c.Model, "stream": c.Stream, "max_tokens": max(1, c.Tokens),
		"messages": []map[string]string{{"role": "user", "content": "Which beacon for a party of four?"}},
	}
	if c.Booking != "" {
		path, body = "/hire-desk/bookings", map[string]any{"beacon": c.Booking}
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
	if c.Booking != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, c.Booking)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	return read(resp, c)
}

// read takes an answer to its end.
func read(resp *http.Response, c Call) Answer {
	a := Answer{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get(proxy.HeaderRequestID),
		Version:   resp.Header.Get(proxy.HeaderVersion),
		Repeated:  resp.Header.Get(proxy.HeaderRepeated) == "true",
	}
	if c.Stream && resp.StatusCode == http.StatusOK {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			a.Whole = a.Whole || lines.Text() == "data: [DONE]"
		}
		a.Err = lines.Err()
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(data), err
	if resp.StatusCode/100 == 2 {
		a.Whole = err == nil && (c.Booking != "" || strings.Contains(a.Body, `"finish_reason":"stop"`))
		return a
	}
	var refusal proxy.ErrorBody
	if err := json.Unmarshal(data, &refusal); err == nil {
		a.Error = refusal.Error
	}
	return a
}
