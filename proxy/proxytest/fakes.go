package proxytest

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
)

// Router is a scripted proxy.Router. It is safe for concurrent use.
type Router struct {
	// Snapshot returns the settings that hold the upstreams.
	Snapshot func() *tree.Snapshot
	// Steps is the first plan. Without steps, the first version of the request
	// runs on the first engine that holds it.
	Steps []proxy.Step
	// NextPlans are the plans that Next returns, in order.
	NextPlans []proxy.Plan
	// BeforeWrite is called by Usable, which runs immediately before a request
	// is written.
	BeforeWrite func()

	mu       sync.Mutex
	progress []proxy.Progress
}

// Plan implements proxy.Router.
func (r *Router) Plan(q proxy.RouteRequest) (proxy.Plan, error) {
	if len(r.Steps) > 0 {
		return proxy.Plan{Kind: "scripted", Steps: r.Steps}, nil
	}
	version, ok := r.Snapshot().Version(q.Versions[0])
	for _, up := range r.Snapshot().UpstreamsOf(q.Service, q.Versions[0]) {
		if ok {
			target := proxy.Target{Upstream: up.ID, URL: up.URL, Model: version.Model, Version: q.Versions[0]}
			return proxy.Plan{Kind: "first", Steps: []proxy.Step{{Target: target}}}, nil
		}
	}
	return proxy.Plan{}, errkind.New(errkind.NoCapacity, "no engine holds version %q", q.Versions[0])
}

// Next implements proxy.Router.
func (r *Router) Next(_ proxy.RouteRequest, p proxy.Progress) (proxy.Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress = append(r.progress, p)
	if len(r.NextPlans) == 0 {
		return proxy.Plan{}, errkind.New(errkind.RetryBudgetSpent, "no further plan")
	}
	next := r.NextPlans[0]
	r.NextPlans = r.NextPlans[1:]
	return next, nil
}

// Progress returns the arguments of the calls of Next, in order.
func (r *Router) Progress() []proxy.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.progress)
}

// Usable implements proxy.Router.
func (r *Router) Usable(t proxy.Target) bool {
	if r.BeforeWrite != nil {
		r.BeforeWrite()
	}
	up, ok := r.Snapshot().Upstream(t.Upstream)
	return ok && !up.Draining
}

// Started implements proxy.Router.
func (r *Router) Started(proxy.RouteRequest, proxy.Target) {}

// Finished implements proxy.Router.
func (r *Router) Finished(proxy.Outcome) {}

// Rated implements proxy.Router.
func (r *Router) Rated(proxy.RouteRequest, proxy.Target, bool, time.Duration) {}

// SampleRating implements proxy.Router.
func (r *Router) SampleRating(proxy.RouteRequest, proxy.Target) bool { return false }

// ServiceTarget implements proxy.Router.
func (r *Router) ServiceTarget(service string, tried []string) (proxy.Target, error) {
	for _, up := range r.Snapshot().UpstreamsOfService(service) {
		if !slices.Contains(tried, up.ID) {
			return proxy.Target{Upstream: up.ID, URL: up.URL}, nil
		}
	}
	return proxy.Target{}, errkind.New(errkind.NoCapacity, "no instance of service %q", service)
}

// ServiceFinished implements proxy.Router.
func (r *Router) ServiceFinished(proxy.Target, error) {}

// Evidence is a proxy.Evidence that covers every revision until Lapsed is set.
type Evidence struct{ Lapsed atomic.Bool }

// Covers implements proxy.Evidence.
func (e *Evidence) Covers(int64) bool { return !e.Lapsed.Load() }

// Halts is a proxy.Halts that halts versions regardless of the rollout.
type Halts struct{ versions sync.Map }

// Halt halts a version.
func (h *Halts) Halt(version string) { h.versions.Store(version, true) }

// Halted implements proxy.Halts.
func (h *Halts) Halted(version, _ string) bool {
	_, halted := h.versions.Load(version)
	return halted
}

// Limiter is a proxy.Limiter without limits.
type Limiter struct{}

// Admit implements proxy.Limiter.
func (Limiter) Admit(*tree.Effective, int) (func(int), error) { return func(int) {}, nil }

// Biller is a proxy.Biller that keeps all usage records in memory.
type Biller struct {
	// Err is returned by Add.
	Err error

	mu    sync.Mutex
	usage []proxy.Usage
}

// Reserve implements proxy.Biller.
func (b *Biller) Reserve() (proxy.Reservation, error) { return b, nil }

// Cancel implements proxy.Reservation.
func (b *Biller) Cancel() {}

// Add implements proxy.Reservation.
func (b *Biller) Add(_ context.Context, u proxy.Usage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Err == nil {
		b.usage = append(b.usage, u)
	}
	return b.Err
}

// Usage returns all usage records.
func (b *Biller) Usage() []proxy.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.usage)
}

// Rater is a proxy.Rater with fixed ratings.
type Rater struct {
	// BadVersions lists the versions whose responses are rated as not good.
	BadVersions []string
	// Err is returned by Rate.
	Err error
}

// Rate implements proxy.Rater.
func (r *Rater) Rate(_ context.Context, j proxy.RatingRequest) (bool, error) {
	return !slices.Contains(r.BadVersions, j.Version), r.Err
}
