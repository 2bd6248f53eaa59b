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
	// PrefillSeconds is the predicted engine time of the prompt at the prior speed.
	PrefillSeconds float64
	// FirstEvent is the predicted time to the first event in seconds.
	FirstEvent float64
	// NominalFirstEvent is that time for an upstream of ordinary speed.
	NominalFirstEvent float64
	// Wait is the predicted time until the engine begins with the prompt.
	Wait float64
	// UncachedTokens of the prompt have to be read.
	UncachedTokens float64
	// Candidates is the number of upstreams that were weighed.
	Candidates int
}

// Choose returns the best upstream for a call. Upstreams that fail are taken
// only when no other is left.
func (b *Balancer) Choose(q *Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.best(q, false); ok {
		return c, true
	}
	return b.best(q, true)
}

func (b *Balancer) best(q *Query, lastResort bool) (Choice, bool) {
	var best Choice
	bestScore := math.Inf(1)
	candidates := 0
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, lastResort) {
			continue
		}
		candidates++
		c := b.predict(e, q)
		score := c.FirstEvent + workWeight*c.PrefillSeconds*e.speed.slowness() + failurePenalty*e.health.failing + b.distance(e, q.Now)
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	best.Candidates = candidates
	return best, candidates > 0
}

// distance is what an upstream in another availability zone costs, in seconds.
func (b *Balancer) distance(e *entry, now time.Time) float64 {
	switch {
	case e.AvailabilityZone == b.o.AvailabilityZone:
		return 0
	case b.zones[e.AvailabilityZone].suspect(now):
		return suspectPenalty
	}
	return zonePenalty
}

// usable reports whether a call may be placed at an upstream. Upstreams that
// cannot be reached are left out also when nothing else is left: such a request
// is better refused at once.
func (b *Balancer) usable(e *entry, q *Query, lastResort bool) bool {
	if e.Draining || q.Exclude[e.ID] || q.Allow != nil && !q.Allow(e.Release) || e.health.dark(q.Now) {
		return false
	}
	if !e.unregistered.IsZero() {
		return lastResort && q.Now.Sub(e.unregistered) < b.o.LapseGrace
	}
	return lastResort || !e.health.ejected(q.Now)
}

// predict predicts a call at an upstream.
func (b *Balancer) predict(e *entry, q *Query) Choice {
	total := e.own
	total.add(e.peers)
	slow := e.speed.slowness()
	c := Choice{Upstream: e.Upstream}
	if q.Model == "" {
		perSlot := float64(total.Calls+1) / float64(max(1, e.Slots))
		c.NominalFirstEvent = plainServiceSeconds * (1 + perSlot)
		c.FirstEvent = slow * c.NominalFirstEvent
		return c
	}
	c.UncachedTokens = float64(max(minReadTokens, q.Tokens-e.keptTokens(q, b.o.CacheLifetime)))
	c.PrefillSeconds = readingSeconds(c.UncachedTokens, q.Rank)
	drag := 1 + runningDrag*total.Running
	c.Wait = total.PrefillSeconds * drag * slow
	c.NominalFirstEvent = firstEventFloor + (total.PrefillSeconds+c.PrefillSeconds)*drag
	c.FirstEvent = slow * c.NominalFirstEvent
	return c
}

// minReadTokens is read of any prompt, because the last part is never shared.
const minReadTokens = 16

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
