package policy

import (
	"math"
	"time"
)

const (
	// maxExamined bounds the engines that are looked at for one version; where
	// there are more, sampled of them are drawn.
	maxExamined = 16
	sampled     = 8
	// prefixSaving is the part of the time to first token that a cached prompt
	// is expected to save.
	prefixSaving = 0.5
	// backlogDoubt is the number of standard deviations, taken as the square
	// root of the backlog, by which the backlog is taken higher than known.
	backlogDoubt = 0.5
	// crowdedFrom is the utilisation above which a call counts as a burden for
	// later ones, and crowdingGain the burden at full use, in service times.
	crowdedFrom  = 0.75
	crowdingGain = 1.5
	// lateQuantile scales the predicted time to one that is rarely exceeded;
	// latePenalty weighs what of it lies after the deadline.
	lateQuantile = 2.0
	latePenalty  = 3
	// ownTrust is the weight of the calls of this daemon, taken as those of a
	// typical daemon, against the load report. Reports lag, so daemons that
	// only follow them all choose the same engine at once.
	ownTrust = 0.4
	// waitCaution scales predicted waiting times, because load reports lag.
	waitCaution = 1.3
)

// option is a version on the best engine that was found for it.
type option struct {
	version  int
	upstream int
	// fixed is the time to the first token in seconds, with waiting and
	// network; wait is the waiting time in it.
	fixed, wait float64
	perToken    float64
	// tokenCost is the cost of one generated token.
	tokenCost float64
	// price of a second of a slot.
	price   float64
	quality float64
	// doubt is the standard deviation of the quality.
	doubt float64
	// examined counts the engines that were looked at.
	examined int
}

// total is the time to the whole answer of the given length.
func (o *option) total(tokens float64) float64 { return o.fixed + o.perToken*tokens }

// cost is the cost of an answer of the given length.
func (o *option) cost(tokens, prompt float64) float64 { return o.tokenCost * (tokens + prompt/5) }

// burden is the cost with the price of the engine time.
func (o *option) burden(tokens, prompt float64) float64 {
	return o.cost(tokens, prompt) + o.price*(o.fixed-o.wait+o.perToken*tokens)
}

// selectUpstream finds the engine that would answer a request soonest with the
// given version. It examines at most maxExamined engines and those that may
// hold the prefix, whatever the number of engines.
func (v *View) selectUpstream(r *Request, ver int, tokens float64, avoid int, now time.Duration) (option, bool) {
	left := (r.Deadline - now).Seconds()
	list := v.holders[ver]
	best := option{version: ver, upstream: -1}
	bestScore := math.Inf(1)
	hints := v.hints[r.Prefix]
	consider := func(h *holder) {
		best.examined++
		if int(h.upstream) == avoid {
			return
		}
		fixed, wait, ok := v.timeOn(h, r, hints, now)
		if !ok {
			return
		}
		total := fixed + h.perToken*tokens
		score := total + v.crowding(h) + latePenalty*math.Max(0, total*lateQuantile-left)
		if score < bestScore {
			bestScore = score
			best.upstream, best.fixed, best.wait, best.perToken = int(h.upstream), fixed, wait, h.perToken
		}
	}
	if len(list) <= maxExamined {
		for i := range list {
			consider(&list[i])
		}
		return best, best.upstream >= 0
	}
	x := r.Seed
	for i := range sampled {
		x = scramble(x + uint64(ver))
		span := len(list)
		if i%2 == 0 {
			span = (len(list) + 2) / 3
		}
		consider(&list[x%uint64(span)])
	}
	return best, best.upstream >= 0
}

// backlog is the number of calls at an engine, as far as known.
func (v *View) backlog(upstream int32) int64 {
	l := v.upstreams[upstream].Live
	if l == nil {
		return v.others[upstream]
	}
	own := l.inflight.Load()
	reported := v.others[upstream] + own
	return reported + int64(ownTrust*float64(own*v.daemons-reported))
}

// crowding is the time in seconds that a call is expected to cost later calls
// on the same engine. It spreads load over slower engines before the faster
// ones queue.
func (v *View) crowding(h *holder) float64 {
	use := float64(v.backlog(h.upstream)+1) / float64(h.slots)
	if use <= crowdedFrom {
		return 0
	}
	return crowdingGain * (use - crowdedFrom) * (h.first + h.perToken*v.meanTokens)
}

// timeOn predicts the time to first token on an engine, with waiting.
func (v *View) timeOn(h *holder, r *Request, hints []int32, now time.Duration) (fixed, wait float64, ok bool) {
	u := &v.upstreams[h.upstream]
	if u.Live != nil && !u.Live.usable(now) {
		return 0, 0, false
	}
	backlog := v.backlog(h.upstream)
	first := h.first
	for _, hinted := range hints {
		if hinted == h.upstream {
			first *= 1 - prefixSaving*r.PrefixShare
		}
	}
	ahead := float64(backlog+1-int64(h.slots)) + backlogDoubt*math.Sqrt(float64(backlog))
	if ahead > 0 {
		service := h.first + h.perToken*v.meanTokens
		wait = waitCaution * ahead / float64(h.slots) * service
	}
	return first + wait + 2*h.distance, wait, true
}

// scramble is the finaliser of SplitMix64.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
