package bench

import (
	"math"

	"github.com/savoryshift/savoryshift/policy"
)

// knownSamples is the number of samples with which a known value is given to a
// planner, enough to outweigh what the planner observes.
const knownSamples = 1e6

// leastOutstanding returns the engine that holds the version of a call and has
// the fewest outstanding requests of this daemon.
func (d *policyDaemon) leastOutstanding(c policy.Call) int {
	best := c.Upstream
	for _, e := range d.router.world.enginesByVersion[c.Version] {
		if d.hasFreshReport(e) && d.live[e.index].InFlight() < d.live[best].InFlight() {
			best = e.index
		}
	}
	return best
}

// useTrueParameters gives the true parameters of the workload to all planners.
func (p *policyRouter) useTrueParameters() {
	s := p.world.trueParameters()
	for _, d := range p.daemons {
		d.planner.Merge("truth", s)
		d.rebuildView()
	}
}

// trueParameters returns the qualities, speeds and length distributions of the
// workload as a planner's summary with knownSamples samples each.
func (w *world) trueParameters() policy.Summary {
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
		for _, e := range w.enginesByVersion[i] {
			s.Cells[policy.CellKey{Upstream: e.spec.ID, Version: v.Version}] = policy.CellStat{
				First:    knownMean(v.FirstTokenMs / 1000 / e.spec.SpeedFactor),
				PerToken: knownMean(1 / v.OutputTokensPerSSlot / e.spec.SpeedFactor),
			}
		}
	}
	for _, c := range w.load.Classes {
		mu, sigma := math.Log(c.OutputTokens.Median), c.OutputTokens.Sigma
		s.Lengths[c.Name] = policy.MomentStat{N: knownSamples, Sum: mu * knownSamples, Squares: (mu*mu + sigma*sigma) * knownSamples}
	}
	return s
}

// knownMean returns the statistics of a time that is always the same.
func knownMean(seconds float64) policy.MeanStat {
	return policy.MeanStat{Weight: knownSamples, Sum: math.Log(math.Max(seconds, 1e-4)) * knownSamples}
}
