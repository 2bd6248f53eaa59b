package daemontest_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/settings"
)

const (
	// shortOutage is how long the platform is down in the negative control.
	shortOutage = time.Minute
	// outagePeriod is the time between two requests to a daemon during an outage.
	outagePeriod = 10 * time.Second
	// flushTime is enough time for all ledger entries, including those of a dead
	// daemon, to reach the object store after an outage.
	flushTime = 40 * time.Second
)

// Guards invariants 2, 4 and 6 while the platform is down for longOutage and a
// daemon crashes in that time: model traffic goes on, each answered request is
// billed once after the outage, a refused booking has not run and can be made
// afterwards, and a halt reaches all daemons.
func TestPlatformDownForAnHour(t *testing.T) {
	// A longer tick period reduces the work of simulating the hour. No decision
	// that is tested here depends on it.
	slow := func(f *settings.Settings) { f.Periods.TickMs, f.Periods.VMListMs = 1000, 10_000 }
	run(t, daemontest.Options{Settings: slow}, func(t *testing.T, s *daemontest.System) {
		s.StartRollout(s.Daemons[0], 50)
		before := time.Now()
		s.Platform.Store().SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Second)
		halted := halt(t, s.Daemons[3])
		time.Sleep(2 * time.Second)
		checkHalted(t, s)

		calls, refused := trafficDuringOutage(t, s, longOutage, func() {})
		s.Platform.Store().SetFaults(memstore.Faults{})
		time.Sleep(flushTime)

		for i, key := range refused {
			assert.Equal(t, s.Bookings()[key], 0)
			a := s.Live("")[i].Book(key, 0)
			assert.Assert(t, a.Complete, "%+v", a)
			assert.Equal(t, s.Bookings()[key], 1)
		}
		for _, c := range calls {
			assert.Assert(t, c.Answer.Complete, "%s after %v: %+v", c.Daemon.ID, c.At.Sub(before), c.Answer)
		}
		time.Sleep(flushTime)
		assert.Equal(t, s.Billed(), len(calls)+len(refused))
		assert.Equal(t, len(s.Runs(daemontest.Candidate, halted.Add(propagationTime))), 0)
	})
}

// Negative control of TestPlatformDownForAnHour: the daemon that crashes is cut
// from the others, so none holds a copy of its ledger entries, and they must be
// missing on the bill.
func TestPlatformDownWithoutLedgerCopies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		s.Platform.Store().SetFaults(memstore.Faults{Down: true})
		calls, _ := trafficDuringOutage(t, s, shortOutage, func() {
			for _, other := range s.Daemons[1:] {
				s.Net.Cut(s.Daemons[0].Host.Name, other.Host.Name)
			}
		})
		s.Platform.Store().SetFaults(memstore.Faults{})
		time.Sleep(flushTime)
		assert.Assert(t, s.Billed() < daemontest.CountAnswered(calls))
	})
}

// checkHalted requires all live daemons to know the halt.
func checkHalted(t *testing.T, s *daemontest.System) {
	t.Helper()
	for _, d := range s.Live("") {
		status, err := d.Operators.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Halts), 1, d.ID)
	}
}

// trafficDuringOutage calls cut, sends model requests for the length of the
// outage, and kills the first daemon halfway. It then makes a booking through
// each other daemon, which must be refused as not run. It returns the model
// requests and the keys of the refused bookings.
func trafficDuringOutage(t *testing.T, s *daemontest.System, outage time.Duration, cut func()) (calls []daemontest.Call, refused []string) {
	t.Helper()
	cut()
	time.Sleep(propagationTime)
	traffic := s.StartTraffic(outagePeriod)
	time.Sleep(outage/2 + outagePeriod/2)
	s.Daemons[0].Kill()
	for i, d := range s.Live("") {
		key := fmt.Sprintf("outage-%d", i)
		a := d.Book(key, time.Second)
		assert.Equal(t, a.Ran, errkind.RanNo, "%+v", a)
		refused = append(refused, key)
	}
	time.Sleep(outage / 2)
	return traffic.Stop(), refused
}
