package placement

import (
	"math"
	"time"
)

const (
	// zonePenalty is added to the score of an upstream in another availability
	// zone, in seconds. It represents the price of traffic between zones.
	zonePenalty = 0.015
	// engineTimeWeight is the weight of the engine time that a call uses, relative
	// to its predicted time to the first event.
	engineTimeWeight = 1.0
	// failurePenalty is added, in seconds, to the score of an upstream with a
	// failure rate of 1; lower rates add a proportional part.
	failurePenalty = 3.0
	// plainServiceSeconds is the assumed time of a call to an idle service without
	// models.
	plainServiceSeconds = 0.05
)

// Part is one segment of a prompt. Prompts with equal leading parts share the
// cached prefix of an engine.
type Part struct {
	ID     string
	Tokens int
}

// Query describes a call to be placed.
type Query struct {
	Service string
	// Model is empty for services without models. Rank is the index of the model
	// among the models of the service, smallest first.
	Model string
	Rank  int
	// Tokens is the length of the prompt; Parts are its segments in order.
	Tokens int
	Parts  []Part
	// Exclude holds the IDs of upstreams that must not be chosen.
	Exclude map[string]bool
	// Allow reports whether a release may serve the call; nil allows all.
	Allow func(release string) bool
	Now   time.Time
}

// Choice is a chosen upstream with the predictions for the call.
type Choice struct {
	Upstream
	// PrefillSeconds is the predicted prefill time of the prompt in seconds, at the
	// assumed prefill rate.
	PrefillSeconds float64
	// FirstEvent is the predicted time to the first event in seconds, with the
	// learned slowness of the upstream.
	FirstEvent float64
	// NominalFirstEvent is the predicted time to the first event in seconds for an upstream
	// with a slowness of 1.
	NominalFirstEvent float64
	// Wait is the predicted time in seconds until the engine starts the prefill of
	// the prompt.
	Wait float64
	// UncachedTokens is the number of prompt tokens that need a prefill.
	UncachedTokens float64
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Lapsed is the time since the upstream lost its registration, 0 if it is
	// registered.
	Lapsed time.Duration
	// Cold is set if the upstream is cold.
	Cold bool
	// ByHash is set if the upstream was chosen because the hash of a prompt part names it.
	ByHash bool
}

// Choose returns the best upstream for a call. Ejected and recently unregistered
// upstreams are chosen only if no other upstream is usable, and so are cold ones by a VM that
// knows no other VM. Otherwise cold ones are chosen within the share of this VM.
func (b *Balancer) Choose(q *Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.matchHeld(q)
	last := lastResort
	if b.rosterState == RosterAlone {
		last = coldAlone
	}
	for t := ordinary; t < last; t++ {
		if c, ok := b.best(q, t); ok {
			return c, true
		}
	}
	return b.best(q, last)
}

func (b *Balancer) best(q *Query, t tier) (Choice, bool) {
	var best Choice
	bestScore := math.Inf(1)
	candidates := 0
	homes := newHomes(q)
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, t) {
			continue
		}
		candidates++
		homes.add(e)
		if c, score := b.predict(e, q, 0); score < bestScore {
			best, bestScore = c, score
		}
	}
	for i, e := range homes.first {
		if e == nil {
			break
		}
		hashed := homeChances[i] * math.Max(0, float64(homes.tokens)-e.heldTokens(b.query))
		if c, score := b.predict(e, q, hashed); score < bestScore {
			best, bestScore = c, score
			best.ByHash = true
		}
	}
	best.Candidates = candidates
	if e := b.upstreams[best.ID]; candidates > 0 && !e.unregisteredAt.IsZero() {
		best.Lapsed = q.Now.Sub(e.unregisteredAt)
	}
	return best, candidates > 0
}

// zoneCost returns the penalty, in seconds, for the availability zone of an
// upstream: 0 for the zone of this VM.
func (b *Balancer) zoneCost(e *upstreamState, now time.Time) float64 {
	switch {
	case e.AvailabilityZone == b.options.AvailabilityZone:
		return 0
	case b.zones[e.AvailabilityZone].suspected(now):
		return suspectPenalty
	}
	return zonePenalty
}

// usable reports whether a call may be placed at an upstream. Upstreams that accept no
// calls, and unreachable ones, are excluded even as a last resort: refusing a request at
// once is better than waiting for a connection.
func (b *Balancer) usable(e *upstreamState, q *Query, t tier) bool {
	if !e.acceptsCalls(q.Now) || q.Exclude[e.ID] || q.Allow != nil && !q.Allow(e.Release) || e.health.isUnreachable(q.Now) || !b.coldAllows(e, t, q.Now) {
		return false
	}
	if !e.unregisteredAt.IsZero() {
		return t >= lastResort && !b.isGone(e, q.Now)
	}
	return t >= lastResort || !e.health.ejected(q.Now)
}

// predict returns the predicted times for a call if it is placed at an upstream, and the score.
// hashed is the expected number of prompt tokens that the upstream holds beyond those that are
// known.
func (b *Balancer) predict(e *upstreamState, q *Query, hashed float64) (Choice, float64) {
	total := e.own
	total.add(e.peers)
	c := Choice{Upstream: e.Upstream, Cold: b.isCold(e, q.Now)}
	slow := b.slow(e, c.Cold)
	extra := failurePenalty*e.health.failureRate + b.zoneCost(e, q.Now)
	if q.Model == "" {
		perSlot := float64(total.Calls+1) / float64(max(1, e.Slots))
		c.NominalFirstEvent = plainServiceSeconds * (1 + perSlot)
		c.FirstEvent = slow * c.NominalFirstEvent
		return c, c.FirstEvent + extra
	}
	p := promptView{tokens: float64(q.Tokens), secondsPerToken: prefillSeconds(1, q.Rank)}
	w := weigh(&p, &engineView{
		held: e.heldTokens(b.query), hashed: hashed, backlog: total.PrefillSeconds, running: total.Running, slowness: slow, extra: extra,
	})
	c.UncachedTokens, c.PrefillSeconds, c.Wait = w.uncached, w.prefill, w.wait
	c.NominalFirstEvent, c.FirstEvent = w.nominalFirstEvent, w.firstEvent
	return c, w.score
}

// minPrefillTokens is the least number of tokens that any prompt needs prefilled,
// because its last part is never shared with another prompt.
const minPrefillTokens = 16
