package daemontest

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/upstream"
)

// Runs returns the runs of a version that began on the engines at the given time
// or later. The version "" means all versions.
func (s *System) Runs(version string, from time.Time) []engine.Run {
	var runs []engine.Run
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if !r.At.Before(from) && (version == "" || r.Version == version) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// RunsSent returns the runs of a version that a daemon sent at the given time or
// later. A request that is sent before or during a cut arrives when the cut
// ends, long after the daemon gave it up. Runs goes by the time of arrival.
func (s *System) RunsSent(version string, from time.Time) []engine.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.Runs(version, from), func(r engine.Run) bool {
		sent, known := s.sendTimes[r.AttemptID]
		return known && sent.Before(from)
	})
}

// recordSendTimes wraps h and records when a daemon sent each attempt that
// reaches h.
func (s *System) recordSendTimes(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			// A daemon sends the next request on a connection only after it has
			// received the answer, so the last write belongs to this request.
			s.mu.Lock()
			s.sendTimes[r.Header.Get(upstream.HeaderAttemptID)] = c.lastPeerWrite()
			s.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// connKey is the context key of the *conn that carries a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Bookings returns the number of executions at the plain services by idempotency
// key.
func (s *System) Bookings() map[string]int {
	executions := make(map[string]int)
	for _, desk := range s.Desks {
		for _, e := range desk.Executions() {
			executions[e.IdempotencyKey]++
		}
	}
	return executions
}

// Billed returns the number of requests of Organisation on the bill of the
// current day.
func (s *System) Billed() int {
	s.T.Helper()
	bill, err := ledger.Settle(s.T.Context(), s.Platform.Store().Objects(), time.Now())
	assert.NilError(s.T, err)
	return int(bill.Organisations[Organisation].Requests)
}

// WaitAccepted waits until the daemon reports that a revision is in force on all
// daemons.
func (s *System) WaitAccepted(d *Daemon, revision int64) {
	s.T.Helper()
	status, err := d.Operators.WaitAccepted(s.T.Context(), revision, nil)
	assert.NilError(s.T, err)
	assert.Equal(s.T, status.State, operator.Accepted)
}

// Live returns the daemons of a zone to which a load balancer sends clients. The
// zone "" means all zones.
func (s *System) Live(zone string) []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*Daemon
	for _, d := range s.Daemons {
		if (zone == "" || d.Zone == zone) && !d.retired && !s.Net.Dead(d.Host) {
			live = append(live, d)
		}
	}
	return live
}

// StartRollout starts a rollout that gives percent of the new sessions to
// Candidate, and waits until it is in force on all daemons.
func (s *System) StartRollout(d *Daemon, percent float64) {
	s.T.Helper()
	r, err := d.Operators.Rollout(s.T.Context(), Rollout, "start", operator.Action{
		Reason: "try " + Candidate, From: Base, To: Candidate, Percent: percent, StepPercent: 1, StepSeconds: 3600,
	})
	assert.NilError(s.T, err)
	s.WaitAccepted(d, r.Revision)
}

// Withdraw withdraws a version and returns the revision of the change. An empty
// successor means that no version takes its place.
func (s *System) Withdraw(d *Daemon, version, successor string) int64 {
	s.T.Helper()
	r, err := d.Operators.Withdraw(s.T.Context(), version, operator.Action{
		Reason: "withdraw " + version, Successor: successor, WithoutSuccessor: successor == "",
	})
	assert.NilError(s.T, err)
	return r.Revision
}

// Accepted reports whether the daemon states that a revision is in force on all
// daemons.
func (s *System) Accepted(d *Daemon, revision int64) bool {
	s.T.Helper()
	status, err := d.Operators.ChangeStatus(s.T.Context(), revision)
	assert.NilError(s.T, err)
	return status.State == operator.Accepted
}

// Restore removes the faults of an engine and all cuts, and replaces the
// engine's host if it was killed.
func (s *System) Restore(id string) {
	s.Engines[id].SetFaults(engine.Faults{})
	s.Net.HealAll()
	if h := s.upstreamHosts[id]; s.Net.Dead(h) {
		s.upstreamHosts[id] = s.Net.Replace(h)
		s.serve(s.upstreamHosts[id], s.recordSendTimes(s.Engines[id]))
	}
}

// Retire removes a daemon from the load balancer and from the platform's list of
// VMs.
func (s *System) Retire(d *Daemon) {
	s.mu.Lock()
	d.retired = true
	s.mu.Unlock()
	s.VMs = slices.DeleteFunc(slices.Clone(s.VMs), func(vm infra.VM) bool {
		return vm.AvailabilityZone+"/"+vm.ID == d.ID
	})
	s.Platform.SetVMs(s.VMs)
}

// Join starts a daemon on a new VM and returns it once it is ready.
func (s *System) Join(zone, vm string) *Daemon {
	s.T.Helper()
	s.addVM(vm, zone, infra.EntryVM)
	s.Platform.SetVMs(s.VMs)
	d := s.newDaemon(s.Net.NewHost(zone+"/"+vm, zone), zone, vm)
	// A load balancer sends clients only to a daemon that reports readiness.
	for limit := time.Now().Add(readyTimeout); !d.ready(); time.Sleep(readyPollInterval) {
		assert.Assert(s.T, time.Now().Before(limit), "%s is not ready after %v", d.ID, readyTimeout)
	}
	s.register(d)
	return d
}

const (
	// readyTimeout is the time in which a new daemon must become ready.
	readyTimeout = 5 * time.Second
	// readyPollInterval is the time between two readiness checks.
	readyPollInterval = 100 * time.Millisecond
)

// ready queries the readiness endpoint, as a load balancer does.
func (d *Daemon) ready() bool {
	resp, err := d.system.http.Get("http://" + d.Host.IP + ":2/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
