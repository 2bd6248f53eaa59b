package bench

import (
	"time"

	"github.com/savoryshift/savoryshift/policy/guard"
)

// slowFactor is how much slower than the base version on the same engine an
// answer is when it counts as slow.
const slowFactor = 1.5

// paceLifetime is how long a pace of the base on an engine is compared with. An
// engine that has become slow since would make any version look slow.
const paceLifetime = 5 * time.Second

// basePace is how fast the base version was on an engine.
type basePace struct {
	at   time.Duration
	pace float64
}

// rolloutGuard adapts package guard to the roll-out of a workload.
type rolloutGuard struct {
	*guard.Guard
	world    *world
	from, to int
	// paces holds the last pace of the base by engine, in seconds per token.
	paces map[*engine]basePace
}

func newRolloutGuard(w *world) *rolloutGuard {
	g := &rolloutGuard{
		Guard: guard.New(guard.Options{ExposureWeight: w.load.Weights.Exposure}),
		world: w, from: -1, to: -1, paces: map[*engine]basePace{},
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
	last, ok := g.paces[c.engine]
	if ok && g.world.now-last.at <= paceLifetime {
		g.note(c.req, c.version, guard.Latency, pace > slowFactor*last.pace)
	}
	if c.version == g.from {
		g.paces[c.engine] = basePace{at: g.world.now, pace: pace}
	}
}

func (g *rolloutGuard) observeRating(q *request, version int, good bool) {
	g.note(q, version, guard.Ratings, !good)
}
