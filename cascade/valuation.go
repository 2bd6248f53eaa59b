package cascade

import (
	"math"
	"sync"
	"time"
)

const (
	// outputTokenWeight is the size of a generated token relative to a prompt token.
	outputTokenWeight = 10
	// fixedValueShare is the part of the value of an answer that does not depend on its
	// size relative to the mean size of its route; maxRelativeValue bounds the whole.
	fixedValueShare  = 0.3
	maxRelativeValue = 4
	// defaultPrice is the price of 1,000 generated tokens of a model without a price.
	defaultPrice = 1.0
	// observationWeight is the smallest weight of one request in a moving mean.
	observationWeight = 0.02
	// waitWeight is the same for the mean wait, which follows the load within about ten
	// requests.
	waitWeight = 0.1
)

// Request describes a request that a small model has answered and that a larger one
// could answer.
type Request struct {
	Route string
	// PromptTokens is the length of the prompt; GeneratedTokens is the expected length
	// of the answer.
	PromptTokens, GeneratedTokens float64
	// Price is the price of 1,000 generated tokens of the larger model.
	Price float64
	// EngineTime is the engine time, in seconds, that the larger model needs.
	EngineTime float64
	// Wait is the time in seconds until its engine starts the request.
	Wait float64
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
}

// size returns the size of a request: its prompt and, weighted, its generated tokens.
func (r Request) size() float64 { return r.PromptTokens + outputTokenWeight*r.GeneratedTokens }

// Terms are the terms on which a request competes for the larger model.
type Terms struct {
	// Value is the value of a good answer, in units of the prices of the models.
	Value float64
	// EngineTimeValue is the mean value of the answers that one second of engine time of
	// the larger model can give.
	EngineTimeValue float64
	// MeanWait is the mean wait of the last requests in seconds.
	MeanWait float64
	// Objective is the mean latency objective of the requests.
	Objective time.Duration
}

// Valuation learns the value of answers and of engine time at one service. The
// configuration states no value, and the priority of a route only its urgency. An
// answer is taken to be worth its size at the price of the larger model, because a
// deployment pays that price for work of this size. Valuation is safe for concurrent
// use.
type Valuation struct {
	mu sync.Mutex
	// sizes are the mean sizes of the requests of each route.
	sizes map[string]*movingMean
	// value, engineTime and objective are means over all requests.
	value, engineTime, objective movingMean
	// wait is the mean wait of the last requests.
	wait float64
}

// NewValuation returns a Valuation that has seen no request.
func NewValuation() *Valuation { return &Valuation{sizes: map[string]*movingMean{}} }

// Observe records a request and returns its terms.
func (v *Valuation) Observe(r Request) Terms {
	v.mu.Lock()
	defer v.mu.Unlock()
	size := v.sizes[r.Route]
	if size == nil {
		size = &movingMean{}
		v.sizes[r.Route] = size
	}
	size.add(r.size())
	value := answerValue(r, size.mean)
	v.value.add(value)
	v.engineTime.add(r.EngineTime)
	v.objective.add(r.Objective.Seconds())
	v.wait += waitWeight * (r.Wait - v.wait)
	t := Terms{Value: value, MeanWait: v.wait, Objective: time.Duration(v.objective.mean * float64(time.Second))}
	if v.engineTime.mean > 0 {
		t.EngineTimeValue = v.value.mean / v.engineTime.mean
	}
	return t
}

// Keep forgets the routes for which exists returns false.
func (v *Valuation) Keep(exists func(route string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for route := range v.sizes {
		if !exists(route) {
			delete(v.sizes, route)
		}
	}
}

// answerValue returns the value of a good answer: that of an answer of the mean size of
// its route, scaled by its own size.
func answerValue(r Request, meanSize float64) float64 {
	price := r.Price
	if price <= 0 {
		price = defaultPrice
	}
	if meanSize <= 0 {
		return price / 1000
	}
	return price * meanSize / 1000 * math.Min(maxRelativeValue, fixedValueShare+(1-fixedValueShare)*r.size()/meanSize)
}

// movingMean is an exponential moving mean that weighs its first values evenly.
type movingMean struct{ mean, n float64 }

func (m *movingMean) add(x float64) {
	m.n++
	m.mean += math.Max(observationWeight, 1/m.n) * (x - m.mean)
}
