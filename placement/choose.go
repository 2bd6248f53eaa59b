package placement

import (
	"math"
	"time"
)

const (
	// zonePenalty is added for an upstream in another availability zone, in
	// seconds; it stands for the price of the bytes between zones.
	zonePenalty = 0.015
	// workWeight weighs the engine time that a call takes against the time that
	// it waits.
	workWeight = 1.0
	// failurePenalty is added, in seconds, for an upstream all of whose calls fail.
	failurePenalty = 3.0
	// plainServiceSeconds is the prior time of a call to a plain service.
	plainServiceSeconds = 0.05
)

// Part is one shared part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Query describes a call to be placed.
type Query struct {
	Service string
	// Model is empty for plain services; Rank is its place among the models of
	// the service, smallest first.
	Model string
	Rank  int
	// Tokens of the prompt, and its parts in order.
	Tokens int
	Parts  []Part
	// Exclude names upstreams that must not be chosen.
	Exclude map[string]bool
	// Allow tells whether a release may serve the call; nil allows all.
	Allow func(release string) bool
	Now   time.Time
}

// Choice is a chosen upstream with what was predicted for the call.
type Choice struct {
	Upstream
	// Reading is the predicted engine time of the prompt at the prior speed.
	Reading float64
	// FirstEvent is the predicted time to the first event in seconds.
	FirstEvent float64
	// Nominal is that time for an upstream of ordinary speed.
	Nominal float64
	// Candidates is the number of upstreams that were weighed.
	Candidates int
}

// Choose returns the best upstream for a call. Upstreams that fail are taken
// only when no other is left.
func (b *Book) Choose(q *Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.best(q, false); ok {
		return c, true
	}
	return b.best(q, true)
}

func (b *Book) best(q *Query, desperate bool) (Choice, bool) {
	var best Choice
	bestScore := math.Inf(1)
	candidates := 0
	for _, e := range b.service[q.Service] {
		if !e.usable(q, desperate) {
			continue
		}
		candidates++
		reading, nominal := b.predict(e, q)
		first := nominal * e.speed.slowness()
		score := first + workWeight*reading*e.speed.slowness() + failurePenalty*e.health.failing
		if e.AvailabilityZone != b.o.AvailabilityZone {
			score += zonePenalty
		}
		if score < bestScore {
			bestScore = score
			best = Choice{Upstream: e.Upstream, Reading: reading, FirstEvent: first, Nominal: nominal}
		}
	}
	best.Candidates = candidates
	return best, candidates > 0
}

func (e *entry) usable(q *Query, desperate bool) bool {
	if e.Draining || q.Exclude[e.ID] || q.Allow != nil && !q.Allow(e.Release) {
		return false
	}
	if !e.unregistered.IsZero() {
		return desperate && q.Now.Sub(e.unregistered) < lapseGrace
	}
	return desperate || !e.health.ejected(q.Now)
}

// lapseGrace is how long an upstream whose registration disappeared serves as a
// last resort. Registrations that lapsed during an outage of the store return
// within two seconds; upstreams that left may be sent work for as long.
const lapseGrace = 1500 * time.Millisecond

// predict returns the engine time of the prompt and the time to the first event
// for an upstream of ordinary speed.
func (b *Book) predict(e *entry, q *Query) (reading, nominal float64) {
	total := e.own
	total.add(e.peers)
	if q.Model == "" {
		perSlot := float64(total.Calls+1) / float64(max(1, e.Slots))
		return 0, plainServiceSeconds * (1 + perSlot)
	}
	tokens := q.Tokens - e.keptTokens(q, b.o.CacheLifetime)
	reading = readingSeconds(float64(max(16, tokens)), q.Rank)
	nominal = firstEventFloor + (total.Reading+reading)*(1+runningDrag*total.Running)
	return reading, nominal
}

// keptTokens counts the leading tokens of the prompt that the upstream has read
// lately with the same model.
func (e *entry) keptTokens(q *Query, lifetime time.Duration) int {
	kept := 0
	for _, p := range q.Parts {
		at, ok := e.cached[cacheKey{q.Model, p.ID}]
		if !ok || q.Now.Sub(at) > lifetime {
			break
		}
		kept += p.Tokens
	}
	return kept
}
