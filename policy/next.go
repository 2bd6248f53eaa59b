package policy

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// Progress is the state of a request whose last call has ended.
type Progress struct {
	// Held is the probability that the best answer at hand is good; 0 when
	// there is none.
	Held float64
	// Tokens is the length of the answer at hand; 0 when there is none.
	Tokens float64
	// Tried lists the versions that have answered, as indices into the view.
	Tried []int
	// Failed is set when the last call has failed, and Avoid names its
	// upstream.
	Failed         bool
	FailedUpstream int
	// Calls counts the calls so far.
	Calls int
}

// Next decides what follows a badly rated answer or a failed call: a plan with
// one call, a plan with no call (deliver the answer at hand), or a refusal.
// After a failure it draws on the retry budget of the organisation.
func (p *Planner) Next(v *View, r *Request, s Progress, now time.Duration) Plan {
	c := v.class(r.Class)
	left := (r.Deadline - now).Seconds()
	if s.Failed && !p.takeRetry(r) {
		return nextOrRefuse(s, errkind.RetryBudgetSpent)
	}
	avoid := -1
	if s.Failed {
		avoid = s.FailedUpstream
	}
	var w weigher
	w.fill(v, r, c, avoid, now)
	w.lambda = p.target(r.Class).value() * c.scale
	if s.Held == 0 {
		return p.retry(v, r, c, &w, left)
	}
	used := w.mask(s.Tried)
	out, index := w.follow(s.Held, s.Tokens, left, used, min(s.Calls, maxCalls-1))
	if index < 0 {
		return Plan{Quality: s.Held}
	}
	o := &w.options[index]
	plan := Plan{Kind: OneCall, N: 1, Quality: out.quality, Cost: out.cost, OnTime: 1}
	if w.rating && out.quality > o.quality+1e-9 {
		plan.Kind = Cascade
	}
	plan.Calls[0] = o.call(s.Tokens, 0)
	plan.Priority = priorityOf(r, left, o.total(s.Tokens))
	return plan
}

// mask marks the options whose version, or another version of whose model, has
// answered already.
func (w *weigher) mask(tried []int) uint {
	var used uint
	for i := range w.n {
		for _, ver := range tried {
			if w.options[i].version == ver {
				used |= 1 << i
			}
		}
	}
	return used
}

func nextOrRefuse(s Progress, kind errkind.Kind) Plan {
	if s.Held > 0 {
		return Plan{Quality: s.Held}
	}
	return Plan{Refusal: kind}
}

// retry chooses again after a failure with no answer at hand.
func (p *Planner) retry(v *View, r *Request, c *classView, w *weigher, left float64) Plan {
	if w.n == 0 {
		return Plan{Refusal: errkind.NoCapacity}
	}
	mu, sigma := lengthFor(r, c)
	best := w.begin(c, mu, sigma, left, answerValue*v.scale, r)
	if best.onTime < refuseBelow {
		return Plan{Refusal: errkind.DeadlineTooShort}
	}
	plan := w.plan(&best, mu, left)
	plan.Priority = priorityOf(r, left, w.options[best.option].total(math.Exp(mu)))
	return plan
}

// Posterior returns the probability that an answer of a version is good, given
// its rating.
func (v *View) Posterior(class string, version int, good bool) float64 {
	w := weigher{accuracy: v.accuracy}
	_, afterGood, afterBad := w.posterior(v.class(class).quality[version].mean)
	return choose(good, afterGood, afterBad)
}
