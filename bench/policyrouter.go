package bench

import (
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

const (
	// retryBudget is the default retry budget of the configuration.
	retryBudget = 0.1
	// mergePeriod is the interval at which daemons exchange what they have learned.
	mergePeriod = time.Second
	// probePeriod is the interval at which daemons probe engines.
	probePeriod = time.Second
	// reportLifetime is the age of a load report above which an engine counts
	// as unreachable.
	reportLifetime = 3 * time.Second
	// tokenRatePeriod is the time after the first token of a call at which its
	// token rate is reported.
	tokenRatePeriod = time.Second
	// fallbackMargin is how long before the deadline a held answer is delivered.
	fallbackMargin = 20 * time.Millisecond
	// streamSlack is the safety factor on the predicted time of a follow-up call.
	// Its answer is streamed only if the time, multiplied by streamSlack, ends
	// before the deadline, and is held until it is complete otherwise.
	streamSlack = 1.3
	// latencyQuantile is the probability with which a plan must meet the deadline.
	latencyQuantile = 0.9
)

// policyRouter routes with package policy, with one planner per daemon.
type policyRouter struct {
	world   *world
	daemons []*policyDaemon
	ticks   int
	// leastOutstanding makes each call go to the engine with the fewest
	// outstanding requests in place of the one that the planner has chosen.
	leastOutstanding bool
}

// policyDaemon is the routing state of one daemon.
type policyDaemon struct {
	router          *policyRouter
	index           int
	planner         *policy.Planner
	view            *policy.View
	live            []*policy.Live // by engine
	ratingAvailable bool
	guard           *rolloutGuard
}

func newPolicyRouter(w *world) *policyRouter {
	p := &policyRouter{world: w}
	for d := range w.daemons() {
		pd := &policyDaemon{
			router: p, index: d, ratingAvailable: true,
			planner: policy.New(policy.Options{RatingAccuracy: w.load.Rating.Accuracy}),
			guard:   newRolloutGuard(w),
		}
		for range w.engines {
			pd.live = append(pd.live, &policy.Live{})
		}
		pd.rebuildView()
		p.daemons = append(p.daemons, pd)
	}
	return p
}

func (p *policyRouter) tick() {
	p.ticks++
	for _, d := range p.daemons {
		for _, l := range d.live {
			l.Sample(p.world.now)
		}
		d.ratingAvailable = p.world.platformReachable(d.index)
	}
	if p.ticks%int(probePeriod/tickPeriod) == 0 {
		p.probe()
	}
	if p.ticks%int(mergePeriod/tickPeriod) == 0 {
		p.mergeSummaries()
	}
	for _, d := range p.daemons {
		d.rebuildView()
	}
}

// probe ends the backoff of engines that are up and reachable.
func (p *policyRouter) probe() {
	for _, d := range p.daemons {
		for i, e := range p.world.engines {
			if !e.down && p.world.reachable(d.index, e) {
				d.live[i].Succeeded()
			}
		}
	}
}

// hasFreshReport reports whether the newest load report of an engine is younger
// than reportLifetime. During the first reportLifetime of a run it is always true.
func (d *policyDaemon) hasFreshReport(e *engine) bool {
	r := d.latestReport(e)
	w := d.router.world
	return r != nil && w.now-r.At < reportLifetime || w.now < reportLifetime
}

// mergeSummaries gives each daemon the summaries and guard counts of the daemons
// that it can reach.
func (p *policyRouter) mergeSummaries() {
	for _, from := range p.daemons {
		s := from.planner.Export()
		counts := from.guard.Counts()
		for _, to := range p.daemons {
			if from != to && p.world.connected(from.index, to.index) {
				to.planner.Merge(fmt.Sprint(from.index), s)
				to.guard.Merge(fmt.Sprint(from.index), counts)
			}
		}
	}
	for _, d := range p.daemons {
		d.checkGuard()
	}
}

// rebuildView builds the planner's view from what the daemon knows of versions,
// engines and cached prefixes.
func (d *policyDaemon) rebuildView() {
	w := d.router.world
	in := policy.Inputs{RatingAvailable: d.ratingAvailable}
	for _, v := range w.load.Versions {
		in.Versions = append(in.Versions, policy.VersionSpec{ID: v.Version, Model: v.Model, CostPer1kOutput: v.CostPer1kOutput, Usable: true})
	}
	for i, e := range w.engines {
		in.Upstreams = append(in.Upstreams, policy.UpstreamSpec{
			ID: e.spec.ID, Versions: versionsOf(w, e), Slots: e.spec.Slots,
			OneWayLatency: w.latency(d.index, e), Usable: d.hasFreshReport(e), Live: d.live[i],
			Report: d.latestReport(e),
		})
	}
	for i := len(w.cacheHints) - 1; i >= 0 && w.now-w.cacheHints[i].at < 20*time.Second; i-- {
		if h := w.cacheHints[i]; h.visibleAt <= w.now && w.reachable(d.index, w.engines[h.engine]) {
			in.Hints = append(in.Hints, policy.PrefixHint{Prefix: h.prefix, Upstream: h.engine, At: h.at})
		}
	}
	for i, j := 0, len(in.Hints)-1; i < j; i, j = i+1, j-1 {
		in.Hints[i], in.Hints[j] = in.Hints[j], in.Hints[i]
	}
	d.view = d.planner.BuildView(in, w.now)
}

// latestReport returns the newest load report of an engine that has reached the
// daemon, or nil.
func (d *policyDaemon) latestReport(e *engine) *policy.Report {
	w := d.router.world
	if !w.reachable(d.index, e) {
		return nil
	}
	visible := w.now - time.Duration(e.spec.LoadReportLagMs*float64(time.Millisecond))
	for i := len(e.samples) - 1; i >= 0; i-- {
		if s := e.samples[i]; s.at <= visible {
			return &policy.Report{At: s.at, Running: s.running, Queued: s.queued}
		}
	}
	return nil
}

func versionsOf(w *world, e *engine) []int {
	list := make([]int, 0, len(e.spec.Versions))
	for _, id := range e.spec.Versions {
		list = append(list, w.versionIndex(id))
	}
	return list
}

func (p *policyRouter) handle(q *request) {
	w := p.world
	class := &w.load.Classes[q.class]
	f := &inFlightRequest{daemon: p.daemons[q.daemon], q: q}
	f.req = policy.Request{
		Organisation: w.load.Organisations[q.organisation].ID, Class: class.Name,
		PromptTokens: q.prompt, Deadline: w.now + q.deadline - w.clientLatency(),
		QualityTarget: class.QualityTarget, LatencyQuantile: latencyQuantile,
		Weights:  policy.Weights{Cost: w.load.Weights.Cost, Latency: w.load.Weights.Latency, Exposure: w.load.Weights.Exposure},
		Priority: requestPriority, Share: 1, RetryBudget: retryBudget,
		Versions: w.allowed(q), Prefix: q.prefix, PrefixShare: q.prefixShare,
		Seed: mix(w.seed ^ uint64(q.id)),
	}
	f.begin()
}
