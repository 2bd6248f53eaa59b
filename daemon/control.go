package daemon

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/policy"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	// callResultBuffer bounds the results of calls to upstreams that are
	// queued between two ticks. More are dropped and counted.
	callResultBuffer = 4096
	// ratingBackoff is how long the rating service counts as unavailable after
	// a failed call.
	ratingBackoff = 2 * time.Second
)

// control is the control loop. It owns the tables, runs the systems of package
// control/system in each tick and publishes the view of the upstreams. Results
// of effects arrive through collect, results of calls through calls.
type control struct {
	tick         time.Duration
	vmListPeriod time.Duration
	config       *configuration
	routing      *routing
	upstream     *upstream.Client
	platform     *infra.Client
	advance      func(context.Context, system.Advance) error
	lease        func(now time.Time) system.Lease
	logger       *zap.Logger

	tables       table.Tables
	pacer        viewPacer
	lastSnapshot *tree.Snapshot
	vmsReadAt    time.Time
	// pollCacheEvents is set while the settings have at most maxEventUpstreams
	// upstreams: probes then read the cache events of engines.
	pollCacheEvents atomic.Bool
	// entryVMs is the set of entry VMs in the platform's list; nil before the
	// list was read.
	entryVMs atomic.Pointer[map[string]bool]
	// limits is given the rate limits of each new snapshot.
	limits limiter
	// ratingFailedAt is the Unix time in nanoseconds of the last failed rating.
	ratingFailedAt atomic.Int64

	calls          chan system.CallResult
	droppedResults expvar.Int
	mu             sync.Mutex
	inputs         system.Inputs
	effects        sync.WaitGroup
}

// observe queues the result of a call to an upstream for the next tick. It never
// blocks the goroutine that serves the request.
func (c *control) observe(upstreamID string, sentAt time.Time, err error) {
	select {
	case c.calls <- callResult(upstreamID, sentAt, err):
	default:
		c.droppedResults.Add(1)
	}
}

// collect adds the result of an effect to the inputs of the next tick.
func (c *control) collect(add func(*system.Inputs)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.inputs)
}

// Run runs the systems until ctx ends.
func (c *control) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	defer c.effects.Wait()
	for {
		c.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step runs one tick.
func (c *control) step(ctx context.Context, now time.Time) {
	s := c.config.Snapshot()
	if s == nil {
		return
	}
	if now.Sub(c.vmsReadAt) >= c.vmListPeriod {
		c.vmsReadAt = now
		c.effects.Go(func() { c.readVMs(ctx) })
	}
	c.routing.guards.update(s)
	in := c.drainInputs(s, now)
	for _, e := range system.Tick(&c.tables, now, &in) {
		c.effects.Go(func() { c.performEffect(ctx, e) })
	}
	ratingUp := now.Sub(time.Unix(0, c.ratingFailedAt.Load())) > ratingBackoff
	if c.pacer.due(now, c.tick, s, ratingUp, &c.tables.Upstreams) {
		c.routing.rebuild(s, c.states(), ratingUp)
		c.config.acknowledge(s)
	}
}

// drainInputs returns the inputs collected since the last tick, with the
// current halts and lease, and clears them.
func (c *control) drainInputs(s *tree.Snapshot, now time.Time) system.Inputs {
	c.mu.Lock()
	in := c.inputs
	c.inputs = system.Inputs{}
	c.mu.Unlock()
	if s != c.lastSnapshot {
		c.limits.setLimits(c.lastSnapshot, s)
		c.pollCacheEvents.Store(len(s.Tree().Upstreams) <= maxEventUpstreams)
		c.lastSnapshot, in.Tree = s, s.Tree()
	}
	for range len(c.calls) {
		in.Calls = append(in.Calls, <-c.calls)
	}
	for id, r := range s.Tree().Rollouts {
		if c.config.Halted(r.To, id) {
			in.Halts = append(in.Halts, table.Halt{Version: r.To, Rollout: id})
		}
	}
	in.OrderLease = c.lease(now)
	in.RolloutLease = in.OrderLease
	in.Delegate = c.config.node.Delegate()
	return in
}

// states returns the health and load of each upstream in the tables.
func (c *control) states() map[string]upstreamState {
	states := make(map[string]upstreamState, c.tables.Upstreams.Len())
	for id, u := range c.tables.Upstreams.All() {
		state := upstreamState{healthy: u.Usable()}
		if !u.Load.AsOf.IsZero() {
			state.held = u.Load.Report.Held
			state.report = &policy.Report{
				At:      u.Load.AsOf.Sub(c.routing.start),
				Running: u.Load.Report.Running,
				Queued:  u.Load.Report.Queued,
			}
		}
		states[id] = state
	}
	return states
}

// performEffect makes the call that an effect describes and collects its result.
func (c *control) performEffect(ctx context.Context, e system.Effect) {
	switch e := e.(type) {
	case system.Probe:
		result := c.probe(ctx, e)
		if !result.Failed {
			// A successful probe ends the backoff after failed calls.
			c.routing.liveOf(e.Upstream).Succeeded()
		}
		c.collect(func(in *system.Inputs) { in.Probes = append(in.Probes, result) })
	case system.Transfer:
		result := c.transfer(ctx, e)
		c.collect(func(in *system.Inputs) { in.Transfers = append(in.Transfers, result) })
	case system.SendOrder:
		callCtx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		result := system.OrderResult{Upstream: e.Upstream, Order: e.Order, Kind: kindOf(c.upstream.Order(callCtx, e.URL, e.Order))}
		c.collect(func(in *system.Inputs) { in.Orders = append(in.Orders, result) })
	case system.Advance:
		callCtx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		result := system.AdvanceResult{Rollout: e.Rollout, Kind: kindOf(c.advance(callCtx, e))}
		c.collect(func(in *system.Inputs) { in.Advances = append(in.Advances, result) })
	}
}

// kindOf returns the kind of an error, empty for nil.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.Of(err)
}

