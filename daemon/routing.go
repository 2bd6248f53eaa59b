package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/policy"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	// A second call may start when the first one has taken patienceFactor times
	// its predicted time, but not before minPatience, because predictions of
	// short calls vary with the load of the machine.
	patienceFactor = 3
	minPatience    = 500 * time.Millisecond
	// sameZoneDistance and otherZoneDistance are the assumed one-way network
	// latencies to upstreams.
	sameZoneDistance  = 250 * time.Microsecond
	otherZoneDistance = 2 * time.Millisecond
	// ratingSampleRate is the share of answers that is rated for learning. All
	// answers of the versions in a running or paused rollout are rated.
	ratingSampleRate = 0.1
)

// upstreamState is the state of an upstream in the tables of the control loop.
type upstreamState struct {
	// healthy is false after failed probes and while the upstream is leaving.
	healthy bool
	// held lists the versions that the engine reports as loaded; nil before its
	// first report.
	held []string
	// report is the engine's load; nil before its first report.
	report *policy.Report
}

// routing implements proxy.Router on package policy. Goroutines that serve
// requests read an immutable view, which the control loop replaces.
type routing struct {
	planner *policy.Planner
	start   time.Time // zero of the clock of package policy
	zone    string    // availability zone of this daemon
	view    atomic.Pointer[routeView]
	guards  *guards
	hints   *hints
	// observe is called at the end of each call to an upstream.
	observe func(upstream string, sentAt time.Time, err error)

	mu   sync.Mutex
	live map[string]*policy.Live
}

// routeView is the immutable state of versions and upstreams on which routing
// decisions are based. versions and upstreams map ids to indices in the View.
type routeView struct {
	*policy.View
	snapshot  *tree.Snapshot
	versions  map[string]int
	upstreams map[string]int
	usable    map[string]bool
	live      map[string]*policy.Live
}

func newRouting(zone string, g *guards) *routing {
	return &routing{
		planner: policy.New(policy.Options{}),
		start:   time.Now(),
		zone:    zone,
		guards:  g,
		hints:   newHints(),
		live:    make(map[string]*policy.Live),
	}
}

// now returns the time on the clock of package policy.
func (r *routing) now() time.Duration { return time.Since(r.start) }

// liveOf returns the counters of calls to an upstream. They are kept when the
// view is replaced.
func (r *routing) liveOf(id string) *policy.Live {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.live[id]
	if !ok {
		l = &policy.Live{}
		r.live[id] = l
	}
	return l
}

// rebuild builds and publishes a new view. Only the control loop calls it.
func (r *routing) rebuild(s *tree.Snapshot, states map[string]upstreamState, ratingUp bool) {
	v := r.emptyView(s)
	in := policy.Inputs{
		Versions:        make([]policy.VersionSpec, len(v.versions)),
		Upstreams:       make([]policy.UpstreamSpec, len(v.upstreams)),
		RatingAvailable: ratingUp,
	}
	for id, i := range v.versions {
		version := s.Tree().Versions[id]
		in.Versions[i] = policy.VersionSpec{
			ID:              id,
			Model:           version.Model,
			CostPer1kOutput: version.CostPer1kOutputTokens,
			Usable:          version.State != tree.VersionWithdrawn,
		}
	}
	now := r.now()
	for id, up := range s.Tree().Upstreams {
		state, known := states[id]
		usable, live := !up.Draining && (!known || state.healthy), v.live[id]
		v.usable[id] = usable
		live.Sample(now)
		if up.Kind != tree.EngineUpstream {
			continue
		}
		in.Upstreams[v.upstreams[id]] = policy.UpstreamSpec{
			ID:            id,
			Versions:      v.indices(heldVersions(up, state)),
			Slots:         up.Slots,
			OneWayLatency: r.distance(up),
			Usable:        usable,
			Report:        state.report,
			Live:          live,
		}
	}
	in.Hints = r.hints.view(v.upstreams, r.now()-policy.HintLifetime)
	v.View = r.planner.BuildView(in, r.now())
	r.view.Store(v)
}

