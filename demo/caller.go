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

// callDeadline is what each caller allows for its request.
const callDeadline = 8 * time.Second

// caller sends requests as an organisation's application would.
type caller struct{ http *http.Client }

func newCaller() *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// received is what a caller got for one request.
type received struct {
	status    int
	requestID string
	version   string
	session   string
	repeated  bool
	body      []byte
	// whole says that the answer is complete.
	whole bool
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

// chat sends one chat completion and reads the whole answer.
func (c *caller) chat(ctx context.Context, base, prompt, session string, stream bool, maxTokens int) (received, error) {
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
		return received{}, err
	}
	defer resp.Body.Close()
	r := receivedFrom(resp)
	if stream && resp.StatusCode == http.StatusOK {
		r.body, r.whole, err = readEvents(resp.Body)
		return r, err
	}
	r.body, err = io.ReadAll(resp.Body)
	r.whole = err == nil && resp.StatusCode == http.StatusOK && finished(r.body)
	return r, err
}

func receivedFrom(resp *http.Response) received {
	return received{
		status:    resp.StatusCode,
		requestID: resp.Header.Get(proxy.HeaderRequestID),
		version:   resp.Header.Get(proxy.HeaderVersion),
		session:   resp.Header.Get(proxy.HeaderSession),
		repeated:  resp.Header.Get(proxy.HeaderRepeated) == "true",
	}
}

// finished tells whether a whole answer says that it is complete.
func finished(body []byte) bool {
	var answer struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	err := json.Unmarshal(body, &answer)
	return err == nil && len(answer.Choices) > 0 && answer.Choices[0].FinishReason != ""
}

// readEvents reads a stream to its end marker.
func readEvents(r io.Reader) (data []byte, whole bool, err error) {
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

// book makes one booking under an idempotency key.
func (c *caller) book(ctx context.Context, base, key, beacon string) (received, error) {
	body := map[string]string{"beacon": beacon}
	resp, err := c.send(ctx, base+bookingPath, body, map[string]string{proxy.HeaderIdempotencyKey: key})
	if err != nil {
		return received{}, err
	}
	defer resp.Body.Close()
	r := receivedFrom(resp)
	r.body, err = io.ReadAll(resp.Body)
	r.whole = err == nil && resp.StatusCode < http.StatusMultipleChoices
	return r, err
}
