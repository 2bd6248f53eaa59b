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

// request is one drawn request.
type request struct {
	class    string
	due      time.Time
	deadline time.Duration // from due
	patience time.Duration // the caller leaves at due+deadline+patience
	streamed bool
	booking  bool
	id       string // request id or idempotency key
	body     []byte
}

// drawer draws the requests of a run; it is used by one goroutine.
type drawer struct {
	o      Options
	rng    *rand.Rand
	ids    *rand.ChaCha8
	shares float64
}

func newDrawer(o Options) *drawer {
	var seed [32]byte
	for i := range 8 {
		seed[i] = byte(o.Seed >> (8 * i))
	}
	d := &drawer{o: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), ids: rand.NewChaCha8(seed)}
	for _, c := range o.Classes {
		d.shares += c.Share
	}
	return d
}

// gap draws the time to the next arrival.
func (d *drawer) gap() time.Duration {
	mean := float64(time.Second) / d.o.Rate
	if d.o.Arrivals == Constant {
		return time.Duration(mean)
	}
	return time.Duration(d.rng.ExpFloat64() * mean)
}

// next draws the request that is due at a time.
func (d *drawer) next(due time.Time) request {
	class := d.class()
	r := request{class: class.Name, due: due, id: d.newID()}
	r.deadline = max(minDeadline, time.Duration(d.lognormal(class.DeadlineMs)*float64(time.Millisecond)))
	r.patience = time.Duration(class.CallerLeavesMs * float64(time.Millisecond))
	if d.rng.Float64() < d.o.BookingShare {
		r.class, r.booking = classBooking, true
		r.body = fmt.Appendf(nil, `{"item":%d}`, d.rng.IntN(1000))
		return r
	}
	r.streamed = d.rng.Float64() < d.o.StreamShare
	r.body = d.body(class, r.streamed)
	return r
}

func (d *drawer) newID() string {
	id, err := uuid.NewRandomFromReader(d.ids)
	if err != nil {
		return fmt.Sprintf("%016x", d.rng.Uint64())
	}
	return id.String()
}

func (d *drawer) class() workload.Class {
	x := d.rng.Float64() * d.shares
	for _, c := range d.o.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return d.o.Classes[len(d.o.Classes)-1]
}

func (d *drawer) lognormal(l workload.Lognormal) float64 {
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

// body draws a prompt whose first message is shared within a prefix group.
func (d *drawer) body(c workload.Class, streamed bool) []byte {
	prompt := min(maxPromptTokens, max(1, int(d.lognormal(c.PromptTokens))))
	output := min(maxOutputTokens, max(1, int(d.lognormal(c.OutputTokens))))
	group := d.rng.IntN(max(1, c.PrefixGroups))
	shared := int(float64(prompt) * c.PrefixShare)
	data, err := json.Marshal(chatBody{Model: d.o.Model, MaxTokens: output, Stream: streamed, Messages: []chatMessage{
		{"system", filler(fmt.Sprintf("%s group %d", c.Name, group), shared)},
		{"user", filler(fmt.Sprintf("question %d", d.rng.IntN(1<<30)), prompt-shared)},
	}})
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return data
}

// filler extends text to a number of tokens.
func filler(text string, tokens int) string {
	missing := tokens*bytesPerToken - len(text)
	return text + strings.Repeat(" kit", max(0, missing)/len(" kit"))
}
