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
	// OutputTokens is the expected number of generated tokens. KVTokens is the number of
	// tokens that an engine holds in its memory, 0 if it is not known.
	OutputTokens, KVTokens int
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
	// HeldTokens is the expected number of prompt tokens that the upstream holds.
	HeldTokens float64
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
	var best *upstreamState
	least, bestFits := math.Inf(1), false
	candidates, byHash := 0, false
	homes := newHomes(q)
	p := b.newPromptView(q)
	// An upstream without the memory for the call is chosen only if none has it.
	better := func(e *upstreamState, next float64) bool {
		fits := e.hasMemoryFor(q)
		if fits == bestFits && next >= least || bestFits && !fits {
			return false
		}
		best, least, bestFits = e, next, fits
		return true
	}
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, t) {
			continue
		}
		candidates++
		homes.add(e)
		better(e, b.score(e, q, &p, 0))
	}
	for i, e := range homes.first {
		if e == nil {
			break
		}
		hashed := homeChances[i] * math.Max(0, float64(homes.tokens)-e.heldTokens(b.query))
		if better(e, b.score(e, q, &p, hashed)) {
			byHash = true
		}
	}
	if best == nil {
		return Choice{}, false
	}
	w := b.weigh(best, q, &p)
	c := Choice{
		Upstream: best.Upstream, PrefillSeconds: w.prefill, FirstEvent: w.firstEvent, NominalFirstEvent: w.nominalFirstEvent, Wait: w.wait,
		UncachedTokens: w.uncached, Candidates: candidates, Cold: b.isCold(best, q.Now), ByHash: byHash, OverMemory: !bestFits,
	}
	if q.Model != "" {
		c.HeldTokens = best.heldTokens(b.query)
		c.Streams, c.PauseLevel = best.streams(), best.pauseLevel()
		c.LateStreams = p.lateStreams(best, c.HeldTokens, b.slow(best, c.Cold))
	}
	if !best.unregisteredAt.IsZero() {
		c.Lapsed = q.Now.Sub(best.unregisteredAt)
	}
	return c, true
}

// zoneCost returns the penalty, in seconds, for the availability zone of an
// upstream: 0 for the zone of this VM.
func (b *Balancer) zoneCost(e *upstreamState, now time.Time) float64 {
	switch {
	case e.AvailabilityZone == b.options.AvailabilityZone:
		return 0
	case e.zone.suspected(now):
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

// score returns the score of an upstream for a call. hashed is the expected number of prompt
// tokens that the upstream holds beyond those that are known.
func (b *Balancer) score(e *upstreamState, q *Query, p *promptView, hashed float64) float64 {
	if q.Model == "" {
		return b.plainFirstEvent(e)*b.slow(e, b.isCold(e, q.Now)) + b.extraCost(e, q.Now)
	}
	v := engineView{hashed: hashed}
	b.view(&v, e, q, p)
	return score(p, &v)
}

// weigh returns the predictions for a call if it is placed at an upstream.
func (b *Balancer) weigh(e *upstreamState, q *Query, p *promptView) weighed {
	if q.Model == "" {
		w := weighed{nominalFirstEvent: b.plainFirstEvent(e)}
		w.firstEvent = w.nominalFirstEvent * b.slow(e, b.isCold(e, q.Now))
		return w
	}
	var v engineView
	b.view(&v, e, q, p)
	return weigh(p, &v)
}

// plainFirstEvent returns the predicted time in seconds of a call to a service without models.
func (b *Balancer) plainFirstEvent(e *upstreamState) float64 {
	return plainServiceSeconds * (1 + float64(e.own.Calls+e.peers.Calls+1)/float64(max(1, e.Slots)))
}

// view sets what is known of an upstream, apart from the hash. It does not return a copy,
// because each choice needs the views of all upstreams.
func (b *Balancer) view(v *engineView, e *upstreamState, q *Query, p *promptView) {
	v.held = e.heldTokens(b.query)
	v.backlog = e.own.PrefillSeconds + e.peers.PrefillSeconds
	v.running = e.own.Running + e.peers.Running
	v.slowness = b.slow(e, b.isCold(e, q.Now))
	v.extra = b.extraCost(e, q.Now) + admission.PauseCost(e.pauseLevel(), p.lateStreams(e, v.held, v.slowness))
}

// extraCost returns the cost of failures and of the zone in seconds.
func (b *Balancer) extraCost(e *upstreamState, now time.Time) float64 {
	return failurePenalty*e.health.failureRate + b.zoneCost(e, now)
}

// minPrefillTokens is the least number of tokens that any prompt needs prefilled,
// because its last part is never shared with another prompt.
const minPrefillTokens = 16
