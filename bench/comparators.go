package bench

import (
	"math"

	"github.com/savoryshift/savoryshift/policy"
)

// knownSamples is the weight of a fact that needs no learning.
const knownSamples = 1e6

// leastOutstanding picks the engine of a call's version with the least
// outstanding requests of this daemon.
func (d *policyDaemon) leastOutstanding(c policy.Call) int {
	best := c.Upstream
	for _, e := range d.router.world.byVersion[c.Version] {
		if d.heard(e) && d.live[e.index].InFlight() < d.live[best].InFlight() {
			best = e.index
		}
	}
	return best
}

// inform gives all planners the truth of the workload.
func (p *policyRouter) inform() {
	s := p.world.truth()
	for _, d := range p.daemons {
		d.planner.Merge("truth", s)
		d.rebuild()
	}
}

// truth is the workload as a summary with many samples.
func (w *world) truth() policy.Summary {
	s := policy.Summary{
		Cells:   map[policy.CellKey]policy.CellStat{},
		Ratings: map[policy.QualityKey]policy.CountStat{},
		Lengths: map[string]policy.MomentStat{},
	}
	accuracy := w.load.Rating.Accuracy
	for i := range w.load.Versions {
		v := &w.load.Versions[i]
		for class, quality := range v.GoodAnswer {
			good := quality*accuracy + (1-quality)*(1-accuracy)
			s.Ratings[policy.QualityKey{Class: class, Version: v.Version}] = policy.CountStat{N: knownSamples, Good: good * knownSamples}
		}
		for _, e := range w.byVersion[i] {
			s.Cells[policy.CellKey{Upstream: e.spec.ID, Version: v.Version}] = policy.CellStat{
				First:    known(v.FirstTokenMs / 1000 / e.spec.SpeedFactor),
				PerToken: known(1 / v.OutputTokensPerSSlot / e.spec.SpeedFactor),
			}
		}
	}
	for _, c := range w.load.Classes {
		mu, sigma := math.Log(c.OutputTokens.Median), c.OutputTokens.Sigma
		s.Lengths[c.Name] = policy.MomentStat{N: knownSamples, Sum: mu * knownSamples, Squares: (mu*mu + sigma*sigma) * knownSamples}
	}
	return s
}

func known(seconds float64) policy.MeanStat {
	return policy.MeanStat{Weight: knownSamples, Sum: math.Log(math.Max(seconds, 1e-4)) * knownSamples}
}