// probe checks an upstream: an engine by its load report, any other by GET /.
func (c *control) probe(ctx context.Context, p system.Probe) system.ProbeResult {
	callCtx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	result := system.ProbeResult{Upstream: p.Upstream, SentAt: p.SentAt}
	if p.Kind == tree.EngineUpstream {
		report, err := c.upstream.Load(callCtx, p.URL)
		if err == nil {
			result.Report = &report
		}
		if err == nil && c.pollCacheEvents.Load() {
			c.readCacheEvents(callCtx, p.Upstream, p.URL)
		}
		result.Failed = err != nil
		return result
	}
	_, err := c.upstream.Forward(callCtx, upstream.ServiceCall{
		URL:        p.URL,
		Method:     http.MethodGet,
		Path:       "/",
		Repeatable: true,
		Deadline:   p.SentAt.Add(p.Timeout),
	})
	// The status shows that the service responds.
	result.Failed = err != nil && !errors.Is(err, upstream.ErrNothingSent)
	return result
}

// transfer asks the platform to transfer the weights of a version to an upstream.
func (c *control) transfer(ctx context.Context, t system.Transfer) system.TransferResult {
	callCtx, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	reply, err := c.platform.TransferWeights(callCtx, t.Version, t.Upstream)
	return system.TransferResult{
		Upstream:   t.Upstream,
		Version:    t.Version,
		Admitted:   reply.Admitted,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Failed:     err != nil,
	}
}

// readVMs reads the platform's list of VMs.
func (c *control) readVMs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	vms, complete, err := c.platform.VMs(callCtx)
	if err != nil {
		return // the previous list stays in use
	}
	var entryVMs []string
	for _, vm := range vms {
		if vm.Kind == infra.EntryVM {
			entryVMs = append(entryVMs, member.JoinID(vm.AvailabilityZone, vm.ID))
		}
	}
	c.config.node.SetPlatformList(entryVMs)
	if complete {
		c.storeEntryVMs(entryVMs) // a VM that it lacks loses its shares
	}
	c.collect(func(in *system.Inputs) { in.VMs = vms })
}

// callResult describes the end of a call to the health system.
func callResult(upstreamID string, sentAt time.Time, err error) system.CallResult {
	r := system.CallResult{Upstream: upstreamID, SentAt: sentAt}
	r.Leaving = upstream.IsLeaving(err)
	r.Failed = upstream.IsUnreachable(err)
	return r
}

// recordRatingFailure marks the rating service as unavailable for ratingBackoff.
func (c *control) recordRatingFailure() { c.ratingFailedAt.Store(time.Now().UnixNano()) }
