package placement

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/admission"
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
	// OutputTokens is the expected number of generated tokens. KvTokens is the number of
	// tokens that an engine holds in its memory, 0 if it is not known.
	OutputTokens, KvTokens int
	// MaxPause is the longest pause between two events that the route allows, 0 if it sets
	// none.
	MaxPause time.Duration
	Now      time.Time
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
	// Streams is the number of streams that run at the upstream, and LateStreams how many of
	// them the call is expected to make late by pauses, see admission.LateStreams.
	Streams     int
	LateStreams float64
	// PauseLevel is that of the upstream, see admission.Pauses.
	PauseLevel float64
	// OverMemory is set if no upstream has the memory for the call besides the calls in
	// flight.
	OverMemory bool
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Lapsed is the time since the upstream lost its registration, 0 if it is
	// registered.
	Lapsed time.Duration
	// Cold is set if the upstream is cold.
	Cold bool
}

// Choose returns the best upstream for a call. Ejected and recently unregistered
// upstreams are chosen only if no other upstream is usable, and so are cold ones by a VM that
// knows no other VM. Otherwise cold ones are chosen within the share of this VM.
func (b *Balancer) Choose(q *Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.lastTier()
	for t := ordinary; t < last; t++ {
		if c, ok := b.best(q, t); ok {
			return c, true
		}
	}
	return b.best(q, last)
}

// lastTier returns the tier of the upstreams that are compared last.
func (b *Balancer) lastTier() tier {
	if b.rosterState == RosterAlone {
		return coldAlone
	}
	return lastResort
}

func (b *Balancer) best(q *Query, t tier) (Choice, bool) {
	var best, c Choice
	var chosen *upstreamState
	bestScore, bestHolds := math.Inf(1), false
	candidates := 0
	common := b.prepare(q)
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, t) {
			continue
		}
		candidates++
		b.predict(e, q, &common, &c)
		prefill := c.PrefillSeconds * b.slow(e, c.Cold)
		score := c.FirstEvent + engineTimeWeight*prefill + failurePenalty*e.health.failureRate + b.zoneCost(e, q.Now) + admission.PauseCost(c.PauseLevel, c.LateStreams)
		if holds := e.holds(q); holds == bestHolds && score < bestScore || holds && !bestHolds {
			best, bestScore, bestHolds, chosen = c, score, holds, e
		}
	}
	if chosen == nil {
		return Choice{}, false
	}
	best.OverMemory = !bestHolds
	best.Upstream, best.Candidates = chosen.Upstream, candidates
	if !chosen.unregisteredAt.IsZero() {
		best.Lapsed = q.Now.Sub(chosen.unregisteredAt)
	}
	return best, true
}

// terms are what the predictions of a call for all upstreams have in common.
type terms struct {
	// tokenSeconds is the prefill time of a prompt token.
	tokenSeconds float64
	// pauseLevel is that of the pauses at all upstreams of the service, pausesPerSecond the
	// number of allowed pauses in a second.
	pauseLevel, pausesPerSecond float64
}

func (b *Balancer) prepare(q *Query) terms {
	t := terms{tokenSeconds: prefillSeconds(1, q.Rank), pauseLevel: b.pauseLevel(q), pausesPerSecond: 1}
	if q.MaxPause > 0 {
		t.pausesPerSecond = 1 / q.MaxPause.Seconds()
	}
	return t
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
	if !e.acceptsCalls(q.Now) || len(q.Exclude) > 0 && q.Exclude[e.ID] || q.Allow != nil && !q.Allow(e.Release) || e.health.isUnreachable(q.Now) || !b.coldAllows(e, t, q.Now) {
		return false
	}
	if !e.unregisteredAt.IsZero() {
		return t >= lastResort && !b.isGone(e, q.Now)
	}
	return t >= lastResort || !e.health.ejected(q.Now)
}

// predict sets the predicted times for a call if it is placed at an upstream.
func (b *Balancer) predict(e *upstreamState, q *Query, common *terms, c *Choice) {
	own, peers := &e.own, &e.peers
	c.Cold = b.isCold(e, q.Now)
	slow := b.slow(e, c.Cold)
	if q.Model == "" {
		perSlot := float64(own.Calls+peers.Calls+1) / float64(max(1, e.Slots))
		c.NominalFirstEvent = plainServiceSeconds * (1 + perSlot)
		c.FirstEvent = slow * c.NominalFirstEvent
		return
	}
	c.Streams, c.PauseLevel = own.Streams+peers.Streams, 0
	queued := own.PrefillSeconds + peers.PrefillSeconds
	c.UncachedTokens = float64(max(minPrefillTokens, q.Tokens-e.cachedTokens(q, b.options.CacheLifetime)))
	c.PrefillSeconds = c.UncachedTokens * common.tokenSeconds
	slowdown := 1 + runningSlowdown*(own.Running+peers.Running)
	c.Wait = queued * slowdown * slow
	c.NominalFirstEvent = firstEventFloor + (queued+c.PrefillSeconds)*slowdown
	c.FirstEvent = slow * c.NominalFirstEvent
	if paused := e.paused(); paused > 0 && c.Streams > 0 {
		c.PauseLevel = paused / float64(c.Streams)
	}
	c.LateStreams = admission.LateStreams(c.PrefillSeconds*slow*common.pausesPerSecond, c.Streams, common.pauseLevel)
}

// minPrefillTokens is the least number of tokens that any prompt needs prefilled,
// because its last part is never shared with another prompt.
const minPrefillTokens = 16

// cachedTokens counts the leading tokens of the prompt that the upstream has
// prefilled for the same model within lifetime.
func (e *upstreamState) cachedTokens(q *Query, lifetime time.Duration) int {
	tokens := 0
	for _, p := range q.Parts {
		at, ok := e.cachedAt[cacheKey{q.Model, p.ID}]
		if !ok || q.Now.Sub(at) > lifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
