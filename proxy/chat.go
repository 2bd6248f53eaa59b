package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// bytesPerToken estimates the prompt length before an engine counted it.
	bytesPerToken = 4
)

// chatRequest is a decoded chat completion request.
type chatRequest struct {
	// fields holds the members of the body, so that unknown ones pass through.
	fields map[string]json.RawMessage
	// model is a model name or the name of a model service.
	model  string
	stream bool
	// maxTokens is the caller's bound on the answer; 0 when absent.
	maxTokens    int
	includeUsage bool
	promptTokens int
	prefixHash   uint64
	prefixShare  float64
	// prompt is the text of all messages, for the rating service.
	prompt string
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads the body of r within the bounds, so that a slow sender does
// not hold a request for ever.
func readBody(w http.ResponseWriter, r *http.Request, b Bounds) ([]byte, error) {
	limit := b.BodyBytes
	control := http.NewResponseController(w)
	// A server without support for deadlines falls back to its own timeout.
	_ = control.SetReadDeadline(time.Now().Add(b.BodyReadTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return nil, errkind.New(errkind.PayloadTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "the body could not be read: %v", err)
	}
	return data, nil
}

// parseChat decodes and checks the body of a chat completion request.
func parseChat(data []byte) (chatRequest, error) {
	var c chatRequest
	if !utf8.Valid(data) {
		return c, errkind.New(errkind.BadRequest, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(data, &c.fields); err != nil {
		return c, errkind.New(errkind.BadRequest, "the body is not a JSON object: %v", err)
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var messages []chatMessage
	var maxCompletion int
	members := []struct {
		name string
		into any
	}{
		{"model", &c.model},
		{"stream", &c.stream},
		{"max_tokens", &c.maxTokens},
		{"max_completion_tokens", &maxCompletion},
		{"stream_options", &options},
		{"messages", &messages},
	}
	for _, m := range members {
		if raw, ok := c.fields[m.name]; ok {
			if err := json.Unmarshal(raw, m.into); err != nil {
				return c, errkind.New(errkind.BadRequest, "member %q: %v", m.name, err)
			}
		}
	}
	if maxCompletion != 0 {
		c.maxTokens = maxCompletion
	}
	switch {
	case c.model == "":
		return c, errkind.New(errkind.BadRequest, "member \"model\" is missing")
	case len(messages) == 0:
		return c, errkind.New(errkind.BadRequest, "member \"messages\" is missing or empty")
	case c.maxTokens < 0:
		return c, errkind.New(errkind.BadRequest, "member \"max_tokens\" is %d, allowed: 1 or more", c.maxTokens)
	}
	c.includeUsage = options.IncludeUsage
	c.setPrompt(messages)
	return c, nil
}

func (c *chatRequest) setPrompt(messages []chatMessage) {
	size := 0
	for _, m := range messages {
		size += len(m.Content)
	}
	prompt := make([]byte, 0, size+len(messages))
	for _, m := range messages {
		prompt = append(prompt, messageText(m.Content)...)
		prompt = append(prompt, '\n')
	}
	c.prompt = string(prompt)
	c.promptTokens = max(1, len(prompt)/bytesPerToken)
	// Engines name a prefix in cache events by the first 8 bytes of the SHA-256
	// of the first message.
	digest := sha256.Sum256(messages[0].Content)
	c.prefixHash = binary.BigEndian.Uint64(digest[:])
	c.prefixShare = float64(len(messages[0].Content)) / float64(max(1, size))
}

// messageText returns the text of a message whose content is a string, and the
// raw JSON of any other content.
func messageText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	return string(content)
}

// bodyFor returns the body to send to an engine: the caller's members with the
// model name and the stream member set.
func (c *chatRequest) bodyFor(model string, stream bool) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+1)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err)
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("false")
	if stream {
		fields["stream"] = json.RawMessage("true")
	} else {
		delete(fields, "stream_options")
	}
	body, err := json.Marshal(fields)
	return body, errkind.Wrap(errkind.Internal, err)
}
