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
	// shortOutage is enough for a twin.
	shortOutage = time.Minute
	// outagePeriod is the time between two requests to a daemon during it.
	outagePeriod = 10 * time.Second
	// flushed is enough for all entries, also those of a dead daemon, to reach
	// the object store after an outage.
	flushed = 40 * time.Second
)

// Guards invariants 2, 4 and 6 while the platform is down for an hour and a
// daemon dies during that time: model traffic goes on, each answered request is
// billed once after the return, a refused booking has not run and can be made
// afterwards, and a halt reaches all daemons.
func TestPlatformDownForAnHour(t *testing.T) {
	// A slower tick shortens the hour; it paces no decision that is tested here.
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
		time.Sleep(flushed)

		for i, key := range refused {
			assert.Equal(t, s.Bookings()[key], 0)
			a := s.Live("")[i].Book(key, 0)
			assert.Assert(t, a.Whole, "%+v", a)
			assert.Equal(t, s.Bookings()[key], 1)
		}
		for _, c := range calls {
			assert.Assert(t, c.Answer.Whole, "%s after %v: %+v", c.Daemon.ID, c.At.Sub(before), c.Answer)
		}
		time.Sleep(flushed)
		assert.Equal(t, s.Billed(), len(calls)+len(refused))
		assert.Equal(t, len(s.Runs(daemontest.Candidate, halted.Add(inForce))), 0)
	})
}

// When the daemon that dies had no copies of its entries on others, they are
// missing on the bill.
func TestPlatformDownTwinWithoutCopies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		s.Platform.Store().SetFaults(memstore.Faults{Down: true})
		calls, _ := trafficDuringOutage(t, s, shortOutage, func() {
			for _, other := range s.Daemons[1:] {
				s.Net.Cut(s.Daemons[0].Host.Name, other.Host.Name)
			}
		})
		s.Platform.Store().SetFaults(memstore.Faults{})
		time.Sleep(flushed)
		assert.Assert(t, s.Billed() < daemontest.Answered(calls))
	})
}

func checkHalted(t *testing.T, s *daemontest.System) {
	t.Helper()
	for _, d := range s.Live("") {
		status, err := d.Operators.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(status.Halts), 1, d.ID)
	}
}

// trafficDuringOutage sends requests for the length of the outage, and kills
// the first daemon in the middle, after cut was called. It returns the model
// requests and the keys of refused bookings.
func trafficDuringOutage(t *testing.T, s *daemontest.System, outage time.Duration, cut func()) (calls []daemontest.Call, refused []string) {
	t.Helper()
	cut()
	time.Sleep(inForce)
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
