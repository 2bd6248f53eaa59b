package daemontest_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
)

const (
	// propagationTime is the time within which a change must take effect.
	propagationTime = 5 * time.Second
	// cutZone is the zone that the tests cut off from others.
	cutZone = "zc"
	// trafficPeriod is the time between two requests to a daemon.
	trafficPeriod = 250 * time.Millisecond
)

// zoneCut is a partition of cutZone from the other zones, the platform or both.
type zoneCut struct {
	name                    string
	fromZones, fromPlatform bool
}

var zoneCuts = []zoneCut{{"from zones", true, false}, {"from the platform", false, true}, {"from both", true, true}}

func (c zoneCut) apply(s *daemontest.System) {
	if c.fromPlatform {
		s.Net.Cut(cutZone, daemontest.PlatformHost)
	}
	if c.fromZones {
		s.Net.Cut(cutZone, "za")
		s.Net.Cut(cutZone, "zb")
	}
}

func (c zoneCut) isolates() bool { return c.fromPlatform && c.fromZones }

// Guards invariants 1, 2, 6 and 10 while a zone is cut off. A zone that reaches
// the platform or the other zones has evidence of the configuration and goes on
// serving all versions. A zone that reaches neither serves only settled versions.
// A zone without the platform refuses bookings, and they have not run. A
// withdrawn version gets no new requests propagationTime after the withdrawal.
func TestZoneCutOff(t *testing.T) {
	for _, c := range zoneCuts {
		t.Run(c.name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				late := withdrawWhileCut(t, s, c)
				assert.Equal(t, late, 0)
			})
		})
	}
}

// Negative control of TestZoneCutOff: evidence leases last an hour, so a zone
// that is cut off must still run the withdrawn version.
func TestZoneCutOffWithoutLeaseExpiry(t *testing.T) {
	o := daemontest.Options{Settings: func(f *settings.Settings) { f.Periods.EvidenceLeaseMs = 3_600_000 }}
	run(t, o, func(t *testing.T, s *daemontest.System) {
		s.StartRollout(s.Daemons[0], 100)
		traffic := s.StartTraffic(trafficPeriod)
		zoneCuts[2].apply(s)
		time.Sleep(propagationTime)
		s.Withdraw(s.Daemons[0], daemontest.Candidate, daemontest.Base)
		withdrawn := time.Now()
		time.Sleep(2 * propagationTime)
		traffic.Stop()
		assert.Assert(t, len(s.Runs(daemontest.Candidate, withdrawn.Add(propagationTime))) > 0)
	})
}

// withdrawWhileCut withdraws the candidate while cutZone is cut off. It returns
// how often the candidate ran more than propagationTime after the withdrawal.
func withdrawWhileCut(t *testing.T, s *daemontest.System, c zoneCut) (late int) {
	s.StartRollout(s.Daemons[0], 100)
	traffic := s.StartTraffic(trafficPeriod)
	time.Sleep(time.Second)
	c.apply(s)
	time.Sleep(propagationTime)

	cutOff := s.Live(cutZone)[0]
	checkServedVersion(t, cutOff, c.isolates())
	checkBooking(t, s, cutOff, c)

	revision := s.Withdraw(s.Daemons[0], daemontest.Candidate, daemontest.Base)
	withdrawn := time.Now()
	time.Sleep(propagationTime)
	late = len(s.Runs(daemontest.Candidate, withdrawn.Add(propagationTime)))
	time.Sleep(propagationTime)
	s.Net.HealAll()
	time.Sleep(propagationTime)
	late += len(s.Runs(daemontest.Candidate, withdrawn.Add(propagationTime)))
	calls := traffic.Stop()
	// A candidate is not usable in isolation, so the daemons in cutZone need not
	// acknowledge the change.
	assert.Assert(t, s.Accepted(s.Daemons[0], revision))
	for _, call := range calls {
		assert.Assert(t, call.Answer.Complete, "%s at %v: %+v", call.Daemon.ID, call.At, call.Answer)
	}
	checkCaughtUp(t, s, revision)
	return late
}