// emptyView returns a view without upstream states. All views of one snapshot
// share the maps that depend only on the settings.
func (r *routing) emptyView(s *tree.Snapshot) *routeView {
	usable := make(map[string]bool, len(s.Tree().Upstreams))
	if old := r.view.Load(); old != nil && old.snapshot == s {
		return &routeView{snapshot: s, versions: old.versions, upstreams: old.upstreams, live: old.live, usable: usable}
	}
	v := &routeView{
		snapshot:  s,
		versions:  make(map[string]int),
		upstreams: make(map[string]int),
		live:      make(map[string]*policy.Live),
		usable:    usable,
	}
	for id := range s.Tree().Versions {
		v.versions[id] = len(v.versions)
	}
	for id, up := range s.Tree().Upstreams {
		v.live[id] = r.liveOf(id)
		if up.Kind == tree.EngineUpstream {
			v.upstreams[id] = len(v.upstreams)
		}
	}
	return v
}

// heldVersions returns the configured versions of an engine; after its first
// report, only those of them that it has loaded.
func heldVersions(up tree.Upstream, state upstreamState) []string {
	if state.held == nil {
		return up.Versions
	}
	var held []string
	for _, id := range up.Versions {
		if slices.Contains(state.held, id) {
			held = append(held, id)
		}
	}
	return held
}

// distance returns the assumed one-way latency to an upstream.
func (r *routing) distance(up tree.Upstream) time.Duration {
	if up.AvailabilityZone == r.zone {
		return sameZoneDistance
	}
	return otherZoneDistance
}

// indices returns the indices of the versions that the view contains.
func (v *routeView) indices(ids []string) []int {
	list := make([]int, 0, len(ids))
	for _, id := range ids {
		if i, ok := v.versions[id]; ok {
			list = append(list, i)
		}
	}
	return list
}

// Plan implements proxy.Router.
func (r *routing) Plan(q proxy.RouteRequest) (proxy.Plan, error) {
	v := r.view.Load()
	if v == nil {
		return proxy.Plan{}, errkind.New(errkind.NoConfiguration, "this daemon has no view of the upstreams yet")
	}
	req := r.request(v, q, q.Versions)
	return v.convert(r.planner.Choose(v.View, &req, r.now()))
}

// Next implements proxy.Router.
func (r *routing) Next(q proxy.RouteRequest, p proxy.Progress) (proxy.Plan, error) {
	v := r.view.Load()
	versions := q.Versions
	if p.KeepVersion != "" {
		versions = []string{p.KeepVersion}
	}
	req := r.request(v, q, versions)
	progress := policy.Progress{Calls: len(p.Tried)}
	for _, t := range p.Tried {
		if i, ok := v.versions[t.Version]; ok {
			progress.Tried = append(progress.Tried, i)
		}
	}
	if p.Failed != nil {
		if i, ok := v.upstreams[p.Failed.Upstream]; ok {
			progress.Failed, progress.FailedUpstream = true, i
		}
	}
	if p.Held != nil {
		if i, ok := v.versions[p.Held.Target.Version]; ok {
			progress.Held = v.Posterior(req.Class, i, false)
			progress.Tokens = float64(p.Held.CompletionTokens)
		}
	}
	plan, err := v.convert(r.planner.Next(v.View, &req, progress, r.now()))
	if p.KeepVersion != "" && len(plan.Steps) > 1 {
		plan.Steps = plan.Steps[:1]
	}
	return plan, err
}

// request converts q to a request of package policy.
func (r *routing) request(v *routeView, q proxy.RouteRequest, versions []string) policy.Request {
	e := q.Effective
	return policy.Request{
		Organisation:    q.Organisation,
		Class:           classOf(q),
		PromptTokens:    float64(q.PromptTokens),
		Deadline:        q.Deadline.Sub(r.start),
		QualityTarget:   e.QualityTarget,
		LatencyQuantile: e.LatencyQuantile,
		Weights:         policy.Weights{Cost: e.Weights.Cost, Latency: e.Weights.Latency, Exposure: e.Weights.Exposure},
		Priority:        e.Priority,
		RetryBudget:     e.RetryBudget,
		Share:           1,
		Versions:        v.indices(versions),
		Prefix:          q.PrefixHash,
		PrefixShare:     q.PrefixShare,
		Seed:            xxhash.Sum64String(q.RequestID),
	}
}

