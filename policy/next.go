package policy

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// Progress is the state of a request whose last call has ended.
type Progress struct {
	// Held is the probability that the best held answer is good; 0 if there is
	// none. A held answer is one that has not been released to the caller.
	Held float64
	// Tokens is the length of the held answer; 0 if there is none.
	Tokens float64
	// Tried lists the versions that have answered, as indices into the view.
	Tried []int
	// Failed reports whether the last call has failed. In this case
	// FailedUpstream is the index of its upstream, which does not receive the
	// next call.
	Failed         bool
	FailedUpstream int
	// Calls is the number of calls so far.
	Calls int
}

// Next decides what follows a badly rated answer or a failed call. It returns a
// plan with one call, a plan without calls (deliver the held answer) or a
// refusal. After a failure it takes a retry from the retry budget of the
// organisation, unless the plan has no calls.
func (p *Planner) Next(v *View, r *Request, s Progress, now time.Duration) Plan {
	if s.Failed && !p.spendRetry(r) {
		return deliverOrRefuse(s, errkind.RetryBudgetSpent)
	}
	plan := p.planNext(v, r, s, now)
	if s.Failed && plan.N == 0 {
		p.returnRetry(r)
	}
	return plan
}

func (p *Planner) planNext(v *View, r *Request, s Progress, now time.Duration) Plan {
	c := v.class(r.Class)
	remaining := (r.Deadline - now).Seconds()
	avoid := -1
	if s.Failed {
		avoid = s.FailedUpstream
	}
	var ev evaluator
	ev.collectOptions(v, r, c, avoid, now)
	ev.qualityValue = p.qualityController(r.Class).qualityValue() * c.meanRequestCost
	if s.Held == 0 {
		return p.planRetry(v, r, c, &ev, remaining)
	}
	tried := ev.triedMask(s.Tried)
	out, index := ev.bestFollowUp(s.Held, s.Tokens, remaining, tried, min(s.Calls, maxCalls-1))
	if index < 0 {
		return Plan{Quality: s.Held}
	}
	o := &ev.options[index]
	plan := Plan{Kind: OneCall, N: 1, Quality: out.quality, Cost: out.cost, OnTime: 1}
	if ev.ratingAvailable && out.quality > o.quality+1e-9 {
		plan.Kind = Cascade
	}
	plan.Calls[0] = o.call(s.Tokens, 0)
	plan.Priority = priorityOf(r, remaining, o.total(s.Tokens))
	return plan
}

// triedMask returns a bit mask of the options whose version has answered
// already.
func (ev *evaluator) triedMask(tried []int) uint {
	var mask uint
	for i := range ev.n {
		for _, ver := range tried {
			if ev.options[i].version == ver {
				mask |= 1 << i
			}
		}
	}
	return mask
}

// deliverOrRefuse returns a plan that delivers the held answer, or a refusal of
// the given kind if there is none.
func deliverOrRefuse(s Progress, kind errkind.Kind) Plan {
	if s.Held > 0 {
		return Plan{Quality: s.Held}
	}
	return Plan{Refusal: kind}
}

// planRetry chooses a new plan after a failure without a held answer.
func (p *Planner) planRetry(v *View, r *Request, c *classView, ev *evaluator, remaining float64) Plan {
	if ev.n == 0 {
		return Plan{Refusal: errkind.NoCapacity}
	}
	mu, sigma := logLengthFor(r, c)
	best := ev.bestInitialPlan(c, mu, sigma, remaining, onTimeValue*v.meanRequestCost, r)
	if best.onTime < minOnTimeProbability {
		return Plan{Refusal: errkind.DeadlineTooShort}
	}
	plan := ev.plan(&best, mu, remaining)
	plan.Priority = priorityOf(r, remaining, ev.options[best.first].total(math.Exp(mu)))
	return plan
}

// Posterior returns the probability that an answer of a version is good, given
// its rating.
func (v *View) Posterior(class string, version int, good bool) float64 {
	ev := evaluator{accuracy: v.accuracy}
	_, afterGood, afterBad := ev.posterior(v.class(class).quality[version].mean)
	return ternary(good, afterGood, afterBad)
}