// checkServedVersion requires a new session to run on the candidate or, at an
// isolated daemon, on the base version.
func checkServedVersion(t *testing.T, d *daemontest.Daemon, isolated bool) {
	t.Helper()
	want := daemontest.Candidate
	if isolated {
		want = daemontest.Base
	}
	a := d.Chat(daemontest.Chat{Prompt: "which version", Session: "new"})
	assert.Assert(t, a.Complete, "%+v", a)
	assert.Equal(t, a.Version, want)
	status, err := d.Operators.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Isolated, isolated)
}

// checkBooking requires a booking to be answered or, while the platform is cut
// off, to be refused without having run.
func checkBooking(t *testing.T, s *daemontest.System, d *daemontest.Daemon, c zoneCut) {
	t.Helper()
	const key = "while-cut"
	a := d.Book(key, time.Second)
	if !c.fromPlatform {
		assert.Assert(t, a.Complete, "%+v", a)
		return
	}
	assert.Equal(t, a.Ran, errkind.RanNo, "%+v", a)
	assert.Equal(t, s.Bookings()[key], 0)
}

// checkCaughtUp requires all live daemons to have reached the revision and not to
// be isolated.
func checkCaughtUp(t *testing.T, s *daemontest.System, revision int64) {
	t.Helper()
	for _, d := range s.Live("") {
		status, err := d.Operators.Status(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, status.Revision >= revision, "%s is at %d", d.ID, status.Revision)
		assert.Assert(t, !status.Isolated, d.ID)
	}
}

// Guards invariant 10: the withdrawal of a settled version must not be reported
// as accepted while a daemon that is cut off may run the version, and must be
// reported as accepted once the partition has ended.
func TestAcceptedOnlyWhenNoDaemonCanRunIt(t *testing.T) {
	for _, c := range zoneCuts {
		t.Run(c.name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				ran, accepted := withdrawSettledWhileCut(s, c, func() {})
				assert.Assert(t, accepted)
				assert.Equal(t, ran, 0)
			})
		})
	}
}

// Negative control of TestAcceptedOnlyWhenNoDaemonCanRunIt: the platform's list
// lacks the entry VMs that are cut off, so the withdrawal must be reported as
// accepted while they still run the version.
func TestAcceptedWithIncompleteVMList(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		ran, _ := withdrawSettledWhileCut(s, zoneCuts[2], func() {
			// The engines stay listed, or the zone would have none to run the version on.
			s.Platform.SetVMs(slices.DeleteFunc(s.VMs, func(vm infra.VM) bool {
				return vm.AvailabilityZone == cutZone && vm.Kind == infra.EntryVM
			}))
		})
		t.Logf("%d runs after the withdrawal was reported as accepted", ran)
		assert.Assert(t, ran > 0)
	})
}

// withdrawSettledWhileCut withdraws a settled version while cutZone is cut off.
// It returns whether the withdrawal was reported as accepted, and how many
// requests daemons sent to the version after that report. Requests that were sent
// before the cut and arrive at its end do not count, because the sender gave them
// up long before.
func withdrawSettledWhileCut(s *daemontest.System, c zoneCut, before func()) (ran int, accepted bool) {
	traffic := s.StartTraffic(trafficPeriod)
	defer traffic.Stop()
	before()
	time.Sleep(propagationTime)
	c.apply(s)
	time.Sleep(propagationTime)
	revision := s.Withdraw(s.Daemons[0], daemontest.Base, "")
	start, acceptedAt := time.Now(), time.Time{}
	for healed := false; time.Since(start) < 40*time.Second; time.Sleep(50 * time.Millisecond) {
		if !healed && time.Since(start) > 25*time.Second {
			s.Net.HealAll()
			healed = true
		}
		for _, d := range s.Live("za") {
			if acceptedAt.IsZero() && s.Accepted(d, revision) {
				acceptedAt = time.Now()
			}
		}
	}
	if acceptedAt.IsZero() {
		return 0, false
	}
	runs := s.RunsSent(daemontest.Base, acceptedAt)
	for _, r := range runs {
		s.T.Logf("ran %v after the withdrawal was reported as accepted: %+v", r.At.Sub(acceptedAt), r)
	}
	return len(runs), true
}

