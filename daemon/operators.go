package daemon

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"slices"
	"strings"

	"github.com/oklog/run"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/tree"
)

var (
	errNoConfiguration = errors.New("no configuration received yet")
	errDraining        = errors.New("shutting down")
)

// operatorServer builds the handler of the operators' API.
func (d *Daemon) operatorServer() http.Handler {
	vars, counters := d.vars(), new(expvar.Map).Init()
	vars.Set("operator", counters)
	return operator.New(operator.Options{
		Log:        d.config.log,
		Acceptance: d.acceptance,
		Halter:     halter{d},
		Status:     d,
		Snapshot:   d.config.Snapshot,
		Ready:      d.readiness,
		Tokens:     d.opts.Settings.OperatorTokens,
		Vars:       varsHandler(vars),
		Counters:   counters,
		Logger:     d.logger,
	})
}

// readiness returns the reason why the load balancer should not send requests to
// this daemon, or nil.
func (d *Daemon) readiness() error {
	switch {
	case d.draining.Load():
		return errDraining
	case d.config.Snapshot() == nil || d.routing.view.Load() == nil:
		return errNoConfiguration
	}
	return nil
}

// halter implements operator.Halter.
type halter struct{ d *Daemon }

// Halt implements operator.Halter.
func (h halter) Halt(ctx context.Context, mark operator.Halt, reason string) error {
	return errkind.Wrap(errkind.Internal, h.d.config.halt(ctx, mark.Version, mark.Rollout, reason))
}

// Status implements operator.StatusSource.
func (d *Daemon) Status() operator.Status {
	s := d.opts.Settings
	status := operator.Status{
		VM:               s.VM,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		EvidenceAgeMs:    -1,
		Isolated:         !d.config.evidenceLease.Valid(),
		Draining:         d.draining.Load(),
		RequestsInFlight: d.proxy.InFlight(),
	}
	if _, age, ok := d.config.evidenceLease.Evidence(); ok {
		status.EvidenceAgeMs = age.Milliseconds()
	}
	if snapshot := d.config.Snapshot(); snapshot != nil {
		status.Revision, status.Hash = snapshot.Revision(), snapshot.Hash()
		status.Upstreams = d.upstreamStatus(snapshot)
	}
	for _, mark := range d.config.node.Halts() {
		version, rollout, _ := strings.Cut(mark.Key, "@")
		status.Halts = append(status.Halts, operator.Halt{Version: version, Rollout: rollout})
	}
	for _, vm := range d.config.members.Members() {
		status.Members = append(status.Members, operator.Member{VM: vm.ID, AvailabilityZone: vm.AvailabilityZone()})
	}
	return status
}

// States of an upstream in operator.UpstreamStatus.
const (
	upstreamLive    = "live"
	upstreamLeaving = "leaving"
	upstreamDown    = "down"
)

func (d *Daemon) upstreamStatus(s *tree.Snapshot) []operator.UpstreamStatus {
	v := d.routing.view.Load()
	var list []operator.UpstreamStatus
	for id, up := range s.Tree().Upstreams {
		state := upstreamLive
		switch {
		case up.Draining:
			state = upstreamLeaving
		case v != nil && !v.usable[id]:
			state = upstreamDown
		}
		list = append(list, operator.UpstreamStatus{
			ID:               id,
			AvailabilityZone: up.AvailabilityZone,
			Versions:         up.Versions,
			State:            state,
			InFlight:         int64(d.routing.liveOf(id).InFlight()),
		})
	}
	slices.SortFunc(list, func(a, b operator.UpstreamStatus) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// vars collects the counters of all components.
func (d *Daemon) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("proxy", d.proxy.Vars())
	m.Set("claims", expvar.Func(func() any { return d.claimer.Stats() }))
	m.Set("ledger", expvar.Func(func() any { return d.ledger.Stats() }))
	m.Set("callers", expvar.Func(func() any { return d.callerLimit.Usage() }))
	m.Set("operators", expvar.Func(func() any { return d.operatorLimit.Usage() }))
	m.Set("peers", expvar.Func(func() any { return d.peerConns.Usage() }))
	m.Set("shares", expvar.Func(func() any { return d.shares.Stats() }))
	m.Set("peer_client", d.peerClient.Counters.Var())
	m.Set("peer_server", d.peerServer.Counters.Var())
	m.Set("control_results_dropped", &d.control.droppedResults)
	m.Set("spread", expvar.Func(func() any { return d.config.node.Counters() }))
	m.Set("members", expvar.Func(func() any { return d.config.members.Counters() }))
	m.Set("change_log_rejections", expvar.Func(func() any { return d.config.follower.Rejected() }))
	m.Set("evidence_age_ms", expvar.Func(func() any { return d.config.evidenceLease.Age().Milliseconds() }))
	return m
}

// varsHandler publishes the counters of one daemon together with those of the
// process; several daemons in one process have a map each.
func varsHandler(m *expvar.Map) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		all := new(expvar.Map).Init()
		expvar.Do(func(kv expvar.KeyValue) { all.Set(kv.Key, kv.Value) })
		all.Set("savoryshift", m)
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A write error means that the client has disconnected.
		_, _ = w.Write([]byte(all.String()))
	})
}

// addOperators adds the operator listener.
func (d *Daemon) addOperators(g *run.Group) {
	b := d.opts.Settings.Bounds
	server := &http.Server{
		Handler:        d.operatorServer(),
		MaxHeaderBytes: int(b.HeaderBytes),
	}
	d.operatorLimit.Attach(server, d.operatorConns, refuseClient)
	g.Add(func() error {
		if err := server.Serve(d.opts.Operators); err != http.ErrServerClosed {
			return oops.Wrapf(err, "operator listener")
		}
		return nil
	}, func(error) { _ = server.Close() })
}
