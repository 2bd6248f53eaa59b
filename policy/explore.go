package policy

import (
	"math"
	"sync/atomic"
)

const (
	// exploreDoubt is the standard deviation of a quality above which a version
	// is worth exploring.
	exploreDoubt = 0.08
	// microUnits is the resolution of the budgets.
	microUnits = 1e6
	// exploreSaved bounds the requests that can be saved up for exploring.
	exploreSaved = 3
)

// explorer keeps the two budgets of exploration: requests and cost. It is safe
// for concurrent use; a budget that two requests want at once may serve one.
type explorer struct {
	requests atomic.Int64
	cost     atomic.Int64
}

// take replaces a plan by a rated call to the version whose quality is least
// known, when both budgets allow it and the answer would be in time.
func (e *explorer) take(w *weigher, plan *Plan, mu, sigma, left, quantile, share float64) (candidate, bool) {
	earned := int64(share * microUnits)
	if e.requests.Load() < exploreSaved*microUnits {
		e.requests.Add(earned)
	}
	credit := e.cost.Add(int64(share * plan.Cost * microUnits))
	if !w.rating || e.requests.Load() < microUnits {
		return candidate{}, false
	}
	best, doubt := -1, exploreDoubt
	tokens := math.Exp(mu + sigma*sigma/2)
	for i := range w.n {
		o := &w.options[i]
		extra := int64((o.cost(tokens, w.prompt) - plan.Cost) * microUnits)
		if o.version != plan.Calls[0].Version && o.price == 0 && o.doubt > doubt && extra <= credit && onTime(o, mu, sigma, left) >= quantile {
			best, doubt = i, o.doubt
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	o := &w.options[best]
	k := candidate{kind: Cascade, option: best, second: -1, onTime: onTime(o, mu, sigma, left)}
	k.out = w.after(o, 0, math.Exp(mu), left-o.total(math.Exp(mu)), 1<<best, 1)
	e.requests.Add(-microUnits)
	e.cost.Add(-int64(math.Max(0, k.out.cost-plan.Cost) * microUnits))
	return k, true
}
