package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PoorMarker is contained in every poor answer.
const PoorMarker = "(unverified)"

// bytesPerToken is the assumed mean size of a prompt token.
const bytesPerToken = 4

var vocabulary = strings.Fields("check the batteries fit straps at chest height then test range before leaving and " +
	"note thread colour spacing stitch count hoop size for each initial on the sheet")

// chatRequest holds the fields of an OpenAI chat completion request that the
// emulator uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of content parts.
	Content json.RawMessage `json:"content"`
}

func (r *chatRequest) outputTokens() int {
	n := r.MaxCompletionTokens
	if n == 0 {
		n = r.MaxTokens
	}
	if n <= 0 {
		n = defaultOutputTokens
	}
	return min(n, maxOutputTokens)
}

func (r *chatRequest) promptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += tokensOf(string(m.Content))
	}
	return n
}

// prefix returns the content of the first message, which the calls of a session
// share.
func (r *chatRequest) prefix() string {
	if len(r.Messages) == 0 {
		return ""
	}
	return string(r.Messages[0].Content)
}

func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// drawQuality decides whether the answer is a good one. The result depends only
// on the seed, the version, the request ID and the configured quality.
func (e *Engine) drawQuality(j *job) bool {
	const steps = 1 << 20
	return float64(e.digest("good", j)%steps)/steps < j.profile.Quality
}

// word returns token i of the answer, counted from 0. The first token of a poor
// answer is PoorMarker.
func (e *Engine) word(j *job, i int) string {
	if i == 0 && !j.run.Good {
		return PoorMarker
	}
	word := vocabulary[(e.digest("word", j)+uint64(i)*7919)%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}

// digest returns a deterministic hash of the purpose, the seed, the version and
// the request ID.
func (e *Engine) digest(purpose string, j *job) uint64 {
	return xxhash.Sum64String(purpose + "/" + strconv.FormatUint(e.opts.Seed, 10) + "/" + j.run.Version + "/" + j.run.RequestID)
}

func (e *Engine) text(j *job) string {
	var b strings.Builder
	for i := range j.tokens {
		b.WriteString(e.word(j, i))
	}
	return b.String()
}
