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

// Runs returns what the engines ran of a version, from the given time on; the
// version "" means all.
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

// RunsSent returns what the engines ran of a version that a daemon sent at the
// given time or later. A request that was sent before a cut arrives when the
// cut ends, long after the daemon gave it up; Runs counts it from then on.
func (s *System) RunsSent(version string, from time.Time) []engine.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.Runs(version, from), func(r engine.Run) bool {
		sent, known := s.sent[r.AttemptID]
		return known && sent.Before(from)
	})
}

// recordSent notes when the daemons sent the attempts that reach h.
func (s *System) recordSent(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			// A daemon writes the next request on a connection only after the answer.
			s.mu.Lock()
			s.sent[r.Header.Get(upstream.HeaderAttemptID)] = c.lastSent()
			s.mu.Unlock()
		}
		h.ServeHTTP(w, r)
	})
}

// connKey is the context key of the connection that carries a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Bookings returns how often each idempotency key was executed.
func (s *System) Bookings() map[string]int {
	made := make(map[string]int)
	for _, desk := range s.Desks {
		for _, e := range desk.Executions() {
			made[e.IdempotencyKey]++
		}
	}
	return made
}

// Billed returns the number of requests on the bill of the day.
func (s *System) Billed() int {
	s.T.Helper()
	bill, err := ledger.Settle(s.T.Context(), s.Platform.Store().Objects(), time.Now())
	assert.NilError(s.T, err)
	return int(bill.Organisations[Organisation].Requests)
}

// WaitAccepted waits until the daemon reports a revision as in force everywhere.
func (s *System) WaitAccepted(d *Daemon, revision int64) {
	s.T.Helper()
	status, err := d.Operators.WaitAccepted(s.T.Context(), revision, nil)
	assert.NilError(s.T, err)
	assert.Equal(s.T, status.State, operator.Accepted)
}

// Live returns the daemons that a balancer sends callers to in a zone; the zone "" means all.
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

// StartRollout gives the percentage of new sessions to Candidate and waits until
// that is in force everywhere.
func (s *System) StartRollout(d *Daemon, percent float64) {
	s.T.Helper()
	r, err := d.Operators.Rollout(s.T.Context(), Rollout, "start", operator.Action{
		Reason: "try " + Candidate, From: Base, To: Candidate, Percent: percent, StepPercent: 1, StepSeconds: 3600,
	})
	assert.NilError(s.T, err)
	s.WaitAccepted(d, r.Revision)
}

// Withdraw withdraws a version and returns the revision.
func (s *System) Withdraw(d *Daemon, version, successor string) int64 {
	s.T.Helper()
	r, err := d.Operators.Withdraw(s.T.Context(), version, operator.Action{
		Reason: "withdraw " + version, Successor: successor, WithoutSuccessor: successor == "",
	})
	assert.NilError(s.T, err)
	return r.Revision
}

// Accepted tells whether the daemon reports a revision as in force everywhere.
func (s *System) Accepted(d *Daemon, revision int64) bool {
	s.T.Helper()
	status, err := d.Operators.ChangeStatus(s.T.Context(), revision)
	assert.NilError(s.T, err)
	return status.State == operator.Accepted
}

// Restore brings an engine back after a kill, a freeze or a cut.
func (s *System) Restore(id string) {
	s.Engines[id].SetFaults(engine.Faults{})
	s.Net.HealAll()
	if h := s.hosts[id]; s.Net.Dead(h) {
		s.hosts[id] = s.Net.Replace(h)
		s.serve(s.hosts[id], s.recordSent(s.Engines[id]))
	}
}

// Retire takes a daemon out of the balancer and off the platform's list.
func (s *System) Retire(d *Daemon) {
	s.mu.Lock()
	d.retired = true
	s.mu.Unlock()
	s.VMs = slices.DeleteFunc(slices.Clone(s.VMs), func(vm infra.VM) bool {
		return vm.AvailabilityZone+"/"+vm.ID == d.ID
	})
	s.Platform.SetVMs(s.VMs)
}

// Join adds a new VM with a daemon.
func (s *System) Join(zone, vm string) *Daemon {
	s.T.Helper()
	s.list(vm, zone, infra.EntryVM)
	s.Platform.SetVMs(s.VMs)
	d := s.newDaemon(s.Net.NewHost(zone+"/"+vm, zone), zone, vm)
	// The balancer sends callers only to a daemon that says it is ready.
	for limit := time.Now().Add(joinLimit); !d.ready(); time.Sleep(joinLook) {
		assert.Assert(s.T, time.Now().Before(limit), "%s is not ready after %v", d.ID, joinLimit)
	}
	s.replace(d)
	return d
}

const (
	// joinLimit is the time in which a new daemon must be ready, joinLook the pause
	// between two questions of the balancer.
	joinLimit = 5 * time.Second
	joinLook  = 100 * time.Millisecond
)

// ready asks the daemon as the balancer does.
func (d *Daemon) ready() bool {
	resp, err := d.system.http.Get("http://" + d.Host.IP + ":2/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
