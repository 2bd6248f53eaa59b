package policy

import (
	"math"
	"sync/atomic"
)

const (
	// exploreMinStdDev is the standard deviation of an estimated quality above
	// which a version is explored.
	exploreMinStdDev = 0.08
	// microUnits is the number of units of an integer budget per request or per
	// unit of cost.
	microUnits = 1e6
	// exploreBurst is the maximum number of unused explorations that can
	// accumulate.
	exploreBurst = 3
)

// explorer keeps the two budgets of exploration: the number of explorations and
// their additional cost, both in units of 1/microUnits. It is safe for
// concurrent use. Requests that are decided at the same time can overspend a
// budget; later requests make up for it.
type explorer struct {
	requests atomic.Int64
	cost     atomic.Int64
}

// tryExplore replaces a plan by a rated call to the version with the least
// certain quality estimate, if both budgets allow it, the engine time of the
// version has no price and the answer is likely enough to meet the deadline.
func (e *explorer) tryExplore(ev *evaluator, plan *Plan, mu, sigma, remaining, quantile, share float64) (candidatePlan, bool) {
	earned := int64(share * microUnits)
	if e.requests.Load() < exploreBurst*microUnits {
		e.requests.Add(earned)
	}
	credit := e.cost.Add(int64(share * plan.Cost * microUnits))
	if !ev.ratingAvailable || e.requests.Load() < microUnits {
		return candidatePlan{}, false
	}
	best, qualityStdDev := -1, exploreMinStdDev
	tokens := math.Exp(mu + sigma*sigma/2)
	for i := range ev.n {
		o := &ev.options[i]
		extra := int64((o.cost(tokens, ev.promptTokens) - plan.Cost) * microUnits)
		if o.version != plan.Calls[0].Version && o.slotPrice == 0 && o.qualityStdDev > qualityStdDev && extra <= credit && onTime(o, mu, sigma, remaining) >= quantile {
			best, qualityStdDev = i, o.qualityStdDev
		}
	}
	if best < 0 {
		return candidatePlan{}, false
	}
	o := &ev.options[best]
	cand := candidatePlan{kind: Cascade, first: best, second: -1, onTime: onTime(o, mu, sigma, remaining)}
	cand.result = ev.callOutcome(o, 0, math.Exp(mu), remaining-o.total(math.Exp(mu)), 1<<best, 1)
	e.requests.Add(-microUnits)
	e.cost.Add(-int64(math.Max(0, cand.result.cost-plan.Cost) * microUnits))
	return cand, true
}
