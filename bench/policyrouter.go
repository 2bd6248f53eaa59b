package bench

import (
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

const (
	// retryBudget is the default of the settings tree.
	retryBudget = 0.1
	// mergePeriod is the period at which daemons exchange what they learned.
	mergePeriod = time.Second
	// probePeriod is the period at which daemons probe engines.
	probePeriod = time.Second
	// reportLifetime is the age of a load report above which an engine counts
	// as unreachable.
	reportLifetime = 3 * time.Second
	// pacePeriod is the time of streaming after which the pace is reported.
	pacePeriod = time.Second
	// fallbackMargin is how long before the deadline an answer at hand is
	// released.
	fallbackMargin = 20 * time.Millisecond
	// streamSlack is the factor on the predicted time that must fit the
	// deadline before a follow-up answer is streamed instead of held back.
	streamSlack   = 1.3
	policyQuality = 0.9
)

// policyRouter drives package policy with one planner per daemon.
type policyRouter struct {
	world   *world
	daemons []*policyDaemon
	ticks   int
	// leastOutstanding replaces the planner's choice of engine.
	leastOutstanding bool
}

// policyDaemon is the decision state of one daemon.
type policyDaemon struct {
	router   *policyRouter
	index    int
	planner  *policy.Planner
	view     *policy.View
	live     []*policy.Live
	ratingUp bool
	guard    *rolloutGuard
}

func newPolicyRouter(w *world) *policyRouter {
	p := &policyRouter{world: w}
	for d := range w.daemons() {
		pd := &policyDaemon{
			router: p, index: d, ratingUp: true,
			planner: policy.New(policy.Options{RatingAccuracy: w.load.Rating.Accuracy}),
			guard:   newRolloutGuard(w),
		}
		for range w.engines {
			pd.live = append(pd.live, &policy.Live{})
		}
		pd.rebuild()
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
		d.ratingUp = p.world.platformReachable(d.index)
	}
	if p.ticks%int(probePeriod/tickPeriod) == 0 {
		p.probe()
	}
	if p.ticks%int(mergePeriod/tickPeriod) == 0 {
		p.exchange()
	}
	for _, d := range p.daemons {
		d.rebuild()
	}
}

// probe ends the backoff of engines that answer again.
func (p *policyRouter) probe() {
	for _, d := range p.daemons {
		for i, e := range p.world.engines {
			if !e.down && p.world.reachable(d.index, e) {
				d.live[i].Succeeded()
			}
		}
	}
}

// heard reports whether the load reports of an engine still arrive.
func (d *policyDaemon) heard(e *engine) bool {
	r := d.report(e)
	w := d.router.world
	return r != nil && w.now-r.At < reportLifetime || w.now < reportLifetime
}

// exchange gives each daemon the summaries of those that it can reach.
func (p *policyRouter) exchange() {
	for _, from := range p.daemons {
		s := from.planner.Export()
		counts := from.guard.Counts()
		for _, to := range p.daemons {
			if from != to && p.world.linked(from.index, to.index) {
				to.planner.Merge(fmt.Sprint(from.index), s)
				to.guard.Merge(fmt.Sprint(from.index), counts)
			}
		}
	}
	for _, d := range p.daemons {
		d.checkGuard()
	}
}

// rebuild compiles a new view from what the daemon can see.
func (d *policyDaemon) rebuild() {
	w := d.router.world
	in := policy.Inputs{RatingAvailable: d.ratingUp}
	for _, v := range w.load.Versions {
		in.Versions = append(in.Versions, policy.VersionSpec{ID: v.Version, Model: v.Model, CostPer1kOutput: v.CostPer1kOutput, Usable: true})
	}
	for i, e := range w.engines {
		in.Upstreams = append(in.Upstreams, policy.UpstreamSpec{
			ID: e.spec.ID, Versions: versionsOf(w, e), Slots: e.spec.Slots,
			OneWayLatency: w.latency(d.index, e), Usable: d.heard(e), Live: d.live[i],
			Report: d.report(e),
		})
	}
	for i := len(w.caches) - 1; i >= 0 && w.now-w.caches[i].at < 20*time.Second; i-- {
		if h := w.caches[i]; h.visible <= w.now && w.reachable(d.index, w.engines[h.engine]) {
			in.Hints = append(in.Hints, policy.PrefixHint{Prefix: h.prefix, Upstream: h.engine, At: h.at})
		}
	}
	for i, j := 0, len(in.Hints)-1; i < j; i, j = i+1, j-1 {
		in.Hints[i], in.Hints[j] = in.Hints[j], in.Hints[i]
	}
	d.view = d.planner.BuildView(in, w.now)
}

// report is the newest load report that has reached the daemon.
func (d *policyDaemon) report(e *engine) *policy.Report {
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

func (p *policyRouter) arrive(q *request) {
	w := p.world
	class := &w.load.Classes[q.class]
	f := &flight{daemon: p.daemons[q.daemon], q: q}
	f.req = policy.Request{
		Organisation: w.load.Organisations[q.organisation].ID, Class: class.Name,
		PromptTokens: q.prompt, Deadline: w.now + q.deadline - w.clientLatency(),
		QualityTarget: class.QualityTarget, LatencyQuantile: policyQuality,
		Weights:  policy.Weights{Cost: w.load.Weights.Cost, Latency: w.load.Weights.Latency, Exposure: w.load.Weights.Exposure},
		Priority: baselinePriority, Share: 1, RetryBudget: retryBudget,
		Versions: w.allowed(q), Prefix: q.prefix, PrefixShare: q.prefixShare,
		Seed: mix(w.seed ^ uint64(q.id)),
	}
	f.begin()
}