// Upper bounds of the size classes of requests, in tokens.
const (
	maxShortAnswer  = 128
	maxMiddleAnswer = 512
	maxShortPrompt  = 300
	maxMiddlePrompt = 1200
)

// classOf returns the size class of a request within its service, because quality
// and length of answers differ more between sizes than within one. The size is
// the maximum number of tokens of the answer or, if there is none, the length of
// the prompt.
func classOf(q proxy.RouteRequest) string {
	size, short, middle := q.PromptTokens, maxShortPrompt, maxMiddlePrompt
	if q.MaxTokens > 0 {
		size, short, middle = q.MaxTokens, maxShortAnswer, maxMiddleAnswer
	}
	switch {
	case size <= short:
		return q.Service + "/short"
	case size <= middle:
		return q.Service + "/middle"
	}
	return q.Service + "/long"
}

// convert turns a plan of package policy into one of package proxy.
func (v *routeView) convert(p policy.Plan) (proxy.Plan, error) {
	if p.Refused() {
		return proxy.Plan{}, errkind.New(p.Refusal, "no feasible plan: %s", p.Refusal)
	}
	plan := proxy.Plan{Kind: p.Kind.String(), Priority: p.Priority}
	for i := range p.N {
		call := p.Calls[i]
		id := v.UpstreamID(call.Upstream)
		up, _ := v.snapshot.Upstream(id)
		version := v.VersionID(call.Version)
		info, _ := v.snapshot.Version(version)
		plan.Steps = append(plan.Steps, proxy.Step{
			Target:     proxy.Target{Upstream: id, URL: up.URL, Model: info.Model, Version: version},
			StartAfter: call.StartAfter,
			Patience:   max(minPatience, patienceFactor*call.Expected),
			Rated:      i == 0 && (p.Kind == policy.Cascade || p.Kind == policy.EarlyCascade),
		})
	}
	return plan, nil
}

// Usable implements proxy.Router.
func (r *routing) Usable(t proxy.Target) bool { return r.view.Load().usable[t.Upstream] }

// Started implements proxy.Router.
func (r *routing) Started(_ proxy.RouteRequest, t proxy.Target) { r.liveOf(t.Upstream).Begin() }

// Finished implements proxy.Router.
func (r *routing) Finished(o proxy.Outcome) {
	live := r.liveOf(o.Target.Upstream)
	live.End()
	if o.Cancelled {
		return
	}
	r.observe(o.Target.Upstream, time.Now().Add(-o.Total), o.Err)
	if o.Err != nil {
		r.observeFailed(live, o)
		return
	}
	live.Succeeded()
	served := policy.Served{
		Class:     classOf(o.Request),
		Version:   o.Target.Version,
		Upstream:  o.Target.Upstream,
		Streaming: o.Total - o.FirstToken,
		Tokens:    float64(o.CompletionTokens),
	}
	if live.InFlight() == 0 && o.Request.Stream {
		served.First = o.FirstToken
	}
	r.planner.ObserveServed(served, r.now())
	r.planner.ObserveLength(served.Class, served.Tokens)
	r.guards.observeServed(o)
	r.hints.add(o.Request.PrefixHash, o.Target.Upstream, r.now())
}

// observeFailed attributes a failed call to the upstream, if it is unreachable or
// refused the call, or to the version.
func (r *routing) observeFailed(live *policy.Live, o proxy.Outcome) {
	if upstream.IsUnreachable(o.Err) || errkind.Of(o.Err) == errkind.UpstreamRefused {
		live.Failed(r.now())
		return
	}
	switch errkind.Of(o.Err) {
	case errkind.UpstreamFailed, errkind.UpstreamInvalidAnswer:
		r.guards.observeFailed(o)
	}
}

// Rated implements proxy.Router.
func (r *routing) Rated(q proxy.RouteRequest, t proxy.Target, good bool, delay time.Duration) {
	r.planner.ObserveRating(classOf(q), t.Version, good, delay, r.now())
	r.guards.observeRating(q, t, good)
}

// SampleRating implements proxy.Router.
func (r *routing) SampleRating(_ proxy.RouteRequest, t proxy.Target) bool {
	return r.guards.watched(t.Version) || rand.Float64() < ratingSampleRate
}
