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
	// slowFactor is the ratio to the mean time per token of the base version on
	// the same upstream above which an answer counts as slow.
	slowFactor = 1.5
	// maxTokenTimeSamples is the number of answers that the moving mean covers.
	// The mean is used from minTokenTimeSamples answers on.
	maxTokenTimeSamples = 50.0
	minTokenTimeSamples = 5
)

// guards compares the candidate of each running or paused rollout with its base
// version and halts a candidate that is worse. It is safe for concurrent use.
type guards struct {
	// halt is called once for each rollout whose candidate is worse.
	halt func(version, rollout, reason string)

	// byVersion maps both versions of each running or paused rollout to its
	// guard. Every request reads it; update replaces it.
	byVersion atomic.Pointer[map[string]*rolloutGuard]

	mu        sync.Mutex
	byRollout map[string]*rolloutGuard // by id of the rollout
}

// rolloutGuard compares the two versions of one rollout.
type rolloutGuard struct {
	rollout string
	from    string
	to      string
	guard   *guard.Guard
	halted  atomic.Bool

	mu             sync.Mutex
	baseTokenTimes map[string]*tokenTime // by upstream
}

// tokenTime is a moving mean of the logarithm of the time per token.
type tokenTime struct {
	samples float64
	meanLog float64
}

func newGuards(halt func(version, rollout, reason string)) *guards {
	g := &guards{halt: halt, byRollout: make(map[string]*rolloutGuard)}
	g.byVersion.Store(&map[string]*rolloutGuard{})
	return g
}

// update adds and removes guards as the rollouts of the settings start and end.
// Only the control loop calls it.
func (g *guards) update(s *tree.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byRollout := make(map[string]*rolloutGuard)
	byVersion := make(map[string]*rolloutGuard)
	for id, r := range s.Tree().Rollouts {
		if r.State != tree.RolloutRunning && r.State != tree.RolloutPaused {
			continue
		}
		w, known := g.byRollout[id]
		if !known || w.from != r.From || w.to != r.To {
			w = &rolloutGuard{
				rollout:        id,
				from:           r.From,
				to:             r.To,
				guard:          guard.New(guard.Options{ExposureWeight: exposureWeight(s.Tree())}),
				baseTokenTimes: make(map[string]*tokenTime),
			}
		}
		byRollout[id] = w
		byVersion[r.From], byVersion[r.To] = w, w
	}
	g.byRollout = byRollout
	g.byVersion.Store(&byVersion)
}

// exposureWeight returns the largest weight of exposure in the defaults, the
// organisations and their services, because one rollout serves all of them. When
// none sets a weight, it is tree.DefaultWeight.
func exposureWeight(t *tree.Tree) float64 {
	weight := 0.0
	include := func(o tree.Overrides) {
		if o.Weights != nil {
			weight = max(weight, o.Weights.Exposure)
		}
	}
	include(t.Defaults)
	for _, o := range t.Organisations {
		include(o.Overrides)
		for _, s := range o.Services {
			include(s.Overrides)
		}
	}
	if weight == 0 {
		return tree.DefaultWeight
	}
	return weight
}

// watched reports whether a version takes part in a running or paused rollout.
func (g *guards) watched(version string) bool { return (*g.byVersion.Load())[version] != nil }

// observe counts one answer, failure or rating of a version.
func (g *guards) observe(version, class string, signal guard.Signal, bad bool) {
	w := (*g.byVersion.Load())[version]
	if w == nil {
		return
	}
	stratum := guard.Stratum{Class: class, Signal: signal}
	if version == w.from {
		w.guard.ObserveBase(stratum, bad)
		return
	}
	w.guard.ObserveCandidate(stratum, bad)
	g.haltIfBad(w)
}

// haltIfBad halts the candidate when its guard has found it worse.
func (g *guards) haltIfBad(w *rolloutGuard) {
	halted, cause := w.guard.Halted()
	if halted && w.halted.CompareAndSwap(false, true) {
		g.halt(w.to, w.rollout, "the guard found it worse than "+w.from+": "+cause.String())
	}
}

// observeServed counts a successful answer and whether it was slow.
func (g *guards) observeServed(o proxy.Outcome) {
	w := (*g.byVersion.Load())[o.Target.Version]
	if w == nil {
		return
	}
	class := classOf(o.Request)
	g.observe(o.Target.Version, class, guard.Errors, false)
	if slow, known := w.slow(o); known {
		g.observe(o.Target.Version, class, guard.Latency, slow)
	}
}

// slow compares the time per token of an answer with the mean of the base version
// on the same upstream, because upstreams differ in speed more than versions do.
// known is false until that mean has enough samples.
func (w *rolloutGuard) slow(o proxy.Outcome) (slow, known bool) {
	if o.CompletionTokens == 0 || o.Total <= 0 {
		return false, false
	}
	value := math.Log(o.Total.Seconds() / float64(o.CompletionTokens))
	w.mu.Lock()
	defer w.mu.Unlock()
	base := w.baseTokenTimes[o.Target.Upstream]
	if base == nil {
		base = &tokenTime{}
		w.baseTokenTimes[o.Target.Upstream] = base
	}
	slow, known = value > base.meanLog+math.Log(slowFactor), base.samples >= minTokenTimeSamples
	if o.Target.Version == w.from {
		base.samples = min(base.samples+1, maxTokenTimeSamples)
		base.meanLog += (value - base.meanLog) / base.samples
	}
	return slow, known
}

func (g *guards) observeFailed(o proxy.Outcome) {
	g.observe(o.Target.Version, classOf(o.Request), guard.Errors, true)
}

func (g *guards) observeRating(q proxy.RouteRequest, t proxy.Target, good bool) {
	g.observe(t.Version, classOf(q), guard.Ratings, !good)
}

// counts returns the counts of this daemon by rollout.
func (g *guards) counts() map[string]guard.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]guard.Counts, len(g.byRollout))
	for id, w := range g.byRollout {
		counts[id] = w.guard.Counts()
	}
	return counts
}

// merge adds the counts of another daemon, which replace its earlier ones.
func (g *guards) merge(from string, counts map[string]guard.Counts) {
	g.mu.Lock()
	byRollout := g.byRollout
	g.mu.Unlock()
	for id, c := range counts {
		if w := byRollout[id]; w != nil {
			w.guard.Merge(from, c)
			g.haltIfBad(w)
		}
	}
}
