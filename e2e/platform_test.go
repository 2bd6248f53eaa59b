package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/settings"
)

// Guards against bookings that run, or cannot be made again later, after a
// caller was told "not run" while the platform did not answer, and against
// chats that need the platform. The twin counts the bookings made before the
// outage, which the same check must notice.
func TestPlatformStops(t *testing.T) {
	t.Parallel()
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 64, Change: func(f *settings.Settings) {
		f.Periods.EvidenceLeaseMs, f.Periods.HeadReadMs, f.Periods.PeerPullMs = 1000, 100, 200
	}})
	daemon := func(i int) string { return s.Daemons[i%len(s.Daemons)].Callers }
	var bookings []e2e.Call
	for i := range 12 {
		bookings = append(bookings, e2e.Call{Booking: fmt.Sprintf("outage-%d", i), Deadline: time.Second})
	}
	twin := parallel(daemon, []e2e.Call{{Booking: "before", Deadline: 10 * time.Second}})
	twin[0].answer.Whole = false
	twin[0].answer.Error.Ran = "no"
	assert.Equal(t, len(violations(twin, bookingsMade(s))), 1, "the check misses a false \"not run\"")

	s.Platform.Pause()
	e2e.Eventually(t, "all daemons are isolated", func() bool {
		for _, d := range s.Daemons {
			if !d.Status().Isolated {
				return false
			}
		}
		return true
	})
	during := parallel(daemon, bookings)
	for _, b := range during {
		assert.Assert(t, b.answer.NotRun(), "%+v", b)
	}
	for i := range 12 {
		a := e2e.Send(daemon(i), e2e.Call{Model: "small", Stream: i%2 == 0, Tokens: 5, Deadline: 10 * time.Second})
		assert.Assert(t, a.Whole, "%+v", a)
	}
	assert.Equal(t, len(bookingsMade(s)), 1)
	s.Platform.Resume()
	for i, c := range bookings {
		c.Deadline = 10 * time.Second
		e2e.Eventually(t, c.Booking+" is made", func() bool {
			during = append(during, sent{c, e2e.Send(daemon(i+1), c)})
			return during[len(during)-1].answer.Whole
		})
	}
	assert.Equal(t, len(bookingsMade(s)), 1+len(bookings))
	assert.DeepEqual(t, violations(during, bookingsMade(s)), []string(nil))
}
