package policy

import (
	"math"
	"time"
)

const (
	// maxExamined bounds the engines of a version that are examined. If a
	// version has more engines, sampleSize of them are sampled instead.
	maxExamined = 16
	sampleSize  = 8
	// prefixSaving is the part of the time to the first token that a fully
	// cached prompt is expected to save.
	prefixSaving = 0.5
	// backlogStdDevs is the number of standard deviations that is added to the
	// known backlog. The standard deviation is taken to be the square root of
	// the backlog.
	backlogStdDevs = 0.5
	// congestionUtilisation is the utilisation above which a call is expected
	// to delay later calls, and congestionGain is the increase of that delay,
	// in service times, per unit of utilisation above it.
	congestionUtilisation = 0.75
	congestionGain        = 1.5
	// lateTimeFactor scales a predicted time to one that is rarely exceeded.
	// The part of it that lies after the deadline is weighted with latePenalty.
	lateTimeFactor = 2.0
	latePenalty    = 3
	// localCallWeight is the weight of a second estimate of the backlog, the
	// calls of this daemon multiplied by the number of daemons, against the
	// load report. Load reports lag, so daemons that follow only them all
	// select the same engine at once.
	localCallWeight = 0.4
	// waitMargin scales predicted waiting times up, because load reports lag.
	waitMargin = 1.3
)

// option is a version together with the best engine found for it.
type option struct {
	version int
	// upstream is the index of the engine, or -1 if none is selected.
	upstream int
	// timeToFirstToken is the predicted time to the first token in seconds,
	// including the waiting time and the network latency. wait is the waiting
	// time alone.
	timeToFirstToken, wait float64
	// perToken is the predicted time per token in seconds.
	perToken float64
	// tokenCost is the cost of one generated token.
	tokenCost float64
	// slotPrice is the price of occupying a slot of the engine for one second.
	slotPrice float64
	// quality is a cautious estimate of the quality, below the mean.
	quality float64
	// qualityStdDev is the standard deviation of the estimated quality.
	qualityStdDev float64
	// examined is the number of engines that were examined.
	examined int
}

// total returns the predicted time to the end of an answer of the given length.
func (o *option) total(tokens float64) float64 { return o.timeToFirstToken + o.perToken*tokens }

// cost returns the cost of an answer of the given length.
func (o *option) cost(tokens, prompt float64) float64 { return o.tokenCost * (tokens + prompt/5) }

// effectiveCost returns the cost of an answer plus the price of the engine time
// that it takes.
func (o *option) effectiveCost(tokens, prompt float64) float64 {
	return o.cost(tokens, prompt) + o.slotPrice*(o.timeToFirstToken-o.wait+o.perToken*tokens)
}

// selectUpstream selects an engine for a request and a version: the one with
// the lowest predicted time to the whole answer, with a penalty for engines
// that are congested or likely to miss the deadline. The engine avoid is not
// selected. At most maxExamined engines are examined. If there are more,
// sampleSize of them are sampled, half of these from the fastest third.
func (v *View) selectUpstream(r *Request, ver int, tokens float64, avoid int, now time.Duration) (option, bool) {
	remaining := (r.Deadline - now).Seconds()
	list := v.engines[ver]
	best := option{version: ver, upstream: -1}
	bestScore := math.Inf(1)
	hints := v.hints[r.Prefix]
	consider := func(e *versionEngine) {
		best.examined++
		if int(e.upstream) == avoid {
			return
		}
		timeToFirstToken, wait, ok := v.predictFirstToken(e, r, hints, now)
		if !ok {
			return
		}
		total := timeToFirstToken + e.perToken*tokens
		score := total + v.congestionCost(e) + latePenalty*math.Max(0, total*lateTimeFactor-remaining)
		if score < bestScore {
			bestScore = score
			best.upstream, best.timeToFirstToken, best.wait, best.perToken = int(e.upstream), timeToFirstToken, wait, e.perToken
		}
	}
	if len(list) <= maxExamined {
		for i := range list {
			consider(&list[i])
		}
		return best, best.upstream >= 0
	}
	hash := r.Seed
	for i := range sampleSize {
		hash = splitMix64(hash + uint64(ver))
		span := len(list)
		if i%2 == 0 {
			span = (len(list) + 2) / 3
		}
		consider(&list[hash%uint64(span)])
	}
	return best, best.upstream >= 0
}

// backlog returns the estimated number of calls running and queued at an
// engine.
func (v *View) backlog(upstream int32) int64 {
	l := v.upstreams[upstream].Live
	if l == nil {
		return v.peerCalls[upstream]
	}
	own := l.inflight.Load()
	reported := v.peerCalls[upstream] + own
	return reported + int64(localCallWeight*float64(own*v.daemons-reported))
}

// congestionCost returns the time in seconds by which a call is expected to
// delay later calls on the same engine. It spreads load over slower engines
// before the faster ones queue.
func (v *View) congestionCost(e *versionEngine) float64 {
	utilisation := float64(v.backlog(e.upstream)+1) / float64(e.slots)
	if utilisation <= congestionUtilisation {
		return 0
	}
	return congestionGain * (utilisation - congestionUtilisation) * (e.first + e.perToken*v.meanTokens)
}

// predictFirstToken predicts the time to the first token on an engine,
// including the waiting time, which is also returned. ok is false if the engine
// is in backoff.
func (v *View) predictFirstToken(e *versionEngine, r *Request, hints []int32, now time.Duration) (timeToFirstToken, wait float64, ok bool) {
	u := &v.upstreams[e.upstream]
	if u.Live != nil && !u.Live.usable(now) {
		return 0, 0, false
	}
	backlog := v.backlog(e.upstream)
	first := e.first
	for _, hinted := range hints {
		if hinted == e.upstream {
			first *= 1 - prefixSaving*r.PrefixShare
		}
	}
	queued := float64(backlog+1-int64(e.slots)) + backlogStdDevs*math.Sqrt(float64(backlog))
	if queued > 0 {
		service := e.first + e.perToken*v.meanTokens
		wait = waitMargin * queued / float64(e.slots) * service
	}
	return first + wait + 2*e.oneWayLatency, wait, true
}

// splitMix64 is one step of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
