package placement

import "github.com/savoryshift/savoryshift/admission"

const (
	// savingWeight is the weight of the engine time that held parts save, in addition to that of
	// the call's own time. Engine time that is not used shortens the wait of the calls behind, and
	// a part that is read at one more engine takes memory of other parts there. With more, the
	// calls of popular parts queue at one engine (docs/design/prompt-cache.md).
	savingWeight = 4.0
)

// promptView is what the decision knows of a prompt.
type promptView struct {
	tokens float64
	// secondsPerToken is the prefill time of a token at the assumed prefill rate.
	secondsPerToken float64
	// pauseLevel is that of the pauses at all upstreams of the service, pausesPerSecond the
	// number of pauses that the route allows in a second.
	pauseLevel, pausesPerSecond float64
}

func (b *Balancer) newPromptView(q *Query) promptView {
	p := promptView{tokens: float64(q.Tokens), secondsPerToken: prefillSeconds(1, q.Rank), pauseLevel: b.pauseLevel(q), pausesPerSecond: 1}
	if q.MaxPause > 0 {
		p.pausesPerSecond = 1 / q.MaxPause.Seconds()
	}
	return p
}

// prefill returns the prefill time at the assumed rate if some tokens are held.
func (p *promptView) prefill(held float64) float64 {
	return max(minPrefillTokens, p.tokens-held) * p.secondsPerToken
}

// lateStreams returns how many streams at an upstream the prompt is expected to make late.
func (p *promptView) lateStreams(e *upstreamState, held, slowness float64) float64 {
	return admission.LateStreams(p.prefill(held)*slowness*p.pausesPerSecond, e.streams(), p.pauseLevel)
}

// engineView is what the decision knows of an engine that may read a prompt.
type engineView struct {
	// held is the expected number of tokens of the prompt that the engine holds.
	held float64
	// hashed is the expected number of further tokens that it holds, or will be asked for by
	// other VMs, because the hash of a part names it.
	hashed float64
	// backlog is the prefill time of the calls before this one, in seconds at the assumed
	// prefill rate, and running the weighted number of generated streams.
	backlog, running float64
	slowness         float64
	// extra is the cost of the zone and of failures in seconds.
	extra float64
}

// weighed is the outcome for an engine: the predictions for the call, in seconds, and the score,
// of which the least is best.
type weighed struct {
	uncached, prefill, wait, nominalFirstEvent, firstEvent, score float64
}

// weigh weighs the prefill time that is saved by what an engine holds of a prompt against the
// wait there, its slowness and its zone. It handles loads of prompts that share parts, and is
// made for each engine and request. A belief that is wrong costs at most the time in which the
// held and hashed tokens are read, once for the call and engineTimeWeight+savingWeight times for
// the calls behind it.
func weigh(p *promptView, e *engineView) weighed {
	w := weighed{uncached: max(minPrefillTokens, p.tokens-e.held)}
	w.prefill = w.uncached * p.secondsPerToken
	slowdown := 1 + runningSlowdown*e.running
	w.wait = e.backlog * slowdown * e.slowness
	w.nominalFirstEvent = firstEventFloor + (e.backlog+w.prefill)*slowdown
	w.firstEvent = e.slowness * w.nominalFirstEvent
	w.score = score(p, e)
	return w
}

// score returns the score of an engine, of which the least is best. It is apart from weigh
// because each choice computes it for all engines.
func score(p *promptView, e *engineView) float64 {
	prefill := p.prefill(e.held)
	hashed := e.hashed * p.secondsPerToken
	// What a slow engine saves is what another one would need.
	saved := (e.held + e.hashed) * p.secondsPerToken * min(1, e.slowness)
	own := firstEventFloor + (e.backlog+prefill-hashed)*(1+runningSlowdown*e.running) + engineTimeWeight*(prefill-hashed)
	return e.slowness*own - savingWeight*saved + e.extra
}
