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
	// routerPlansLeast uses the plans of package policy, but sends each call to
	// the engine with the fewest outstanding requests of the daemon.
	routerPlansLeast = "policy-plans-least-outstanding"
	// routerInformed is package policy with the true qualities, speeds and
	// length distributions. It shows the cost of learning them, and what cannot be
	// reached without knowing the length of each answer in advance.
	routerInformed = "policy-informed"
)

// comparators lists the routers that run only when Options.Routers names them,
// and the oracle.
func comparators() []string { return []string{routerPlansLeast, routerInformed, routerOracle} }

// RouterNames lists the policy and the baselines in the order of the tables.
func RouterNames() []string {
	return []string{routerPolicy, routerBest, routerCheapest, routerCascade, routerRoundRobin, routerLeastRequests}
}

const (
	// baselineRetries is the number of retries of a baseline after failed calls.
	baselineRetries = 1
	// baselineBackoff is how long a baseline sends no calls to an engine after the
	// engine has failed.
	baselineBackoff = time.Second
	requestPriority = 5
)

// baseline is a router with fixed rules. Each daemon knows only its own calls.
type baseline struct {
	world       *world
	name        string
	outstanding [][]int           // calls by daemon and engine
	avoidUntil  [][]time.Duration // end of the backoff by daemon and engine
	cursor      []int             // by daemon, the engine at which the next choice starts
}

func newBaseline(w *world, name string) *baseline {
	b := &baseline{world: w, name: name, cursor: make([]int, w.daemons())}
	for range w.daemons() {
		b.outstanding = append(b.outstanding, make([]int, len(w.engines)))
		b.avoidUntil = append(b.avoidUntil, make([]time.Duration, len(w.engines)))
	}
	return b
}

func (b *baseline) tick() {}

func (b *baseline) handle(q *request) {
	if b.name == routerCascade {
		b.cascade(q)
		return
	}
	b.callWithRetries(q, b.versions(q), baselineRetries, time.Duration(0))
}

// versions returns the allowed versions among which the router's rule chooses.
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

// best returns the version with the highest mean quality over the classes, and
// the cheaper one of equally good versions.
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

// cheapest returns the version with the lowest cost per output token.
func (b *baseline) cheapest(allowed []int) int {
	best := allowed[0]
	for _, v := range allowed {
		if b.world.load.Versions[v].CostPer1kOutput < b.world.load.Versions[best].CostPer1kOutput {
			best = v
		}
	}
	return best
}

// chooseEngine returns an engine that holds one of the versions, and the version.
// It takes the next engine in turn for round robin, else the one with the fewest
// outstanding requests. The engine is nil when none is available.
func (b *baseline) chooseEngine(q *request, versions []int) (*engine, int) {
	var engine *engine
	version, least := -1, 0
	n := len(b.world.engines)
	for i := range n {
		e := b.world.engines[(b.cursor[q.daemon]+i)%n]
		v := heldVersion(b.world, e, versions)
		if v < 0 || b.avoidUntil[q.daemon][e.index] > b.world.now {
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

// heldVersion returns the first of the versions that the engine holds, or -1.
func heldVersion(w *world, e *engine, versions []int) int {
	for _, v := range versions {
		for _, h := range w.enginesByVersion[v] {
			if h == e {
				return v
			}
		}
	}
	return -1
}

// send sends one call to an engine that holds one of the versions. It reports
// false when there is none.
func (b *baseline) send(q *request, versions []int, onFirstToken func(*call), onEnd func(*call, bool)) bool {
	e, v := b.chooseEngine(q, versions)
	if e == nil {
		return false
	}
	b.outstanding[q.daemon][e.index]++
	c := b.world.send(q, v, e, requestPriority, onFirstToken, func(c *call, ok bool) {
		if !ok && !c.fails {
			b.avoidUntil[q.daemon][e.index] = b.world.now + baselineBackoff
		}
		onEnd(c, ok)
	})
	c.release = func() { b.outstanding[q.daemon][e.index]-- }
	return true
}

// callWithRetries sends a call and delivers its answer. After a failure it tries
// again, at most retries times. first is the time at which the first token of an
// earlier try reached the daemon, or 0.
func (b *baseline) callWithRetries(q *request, versions []int, retries int, first time.Duration) {
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
			b.callWithRetries(q, versions, retries-1, first)
		}
	})
	if !sent {
		b.world.refuse(q)
	}
}

// cascade calls the cheapest version and then, after a bad rating or a failure,
// the best one.
func (b *baseline) cascade(q *request) {
	allowed := b.world.allowed(q)
	cheap, best := b.cheapest(allowed), b.best(allowed)
	sent := b.send(q, []int{cheap}, nil, func(c *call, ok bool) {
		if !ok {
			q.retries++
			b.callWithRetries(q, []int{best}, 0, 0)
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
			b.callWithRetries(q, []int{best}, baselineRetries, 0)
		})
	})
	if !sent {
		b.callWithRetries(q, []int{best}, baselineRetries, 0)
	}
}
