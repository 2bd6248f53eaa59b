package daemontest

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

// Answer is the response to a request as the client received it.
type Answer struct {
	// Status is the HTTP status code, or 0 when the connection failed before the
	// response headers arrived.
	Status    int
	Kind      errkind.Kind
	Ran       errkind.Ran
	RequestID string
	Version   string
	Session   string
	Repeated  bool
	Body      []byte
	// Parts holds the text of each event of a stream that has any.
	Parts []string
	// Complete reports whether the answer arrived to its end and is no error.
	Complete bool
	Err      error
}

// Chat describes a chat request.
type Chat struct {
	Prompt   string
	Session  string
	Key      string // idempotency key, none when empty
	Stream   bool
	Tokens   int           // maximum output tokens; 0 means defaultTokens
	Deadline time.Duration // 0 means defaultDeadline
}

const (
	defaultTokens   = 8
	defaultDeadline = 5 * time.Second
	// clientTimeoutMargin is how long a client waits for an answer after the
	// deadline of its request.
	clientTimeoutMargin = time.Second
)

// Chat sends a chat request to the daemon and waits for the answer.
func (d *Daemon) Chat(c Chat) Answer {
	if c.Tokens == 0 {
		c.Tokens = defaultTokens
	}
	header := map[string]string{}
	if c.Session != "" {
		header[proxy.HeaderSession] = c.Session
	}
	if c.Key != "" {
		header[proxy.HeaderIdempotencyKey] = c.Key
	}
	body := map[string]any{
		"model": ModelService, "stream": c.Stream, "max_tokens": c.Tokens,
		"messages": []map[string]string{{"role": "user", "content": c.Prompt}},
	}
	return d.send("/v1/chat/completions", body, header, c.Deadline, c.Stream)
}

// Book makes a booking at the plain service under an idempotency key. A deadline
// of 0 means defaultDeadline.
func (d *Daemon) Book(key string, deadline time.Duration) Answer {
	return d.send("/hire-desk/bookings", map[string]string{"beacon": key}, map[string]string{proxy.HeaderIdempotencyKey: key}, deadline, false)
}

func (d *Daemon) send(path string, body any, header map[string]string, deadline time.Duration, stream bool) Answer {
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+clientTimeoutMargin)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+path, bytes.NewReader(data))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set(proxy.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := d.system.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, stream && resp.StatusCode == http.StatusOK)
}

func readAnswer(resp *http.Response, stream bool) Answer {
	a := Answer{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get(proxy.HeaderRequestID),
		Version:   resp.Header.Get(proxy.HeaderVersion),
		Session:   resp.Header.Get(proxy.HeaderSession),
		Repeated:  resp.Header.Get(proxy.HeaderRepeated) == "true",
	}
	a.Body, a.Err = io.ReadAll(resp.Body)
	switch {
	case stream:
		a.Complete = a.parseEvents()
	case resp.StatusCode >= http.StatusBadRequest:
		a.parseError(a.Body)
	default:
		a.Complete = a.Err == nil
	}
	return a
}

// parseError reads an error body, and reports whether data is one.
func (a *Answer) parseError(data []byte) bool {
	var body proxy.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return false
	}
	a.Kind, a.Ran = body.Error.Code, body.Error.Ran
	return true
}

// parseEvents collects the text of the stream's events. It reports whether the
// stream ended with its end marker and without an error.
func (a *Answer) parseEvents() bool {
	scanner := bufio.NewScanner(bytes.NewReader(a.Body))
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return a.Err == nil && a.Kind == ""
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if a.parseError([]byte(data)) || json.Unmarshal([]byte(data), &part) != nil || len(part.Choices) == 0 {
			continue
		}
		if text := part.Choices[0].Delta.Content; text != "" {
			a.Parts = append(a.Parts, text)
		}
	}
	return false
}