// Guards invariant 2 for a halted rollout: within propagationTime the candidate
// must get no new requests, in whichever zone the halt is set and whichever daemon
// holds the control lease, including in zones that are cut from the zone of the
// halt.
func TestHaltReachesZonesCutFromIts(t *testing.T) {
	for i, zone := range daemontest.Zones {
		t.Run("halt in "+zone, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				assert.Equal(t, haltWhileCut(t, s, s.Daemons[2*i]), 0)
			})
		})
	}
}

// Negative control of TestHaltReachesZonesCutFromIts: the platform refuses to
// write the halt to the change log, so the zones that are cut off must still run
// the candidate.
func TestHaltWithoutChangeLogEntry(t *testing.T) {
	run(t, daemontest.Options{Platform: refuseRolloutSteps}, func(t *testing.T, s *daemontest.System) {
		assert.Assert(t, haltWhileCut(t, s, s.Daemons[0]) > 0)
	})
}

// refuseRolloutSteps makes the platform refuse all writes of a daemon that
// advance or abort the rollout.
func refuseRolloutSteps(next http.Handler) http.Handler {
	return filterCommits(next, func(ops []store.Op) ([]store.Op, bool) {
		return ops, !slices.ContainsFunc(ops, func(op store.Op) bool {
			return bytes.Contains(op.Value, []byte("rollout/"+daemontest.Rollout))
		})
	})
}

// filterCommits passes the operations of each transaction of the table through
// filter, which may change them, or refuse the transaction with pass false.
func filterCommits(next http.Handler, filter func([]store.Op) (ops []store.Op, pass bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/table/commit" {
			next.ServeHTTP(w, r)
			return
		}
		var req infra.CommitRequest
		err := json.NewDecoder(r.Body).Decode(&req)
		ops, pass := filter(req.Ops)
		if err != nil || !pass {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, err := json.Marshal(infra.CommitRequest{Ops: ops})
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		next.ServeHTTP(w, r)
	})
}

// haltWhileCut cuts the zone of a daemon from the other zones and halts the
// candidate at that daemon. It returns how often the candidate ran more than
// propagationTime after the halt.
func haltWhileCut(t *testing.T, s *daemontest.System, d *daemontest.Daemon) int {
	t.Helper()
	s.StartRollout(s.Daemons[0], 100)
	traffic := s.StartTraffic(trafficPeriod)
	for _, other := range daemontest.Zones {
		if other != d.Zone {
			s.Net.Cut(d.Zone, other)
		}
	}
	time.Sleep(propagationTime)
	assert.Assert(t, len(s.Runs(daemontest.Candidate, time.Now().Add(-time.Second))) > 0)
	halted := halt(t, d)
	time.Sleep(2 * propagationTime)
	s.Net.HealAll()
	time.Sleep(propagationTime)
	for _, call := range traffic.Stop() {
		assert.Assert(t, call.Answer.Complete, "%+v", call.Answer)
	}
	return len(s.Runs(daemontest.Candidate, halted.Add(propagationTime)))
}

// halt sets the halt mark of the candidate and returns the time of the
// confirmation.
func halt(t *testing.T, d *daemontest.Daemon) time.Time {
	t.Helper()
	_, err := d.Operators.Halt(t.Context(), operator.HaltRequest{Version: daemontest.Candidate, Rollout: daemontest.Rollout, Reason: "bad answers"})
	assert.NilError(t, err)
	return time.Now()
}
