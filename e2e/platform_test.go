package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/settings"
)

// Guards against bookings that run, or cannot be made later, although a caller was told
// "not run" during an outage of the platform, and against chats that depend on the
// platform. As a negative control, the response to a booking made before the outage is
// changed into "not run", which the check must find.
func TestPlatformStops(t *testing.T) {
	t.Parallel()
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 64, EditSettings: func(f *settings.Settings) {
		f.Periods.EvidenceLeaseMs, f.Periods.HeadReadMs, f.Periods.PeerPullMs = 1000, 100, 200
	}})
	callerURL := func(i int) string { return s.Daemons[i%len(s.Daemons)].CallerURL }
	var bookings []e2e.Call
	for i := range 12 {
		bookings = append(bookings, e2e.Call{BookingKey: fmt.Sprintf("outage-%d", i), Deadline: time.Second})
	}
	control := sendParallel(callerURL, []e2e.Call{{BookingKey: "before", Deadline: 10 * time.Second}})
	control[0].answer.Complete = false
	control[0].answer.Refusal.Ran = "no"
	assert.Equal(t, len(violations(control, bookingsMade(s))), 1, "the check misses a false \"not run\"")

	s.Platform.Pause()
	e2e.Eventually(t, "all daemons are isolated", func() bool {
		for _, d := range s.Daemons {
			if !d.Status().Isolated {
				return false
			}
		}
		return true
	})
	during := sendParallel(callerURL, bookings)
	for _, b := range during {
		assert.Assert(t, b.answer.NotRun(), "%+v", b)
	}
	for i := range 12 {
		a := e2e.Send(callerURL(i), e2e.Call{Model: "small", Stream: i%2 == 0, MaxTokens: 5, Deadline: 10 * time.Second})
		assert.Assert(t, a.Complete, "%+v", a)
	}
	assert.Equal(t, len(bookingsMade(s)), 1)
	s.Platform.Resume()
	for i, c := range bookings {
		c.Deadline = 10 * time.Second
		e2e.Eventually(t, c.BookingKey+" is made", func() bool {
			during = append(during, callResult{c, e2e.Send(callerURL(i+1), c)})
			return during[len(during)-1].answer.Complete
		})
	}
	assert.Equal(t, len(bookingsMade(s)), 1+len(bookings))
	assert.DeepEqual(t, violations(during, bookingsMade(s)), []string(nil))
}
