package bench

import (
	"time"

	"github.com/savoryshift/savoryshift/policy/guard"
)

// slowFactor is the factor on the time per token of the base version on the same
// engine above which an answer counts as slow.
const slowFactor = 1.5

// tokenTimeLifetime is how long answers are compared with a time per token of the
// base version. If the engine has become slow since, any version would look slow.
const tokenTimeLifetime = 5 * time.Second

// tokenTimeSample is the time per token of an answer of the base version.
type tokenTimeSample struct {
	at              time.Duration
	secondsPerToken float64
}

// rolloutGuard feeds a guard with the observations of a workload's rollout.
type rolloutGuard struct {
	*guard.Guard
	world    *world
	from, to int
	// baseTokenTimes holds the latest time per token of the base version by engine.
	baseTokenTimes map[*engine]tokenTimeSample
}

func newRolloutGuard(w *world) *rolloutGuard {
	g := &rolloutGuard{
		Guard: guard.New(guard.Options{ExposureWeight: w.load.Weights.Exposure}),
		world: w, from: -1, to: -1, baseTokenTimes: map[*engine]tokenTimeSample{},
	}
	if r := w.load.Rollout; r != nil {
		g.from, g.to = w.versionIndex(r.FromVersion), w.versionIndex(r.ToVersion)
	}
	return g
}

func (g *rolloutGuard) observe(q *request, version int, signal guard.Signal, bad bool) {
	s := guard.Stratum{Class: g.world.load.Classes[q.class].Name, Signal: signal}
	switch version {
	case g.from:
		g.ObserveBase(s, bad)
	case g.to:
		g.ObserveCandidate(s, bad)
	}
}

func (g *rolloutGuard) observeError(c *call) { g.observe(c.req, c.version, guard.Errors, true) }

// observeServed records a successful call, and whether it was slow.
func (g *rolloutGuard) observeServed(c *call, secondsPerToken float64) {
	g.observe(c.req, c.version, guard.Errors, false)
	last, ok := g.baseTokenTimes[c.engine]
	if ok && g.world.now-last.at <= tokenTimeLifetime {
		g.observe(c.req, c.version, guard.Latency, secondsPerToken > slowFactor*last.secondsPerToken)
	}
	if c.version == g.from {
		g.baseTokenTimes[c.engine] = tokenTimeSample{at: g.world.now, secondsPerToken: secondsPerToken}
	}
}

func (g *rolloutGuard) observeRating(q *request, version int, good bool) {
	g.observe(q, version, guard.Ratings, !good)
}
