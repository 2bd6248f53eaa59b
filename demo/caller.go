package demo

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

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/proxy"
)

// callDeadline is the deadline that callers send with each request.
const callDeadline = 8 * time.Second

// caller sends requests as an application of an organisation does.
type caller struct{ http *http.Client }

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// answer is the response to one request.
type answer struct {
	status    int
	requestID string
	version   string
	session   string
	repeated  bool
	body      []byte
	// complete reports whether the whole response was received and, for a chat, ended
	// with a finish reason or an end marker.
	complete bool
}

// send posts a JSON body with the caller's headers.
func (c *caller) send(ctx context.Context, url string, body any, header map[string]string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(proxy.HeaderDeadline, strconv.FormatInt(callDeadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return c.http.Do(req)
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat sends one chat completion and reads the response to its end. An empty session
// sends no session header.
func (c *caller) chat(ctx context.Context, base, prompt, session string, stream bool, maxTokens int) (answer, error) {
	header := map[string]string{}
	if session != "" {
		header[proxy.HeaderSession] = session
	}
	body := chatBody{
		Model:     modelService,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		Stream:    stream,
		MaxTokens: maxTokens,
	}
	resp, err := c.send(ctx, base+"/v1/chat/completions", body, header)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	r := newAnswer(resp)
	if stream && resp.StatusCode == http.StatusOK {
		r.body, r.complete, err = readEvents(resp.Body)
		return r, err
	}
	r.body, err = io.ReadAll(resp.Body)
	r.complete = err == nil && resp.StatusCode == http.StatusOK && isFinished(r.body)
	return r, err
}

func newAnswer(resp *http.Response) answer {
	return answer{
		status:    resp.StatusCode,
		requestID: resp.Header.Get(proxy.HeaderRequestID),
		version:   resp.Header.Get(proxy.HeaderVersion),
		session:   resp.Header.Get(proxy.HeaderSession),
		repeated:  resp.Header.Get(proxy.HeaderRepeated) == "true",
	}
}

// isFinished reports whether a response that is not streamed has a finish reason.
func isFinished(body []byte) bool {
	var completion struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	err := json.Unmarshal(body, &completion)
	return err == nil && len(completion.Choices) > 0 && completion.Choices[0].FinishReason != ""
}

// readEvents reads a stream of server-sent events and returns their data, one event
// per line. complete reports whether the end marker [DONE] was received.
func readEvents(r io.Reader) (data []byte, complete bool, err error) {
	scanner := bufio.NewScanner(r)
	var all bytes.Buffer
	for scanner.Scan() {
		event, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if event == "[DONE]" {
			return all.Bytes(), true, nil
		}
		all.WriteString(event)
		all.WriteByte('\n')
	}
	return all.Bytes(), false, scanner.Err()
}

// book sends one booking with an idempotency key.
func (c *caller) book(ctx context.Context, base, key, beacon string) (answer, error) {
	body := map[string]string{"beacon": beacon}
	resp, err := c.send(ctx, base+bookingPath, body, map[string]string{proxy.HeaderIdempotencyKey: key})
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	r := newAnswer(resp)
	r.body, err = io.ReadAll(resp.Body)
	r.complete = err == nil && resp.StatusCode < http.StatusMultipleChoices
	return r, err
}
