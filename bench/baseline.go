package bench

import "time"

// Names of the routers.
const (
	routerPolicy        = "policy"
	routerBest          = "best-model"
	routerCheapest      = "cheapest"
	routerCascade       = "fixed-cascade"
	routerRoundRobin    = "round-robin"
	routerLeastRequests = "least-outstanding"
	// routerPlansLeast makes the plans of package policy and sends each call to
	// the engine with the least outstanding requests of the daemon.
	routerPlansLeast = "policy-plans-least-outstanding"
	// routerInformed is package policy with the true qualities, speeds and
	// length distributions. It shows what learning costs, and what cannot be
	// reached without knowing the length of each answer.
	routerInformed = "policy-informed"
)

// comparators lists the routers that are run only when they are asked for.
func comparators() []string { return []string{routerPlansLeast, routerInformed, routerOracle} }

// RouterNames lists the policy and its baselines in the order of the tables.
func RouterNames() []string {
	return []string{routerPolicy, routerBest, routerCheapest, routerCascade, routerRoundRobin, routerLeastRequests}
}

const (
	// baselineRetries is how often a baseline tries again after a failure.
	baselineRetries = 1
	// baselineAvoid is how long a baseline leaves an engine alone after it has
	// failed.
	baselineAvoid    = time.Second
	baselinePriority = 5
)

// baseline is a router with fixed rules. Each daemon counts its own calls.
type baseline struct {
	world       *world
	name        string
	outstanding [][]int
	avoid       [][]time.Duration
	cursor      []int
}

func newBaseline(w *world, name string) *baseline {
	b := &baseline{world: w, name: name, cursor: make([]int, w.daemons())}
	for range w.daemons() {
		b.outstanding = append(b.outstanding, make([]int, len(w.engines)))
		b.avoid = append(b.avoid, make([]time.Duration, len(w.engines)))
	}
	return b
}

func (b *baseline) tick() {}

func (b *baseline) arrive(q *request) {
	if b.name == routerCascade {
		b.cascade(q)
		return
	}
	b.try(q, b.versions(q), baselineRetries, time.Duration(0))
}

// versions returns the versions that the rule permits.
func (b *baseline) versions(q *request) []int {
	allowed := b.world.allowed(q)
	switch b.name {
	case routerBest:
		return []int{b.best(allowed)}
	case routerCheapest:
		return []int{b.cheapest(allowed)}
	}
	return allowed
}

// best is the version with the best mean quality, the cheaper one on a tie.
func (b *baseline) best(allowed []int) int {
	best, top := allowed[0], -1.0
	for _, v := range allowed {
		mean := 0.0
		for k, c := range b.world.load.Classes {
			mean += c.Share * b.world.trueQuality(v, k)
		}
		cost := b.world.load.Versions[v].CostPer1kOutput
		if mean > top+1e-9 || mean > top-1e-9 && cost < b.world.load.Versions[best].CostPer1kOutput {
			best, top = v, mean
		}
	}
	return best
}

func (b *baseline) cheapest(allowed []int) int {
	best := allowed[0]
	for _, v := range allowed {
		if b.world.load.Versions[v].CostPer1kOutput < b.world.load.Versions[best].CostPer1kOutput {
			best = v
		}
	}
	return best
}

// choose picks an engine that holds one of the versions.
func (b *baseline) choose(q *request, versions []int) (*engine, int) {
	var engine *engine
	version, least := -1, 0
	n := len(b.world.engines)
	for i := range n {
		e := b.world.engines[(b.cursor[q.daemon]+i)%n]
		v := heldOf(b.world, e, versions)
		if v < 0 || b.avoid[q.daemon][e.index] > b.world.now {
			continue
		}
		load := b.outstanding[q.daemon][e.index]
		if engine == nil || b.name != routerRoundRobin && load < least {
			engine, version, least = e, v, load
		}
	}
	if engine != nil {
		b.cursor[q.daemon] = (engine.index + 1) % n
	}
	return engine, version
}

func heldOf(w *world, e *engine, versions []int) int {
	for _, v := range versions {
		for _, h := range w.byVersion[v] {
			if h == e {
				return v
			}
		}
	}
	return -1
}

func (b *baseline) send(q *request, versions []int, onFirst func(*call), onEnd func(*call, bool)) bool {
	e, v := b.choose(q, versions)
	if e == nil {
		return false
	}
	b.outstanding[q.daemon][e.index]++
	c := b.world.send(q, v, e, baselinePriority, onFirst, func(c *call, ok bool) {
		if !ok && !c.fails {
			b.avoid[q.daemon][e.index] = b.world.now + baselineAvoid
		}
		onEnd(c, ok)
	})
	c.release = func() { b.outstanding[q.daemon][e.index]-- }
	return true
}

// try makes one call and passes its answer on.
func (b *baseline) try(q *request, versions []int, retries int, first time.Duration) {
	sent := b.send(q, versions, func(*call) {
		if first == 0 {
			first = b.world.now
		}
	}, func(c *call, ok bool) {
		switch {
		case q.done:
		case ok:
			b.world.deliver(q, c.version, first, b.world.trueQuality(c.version, q.class))
		case retries > 0:
			q.retries++
			b.try(q, versions, retries-1, first)
		}
	})
	if !sent {
		b.world.refuse(q)
	}
}

// cascade asks the cheapest version and then, on a bad rating, the best one.
func (b *baseline) cascade(q *request) {
	allowed := b.world.allowed(q)
	cheap, best := b.cheapest(allowed), b.best(allowed)
	sent := b.send(q, []int{cheap}, nil, func(c *call, ok bool) {
		if !ok {
			q.retries++
			b.try(q, []int{best}, 0, 0)
			return
		}
		b.world.rate(q, c.version, func(rated, good bool) {
			if q.done {
				return
			}
			if !rated || good {
				b.world.deliver(q, c.version, b.world.now, b.world.trueQuality(c.version, q.class))
				return
			}
			b.try(q, []int{best}, baselineRetries, 0)
		})
	})
	if !sent {
		b.try(q, []int{best}, baselineRetries, 0)
	}
}
