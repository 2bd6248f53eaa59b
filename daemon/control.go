package daemon

import (
	"context"
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
	// callResults bounds the results of calls between two ticks; more are
	// dropped and counted.
	callResults = 4096
	// ratingRetry is how long the rating service counts as unavailable after
	// it gave no answer.
	ratingRetry = 2 * time.Second
)

// control is the control goroutine: it owns the tables, runs the systems each
// tick and publishes the view of the upstreams. Results of effects and of calls
// come in through collect and calls.
type control struct {
	tick     time.Duration
	vmsEvery time.Duration
	config   *configuration
	routing  *routing
	upstream *upstream.Client
	platform *infra.Client
	advance  func(context.Context, system.Advance) error
	lease    func(now time.Time) system.Lease
	logger   *zap.Logger

	tables table.Tables
	pace   viewPace
	known  *tree.Snapshot
	vmsAt  time.Time
	// fewEngines says that cache events are read.
	fewEngines atomic.Bool
	// entry holds the entry VMs of the platform's list, nil before the first.
	entry atomic.Pointer[map[string]bool]
	// limits is told of each new snapshot.
	limits limiter
	// ratingFailedAt is when the rating service last gave no answer, in
	// nanoseconds of the Unix clock.
	ratingFailedAt atomic.Int64

	calls   chan system.CallResult
	dropped expvar.Int
	mu      sync.Mutex
	inputs  system.Inputs
	effects sync.WaitGroup
}

// observe takes the result of a call from a traffic goroutine.
func (c *control) observe(upstreamID string, sentAt time.Time, err error) {
	select {
	case c.calls <- callResult(upstreamID, sentAt, err):
	default:
		c.dropped.Add(1)
	}
}

// collect adds results of effects to the inputs of the next tick.
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
	if now.Sub(c.vmsAt) >= c.vmsEvery {
		c.vmsAt = now
		c.effects.Go(func() { c.readVMs(ctx) })
	}
	c.routing.guards.update(s)
	in := c.takeInputs(s, now)
	for _, e := range system.Tick(&c.tables, now, &in) {
		c.effects.Go(func() { c.carryOut(ctx, e) })
	}
	ratingUp := now.Sub(time.Unix(0, c.ratingFailedAt.Load())) > ratingRetry
	if c.pace.due(now, c.tick, s, ratingUp, &c.tables.Upstreams) {
		c.routing.rebuild(s, c.states(), ratingUp)
	}
}

// takeInputs returns what has arrived since the last tick.
func (c *control) takeInputs(s *tree.Snapshot, now time.Time) system.Inputs {
	c.mu.Lock()
	in := c.inputs
	c.inputs = system.Inputs{}
	c.mu.Unlock()
	if s != c.known {
		c.limits.setLimits(c.known, s)
		c.fewEngines.Store(len(s.Tree().Upstreams) <= eventUpstreams)
		c.known, in.Tree = s, s.Tree()
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

// states is what the tables say about the upstreams.
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

// carryOut makes the call of an effect and collects its result.
func (c *control) carryOut(ctx context.Context, e system.Effect) {
	switch e := e.(type) {
	case system.Probe:
		result := c.probe(ctx, e)
		if !result.Failed {
			// Ends the backoff after failed calls.
			c.routing.liveOf(e.Upstream).Succeeded()
		}
		c.collect(func(in *system.Inputs) { in.Probes = append(in.Probes, result) })
	case system.Transfer:
		result := c.transfer(ctx, e)
		c.collect(func(in *system.Inputs) { in.Transfers = append(in.Transfers, result) })
	case system.SendOrder:
		limited, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		result := system.OrderResult{Upstream: e.Upstream, Order: e.Order, Kind: kindOf(c.upstream.Order(limited, e.URL, e.Order))}
		c.collect(func(in *system.Inputs) { in.Orders = append(in.Orders, result) })
	case system.Advance:
		limited, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		result := system.AdvanceResult{Rollout: e.Rollout, Kind: kindOf(c.advance(limited, e))}
		c.collect(func(in *system.Inputs) { in.Advances = append(in.Advances, result) })
	}
}

// kindOf is empty for a success.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.Of(err)
}

func (c *control) probe(ctx context.Context, p system.Probe) system.ProbeResult {
	limited, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	result := system.ProbeResult{Upstream: p.Upstream, SentAt: p.SentAt}
	if p.Kind == tree.EngineUpstream {
		report, err := c.upstream.Load(limited, p.URL)
		if err == nil {
			result.Report = &report
		}
		if err == nil && c.fewEngines.Load() {
			c.readEvents(limited, p.Upstream, p.URL)
		}
		result.Failed = err != nil
		return result
	}
	_, err := c.upstream.Forward(limited, upstream.ServiceCall{
		URL:        p.URL,
		Method:     http.MethodGet,
		Path:       "/",
		Repeatable: true,
		Deadline:   p.SentAt.Add(p.Timeout),
	})
	result.Failed = err != nil
	return result
}

func (c *control) transfer(ctx context.Context, t system.Transfer) system.TransferResult {
	limited, cancel := context.WithTimeout(ctx, t.Timeout)
	defer cancel()
	reply, err := c.platform.TransferWeights(limited, t.Version, t.Upstream)
	return system.TransferResult{
		Upstream:   t.Upstream,
		Version:    t.Version,
		Admitted:   reply.Admitted,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Failed:     err != nil,
	}
}

// readVMs reads the platform's list.
func (c *control) readVMs(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	vms, err := c.platform.VMs(limited)
	if err != nil {
		return // the last list stays in force
	}
	var entry []string
	for _, vm := range vms {
		if vm.Kind == infra.EntryVM {
			entry = append(entry, member.JoinID(vm.AvailabilityZone, vm.ID))
		}
	}
	c.config.node.SetPlatformList(entry)
	c.noteEntryVMs(entry)
	c.collect(func(in *system.Inputs) { in.VMs = vms })
}

// callResult describes the end of a call to the health system.
func callResult(upstreamID string, sentAt time.Time, err error) system.CallResult {
	r := system.CallResult{Upstream: upstreamID, SentAt: sentAt}
	r.Leaving = upstream.IsLeaving(err)
	r.Failed = upstream.IsUnreachable(err)
	return r
}

// ratingFailed notes that the rating service gave no answer.
func (c *control) ratingFailed() { c.ratingFailedAt.Store(time.Now().UnixNano()) }
