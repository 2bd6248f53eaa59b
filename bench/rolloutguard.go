package bench

// rolloutGuard adapts package guard to the roll-out of a workload.
type rolloutGuard struct {
	world    *world
	from, to int
}

func newRolloutGuard(w *world) *rolloutGuard {
	g := &rolloutGuard{world: w, from: -1, to: -1}
	if r := w.load.Rollout; r != nil {
		g.from, g.to = w.versionIndex(r.FromVersion), w.versionIndex(r.ToVersion)
	}
	return g
}

func (g *rolloutGuard) counts() any                                         { return nil }
func (g *rolloutGuard) merge(string, any)                                   {}
func (g *rolloutGuard) halted() bool                                        { return false }
func (g *rolloutGuard) observeError(q *request, version int)                {}
func (g *rolloutGuard) observeServed(q *request, version int, pace float64) {}
func (g *rolloutGuard) observeRating(q *request, version int, good bool)    {}
