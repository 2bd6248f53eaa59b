package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/check"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/quarantine"
)

const (
	// bytesPerToken is used to estimate the prompt length before an engine has
	// counted its tokens.
	bytesPerToken = 4
)

// chatRequest is a decoded chat completion request.
type chatRequest struct {
	// fields holds all members of the body, so that members unknown to the
	// router reach the engine unchanged.
	fields map[string]json.RawMessage
	// model is the name of a model or of a model service.
	model  string
	stream bool
	// maxTokens is the caller's limit on the generated tokens; 0 when absent.
	maxTokens    int
	includeUsage bool
	promptTokens int
	prefixHash   uint64
	prefixShare  float64
	// prompt is the text of all messages, which the rating service receives.
	prompt string
	// parts identify the messages.
	parts []quarantine.Part
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// limitBodyTime bounds the time to read the body of a request, so that a slow sender
// cannot hold a request open indefinitely. The server also reads the body of a request
// that is refused before it sends the answer.
func limitBodyTime(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	if r.ContentLength != 0 {
		// If the server does not support read deadlines, its own timeout applies.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
	}
}

// bodyCopies is the number of times that a body is in memory once its JSON is decoded: the
// body, its fields, and the text of its messages.
const bodyCopies = 3

// itemBytes is the memory for a member or an element of a JSON document beyond its bytes: its
// entry in a map or in a slice that doubles, with the garbage of the smaller ones.
const itemBytes = 256

// holdItems takes the memory for a JSON body once it is decoded.
func holdItems(w *callerResponse, data []byte) error {
	if err := w.body.Hold(bodyCopies*len(data) + itemBytes*check.CountItems(data)); err != nil {
		return errkind.New(errkind.NoCapacity, "this daemon has no memory for the members of the body")
	}
	return nil
}

// readBody reads the request body within the limit on its size and that of
// limitBodyTime. A body for which there is no memory is refused.
func readBody(w *callerResponse, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	stopped := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	done := clientlimit.ReadingBody(r.Context())
	data, err := w.body.ReadAll(http.MaxBytesReader(w.ResponseWriter, r.Body, limit), int(max(0, r.ContentLength)), int(limit)+1)
	if err == nil {
		err = w.body.Hold(bodyCopies * len(data))
	}
	if lost := done(); lost != nil {
		err = lost
	}
	if stopped() && err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		// The deadline stays in force, for the rest of the body.
		w.Header().Set("Connection", "close")
		return nil, bodyError(r.Context(), err, limit)
	}
	return data, nil
}

// bodyError returns the error for a body that could not be read.
func bodyError(ctx context.Context, err error, limit int64) error {
	if _, tooLarge := errors.AsType[*http.MaxBytesError](err); tooLarge {
		return errkind.New(errkind.PayloadTooLarge, "the body exceeds %d bytes", limit)
	}
	if errors.Is(err, bodybudget.ErrFull) {
		return errkind.New(errkind.NoCapacity, "this daemon has no memory for the body")
	}
	if endedByStop(ctx) {
		return errkind.New(errkind.ShuttingDown, "the body was not read before this daemon stopped: %v", err)
	}
	return errkind.New(errkind.BadRequest, "the body could not be read: %v", err)
}

// parseChat decodes and validates the body of a chat completion request.
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
	c.parts = promptParts(messages)
	c.promptTokens = max(1, len(prompt)/bytesPerToken)
	// Engines identify a prefix in cache events by the first 8 bytes of the
	// SHA-256 of the first message.
	digest := sha256.Sum256(messages[0].Content)
	c.prefixHash = binary.BigEndian.Uint64(digest[:])
	c.prefixShare = float64(len(messages[0].Content)) / float64(max(1, size))
}

// messageText returns the content of a message as text: a JSON string is
// decoded, any other content is returned as raw JSON.
func messageText(content json.RawMessage) string {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text
	}
	return string(content)
}

// bodyFor returns the body to send to an engine: the members of the caller's
// request with "model" and "stream" replaced.
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
