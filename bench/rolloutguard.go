package bench

import (
	"math"

	"github.com/savoryshift/savoryshift/policy/guard"
)

// slowFactor is how much slower than the base version on the same engine an
// answer is when it counts as slow.
const slowFactor = 1.5

// rolloutGuard adapts package guard to the roll-out of a workload.
type rolloutGuard struct {
	*guard.Guard
	world    *world
	from, to int
	// paces holds sum and number of the logarithms of the base's seconds per
	// token by engine.
	paces map[*engine][2]float64
}

func newRolloutGuard(w *world) *rolloutGuard {
	g := &rolloutGuard{
		Guard: guard.New(guard.Options{ExposureWeight: w.load.Weights.Exposure}),
		world: w, from: -1, to: -1, paces: map[*engine][2]float64{},
	}
	if r := w.load.Rollout; r != nil {
		g.from, g.to = w.versionIndex(r.FromVersion), w.versionIndex(r.ToVersion)
	}
	return g
}

func (g *rolloutGuard) note(q *request, version int, signal guard.Signal, bad bool) {
	s := guard.Stratum{Class: g.world.load.Classes[q.class].Name, Signal: signal}
	switch version {
	case g.from:
		g.ObserveBase(s, bad)
	case g.to:
		g.ObserveCandidate(s, bad)
	}
}

func (g *rolloutGuard) observeError(c *call) { g.note(c.req, c.version, guard.Errors, true) }

// observeServed notes a call without error, and whether it was slow.
func (g *rolloutGuard) observeServed(c *call, pace float64) {
	g.note(c.req, c.version, guard.Errors, false)
	x := g.paces[c.engine]
	if c.version == g.from && pace > 0 {
		g.paces[c.engine] = [2]float64{x[0] + math.Log(pace), x[1] + 1}
	}
	if x[1] > 0 {
		usual := math.Exp(x[0] / x[1])
		g.note(c.req, c.version, guard.Latency, pace > slowFactor*usual)
	}
}

func (g *rolloutGuard) observeRating(q *request, version int, good bool) {
	g.note(q, version, guard.Ratings, !good)
}
