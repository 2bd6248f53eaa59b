package placement

import (
	"math"
	"time"
)

const (
	// maxRetention is the longest time for which a part is assumed to be held, relative to
	// CacheLifetime. It bounds the memory for what is known of engines.
	maxRetention = 3
	// readRateTime is the time over which the rate is averaged at which engines read tokens. A VM
	// that places a few calls a second sees some tens of them in it.
	readRateTime = 10 * time.Second
)

// retention tells how long an engine holds a part after its last use.
type retention struct {
	// estimated is set if the time follows from the memory of the engine and from what it reads.
	estimated bool
	// after is the time in which the engine reads as many tokens as fit into its memory. If it
	// is not estimated, it is the time for which the part is assumed to be held.
	after time.Duration
}

// retentionOf returns the retention of an engine with memory for a number of tokens, of which
// the calls in flight use some, that reads tokens at a rate per second. The time after which no
// part is assumed to be held is at most most.
func retentionOf(memory, inUse, rate float64, most time.Duration) retention {
	seconds := most.Seconds() / surelyEvictedShare
	if free := math.Max(0, memory-inUse); free < rate*seconds {
		seconds = free / rate
	}
	return retention{estimated: true, after: time.Duration(seconds * float64(time.Second))}
}

const (
	// The chance that a part is held falls from 1 to 0 between these shares of the retention,
	// because the rate at which an engine reads is an estimate, and because a VM does not hear of
	// every use: the age that it knows is an upper bound.
	surelyHeldShare, surelyEvictedShare = 0.8, 2.0
)

// chance returns the chance that a part is still held at an age.
func (r retention) chance(age time.Duration) float64 {
	if !r.estimated {
		if age <= r.after {
			return 1
		}
		return 0
	}
	if r.after <= 0 {
		return 0
	}
	share := float64(age) / float64(r.after)
	return math.Max(0, math.Min(1, (surelyEvictedShare-share)/(surelyEvictedShare-surelyHeldShare)))
}

// readRate is the rate at which calls of this VM make the engines of a service read prompts, as
// an exponential moving sum.
type readRate struct {
	// uncached are the tokens that were not held, prompts those of all parts.
	uncached, prompts, calls float64
	since, at                time.Time
}

// decay returns the factor by which the sums have decayed since the last call.
func (r *readRate) decay(now time.Time) float64 {
	return math.Exp(-math.Max(0, now.Sub(r.at).Seconds()) / readRateTime.Seconds())
}

func (r *readRate) add(uncached, prompt float64, now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	f := r.decay(now)
	r.uncached, r.prompts, r.calls, r.at = r.uncached*f+uncached, r.prompts*f+prompt, r.calls*f+1, now
}

// perSecond returns the rate of tokens that are not held.
func (r *readRate) perSecond(now time.Time) float64 {
	share := 1 - math.Exp(-now.Sub(r.since).Seconds()/readRateTime.Seconds())
	if share <= 0 {
		return 0
	}
	return r.uncached * r.decay(now) / (readRateTime.Seconds() * share)
}

// meanPrompt returns the mean length of the prompts.
func (r *readRate) meanPrompt() float64 {
	if r.calls == 0 {
		return 0
	}
	return r.prompts / r.calls
}

// memoryState is what is known of the memory of the engines of a service.
type memoryState struct {
	// tokens is the memory of an engine.
	tokens float64
	read   readRate
}

// SetMemory replaces the memory of engines for tokens by service. For other services, parts are
// assumed to be held for CacheLifetime.
func (b *Balancer) SetMemory(tokens map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string]*memoryState{}
	for service, n := range tokens {
		if n <= 0 {
			continue
		}
		m := b.memory[service]
		if m == nil {
			m = &memoryState{}
		}
		m.tokens = float64(n)
		next[service] = m
	}
	b.memory = next
}

// engineReadRate estimates the tokens a second that each engine of a service reads for all VMs:
// the balancer of each VM has an equal share of the requests.
func (b *Balancer) engineReadRate(service string, m *memoryState, now time.Time) float64 {
	return m.read.perSecond(now) * float64(max(1, len(b.roster))) / float64(max(1, len(b.service[service])))
}

// longestHeld returns the longest time for which a part counts as held by an upstream.
func (b *Balancer) longestHeld(service string) time.Duration {
	if b.memory[service] == nil {
		return b.options.CacheLifetime
	}
	return maxRetention * b.options.CacheLifetime
}
