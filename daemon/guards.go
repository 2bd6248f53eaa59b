package daemon

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/savoryshift/savoryshift/policy/guard"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// slowFactor is how much slower than the mean of the base version on the
	// same upstream an answer counts as slow.
	slowFactor = 1.5
	// paceMemory is the number of answers over which that mean is taken, and
	// paceMinimum the number from which on it is used.
	paceMemory  = 50.0
	paceMinimum = 5
)

// guards watches the candidates of the roll-outs under way and halts a bad one.
// It is safe for concurrent use.
type guards struct {
	// halt is called once for a roll-out whose candidate is bad.
	halt func(version, rollout, reason string)

	// active maps the versions of roll-outs under way to their watch; it is
	// read by every request and replaced by update.
	active atomic.Pointer[map[string]*watch]

	mu      sync.Mutex
	watches map[string]*watch // by roll-out
}

// watch compares the two versions of one roll-out.
type watch struct {
	rollout string
	from    string
	to      string
	guard   *guard.Guard
	halted  atomic.Bool

	mu    sync.Mutex
	paces map[string]*pace // of the base version, by upstream
}

// pace is the mean time per token as a logarithm.
type pace struct {
	n    float64
	mean float64
}

func newGuards(halt func(version, rollout, reason string)) *guards {
	g := &guards{halt: halt, watches: make(map[string]*watch)}
	g.active.Store(&map[string]*watch{})
	return g
}

// update follows the roll-outs of the settings. Only the control loop calls it.
func (g *guards) update(s *tree.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	watches := make(map[string]*watch)
	active := make(map[string]*watch)
	for id, r := range s.Tree().Rollouts {
		if r.State != tree.RolloutRunning && r.State != tree.RolloutPaused {
			continue
		}
		w, known := g.watches[id]
		if !known || w.from != r.From || w.to != r.To {
			w = &watch{
				rollout: id,
				from:    r.From,
				to:      r.To,
				guard:   guard.New(guard.Options{ExposureWeight: exposureWeight(s.Tree())}),
				paces:   make(map[string]*pace),
			}
		}
		watches[id] = w
		active[r.From], active[r.To] = w, w
	}
	g.watches = watches
	g.active.Store(&active)
}

// exposureWeight is the largest weight of exposure that an organisation sets,
// because one roll-out serves all organisations.
func exposureWeight(t *tree.Tree) float64 {
	weight := 0.0
	note := func(o tree.Overrides) {
		if o.Weights != nil {
			weight = max(weight, o.Weights.Exposure)
		}
	}
	note(t.Defaults)
	for _, o := range t.Organisations {
		note(o.Overrides)
		for _, s := range o.Services {
			note(s.Overrides)
		}
	}
	if weight == 0 {
		return tree.DefaultWeight
	}
	return weight
}

// watched tells whether a version takes part in a roll-out under way.
func (g *guards) watched(version string) bool { return (*g.active.Load())[version] != nil }

// observe notes one event of a version.
func (g *guards) observe(version, class string, signal guard.Signal, bad bool) {
	w := (*g.active.Load())[version]
	if w == nil {
		return
	}
	stratum := guard.Stratum{Class: class, Signal: signal}
	if version == w.from {
		w.guard.ObserveBase(stratum, bad)
		return
	}
	w.guard.ObserveCandidate(stratum, bad)
	g.check(w)
}

// check halts a bad candidate.
func (g *guards) check(w *watch) {
	halted, cause := w.guard.Halted()
	if halted && w.halted.CompareAndSwap(false, true) {
		g.halt(w.to, w.rollout, "the guard found it worse than "+w.from+": "+cause.String())
	}
}

func (g *guards) served(o proxy.Outcome) {
	w := (*g.active.Load())[o.Target.Version]
	if w == nil {
		return
	}
	class := classOf(o.Request)
	g.observe(o.Target.Version, class, guard.Errors, false)
	if slow, known := w.slow(o); known {
		g.observe(o.Target.Version, class, guard.Latency, slow)
	}
}

// slow compares the pace of an answer with the base version on the same
// upstream, because upstreams differ in speed more than versions do.
func (w *watch) slow(o proxy.Outcome) (slow, known bool) {
	if o.CompletionTokens == 0 || o.Total <= 0 {
		return false, false
	}
	value := math.Log(o.Total.Seconds() / float64(o.CompletionTokens))
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.paces[o.Target.Upstream]
	if p == nil {
		p = &pace{}
		w.paces[o.Target.Upstream] = p
	}
	slow, known = value > p.mean+math.Log(slowFactor), p.n >= paceMinimum
	if o.Target.Version == w.from {
		p.n = min(p.n+1, paceMemory)
		p.mean += (value - p.mean) / p.n
	}
	return slow, known
}

func (g *guards) failed(o proxy.Outcome) {
	g.observe(o.Target.Version, classOf(o.Request), guard.Errors, true)
}

func (g *guards) rated(q proxy.RouteRequest, t proxy.Target, good bool) {
	g.observe(t.Version, classOf(q), guard.Ratings, !good)
}

// counts returns the evidence of this daemon by roll-out.
func (g *guards) counts() map[string]guard.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]guard.Counts, len(g.watches))
	for id, w := range g.watches {
		counts[id] = w.guard.Counts()
	}
	return counts
}

// merge takes the evidence of another daemon.
func (g *guards) merge(from string, counts map[string]guard.Counts) {
	g.mu.Lock()
	watches := g.watches
	g.mu.Unlock()
	for id, c := range counts {
		if w := watches[id]; w != nil {
			w.guard.Merge(from, c)
			g.check(w)
		}
	}
}
