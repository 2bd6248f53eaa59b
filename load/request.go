package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/savoryshift/savoryshift/workload"
)

const (
	maxPromptTokens = 32_000
	maxOutputTokens = 8_000
	minDeadline     = 50 * time.Millisecond
	bytesPerToken   = 4

	classBooking = "booking"
)

// request is one request of the workload.
type request struct {
	class      string
	due        time.Time
	deadline   time.Duration // from due
	leaveDelay time.Duration // the caller leaves at due+deadline+leaveDelay
	streamed   bool
	booking    bool
	id         string // request id or idempotency key
	body       []byte
}

// requestSource draws the requests of a run at random. It is used by one goroutine.
type requestSource struct {
	options    Options
	rng        *rand.Rand
	ids        *rand.ChaCha8
	totalShare float64 // sum of the shares of the classes
}

func newRequestSource(o Options) *requestSource {
	var seed [32]byte
	for i := range 8 {
		seed[i] = byte(o.Seed >> (8 * i))
	}
	d := &requestSource{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), ids: rand.NewChaCha8(seed)}
	for _, c := range o.Classes {
		d.totalShare += c.Share
	}
	return d
}

// interarrival draws the time to the next arrival.
func (d *requestSource) interarrival() time.Duration {
	mean := float64(time.Second) / d.options.Rate
	if d.options.Arrivals == Constant {
		return time.Duration(mean)
	}
	return time.Duration(d.rng.ExpFloat64() * mean)
}

// next draws the request that is due at the given time.
func (d *requestSource) next(due time.Time) request {
	class := d.drawClass()
	r := request{class: class.Name, due: due, id: d.newID()}
	r.deadline = max(minDeadline, time.Duration(d.drawLognormal(class.DeadlineMs)*float64(time.Millisecond)))
	r.leaveDelay = time.Duration(class.CallerLeavesMs * float64(time.Millisecond))
	if d.rng.Float64() < d.options.BookingShare {
		r.class, r.booking = classBooking, true
		r.body = fmt.Appendf(nil, `{"item":%d}`, d.rng.IntN(1000))
		return r
	}
	r.streamed = d.rng.Float64() < d.options.StreamShare
	r.body = d.drawBody(class, r.streamed)
	return r
}

// newID draws a random UUID.
func (d *requestSource) newID() string {
	id, err := uuid.NewRandomFromReader(d.ids)
	if err != nil {
		return fmt.Sprintf("%016x", d.rng.Uint64())
	}
	return id.String()
}

// drawClass draws a class with a probability in proportion to its share.
func (d *requestSource) drawClass() workload.Class {
	remaining := d.rng.Float64() * d.totalShare
	for _, c := range d.options.Classes {
		if remaining -= c.Share; remaining < 0 {
			return c
		}
	}
	return d.options.Classes[len(d.options.Classes)-1]
}

func (d *requestSource) drawLognormal(l workload.Lognormal) float64 {
	return l.Median * math.Exp(l.Sigma*d.rng.NormFloat64())
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// drawBody draws the body of a chat completion. Its first message is the same for all
// requests of a prefix group.
func (d *requestSource) drawBody(c workload.Class, streamed bool) []byte {
	prompt := min(maxPromptTokens, max(1, int(d.drawLognormal(c.PromptTokens))))
	output := min(maxOutputTokens, max(1, int(d.drawLognormal(c.OutputTokens))))
	group := d.rng.IntN(max(1, c.PrefixGroups))
	shared := int(float64(prompt) * c.PrefixShare)
	data, err := json.Marshal(chatBody{Model: d.options.Model, MaxTokens: output, Stream: streamed, Messages: []chatMessage{
		{"system", padToTokens(fmt.Sprintf("%s group %d", c.Name, group), shared)},
		{"user", padToTokens(fmt.Sprintf("question %d", d.rng.IntN(1<<30)), prompt-shared)},
	}})
	if err != nil {
		panic(err) // not reached: strings and numbers always encode
	}
	return data
}

// padToTokens pads text to about the given number of tokens.
func padToTokens(text string, tokens int) string {
	missing := tokens*bytesPerToken - len(text)
	return text + strings.Repeat(" kit", max(0, missing)/len(" kit"))
}
