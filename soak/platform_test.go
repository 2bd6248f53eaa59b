package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// Guards against checks of evacuations, withdrawn keys and cold upstreams that cannot fail, or
// that fail for what the platform allows.
func TestBrokenPlatformPromisesAreSeen(t *testing.T) {
	c, run := bookingCall()
	check := func(r Record) string {
		r.Calls, r.Runs = append(r.Calls, c), append(r.Runs, run)
		r.Changes = append([]Change{initialConfiguration}, r.Changes...)
		return strings.Join(r.Violations(), "\n")
	}
	evacuated := func(ago time.Duration) Record {
		return Record{Evacuations: []Evacuation{{Zone: "z1", From: callStart.Add(-ago), To: callStart.Add(time.Second), Upstreams: []string{"desk-1"}}}}
	}
	assert.Equal(t, check(evacuated(evacuationBound-time.Millisecond)), "")
	assert.Assert(t, strings.Contains(check(evacuated(evacuationBound+time.Millisecond)), "evacuated"))
	disrupted := evacuated(evacuationBound + time.Millisecond)
	disrupted.History = History{{Step: Step{Kind: StoreHold}, Subject: "vm0", From: callStart.Add(-time.Second), To: callStart}}
	assert.Equal(t, check(disrupted), "")
	disrupted.History[0].Subject = "vm1"
	assert.Assert(t, strings.Contains(check(disrupted), "evacuated"))

	// The change was in force before the store was restored, or it was lost with it.
	restored := func(before time.Duration) Record {
		from := callStart.Add(-time.Second)
		return Record{
			Changes:  []Change{{At: from.Add(-before), Service: "desk2", Version: 2}},
			Restores: []Restore{{From: from, To: from.Add(restoreOutage), Repeated: callStart}},
		}
	}
	assert.Assert(t, strings.Contains(check(restored(configurationBound+time.Millisecond)), "old configuration"))
	assert.Equal(t, check(restored(configurationBound-time.Millisecond)), "")
	drained := restored(drainBound + time.Millisecond)
	drained.Changes[0] = Change{At: drained.Changes[0].At, Upstream: "desk-1"}
	assert.Assert(t, strings.Contains(check(drained), "an upstream that left"))

	change := Change{At: callStart.Add(-configurationBound - time.Millisecond), Service: "desk", Version: 2}
	c.Key = 2
	assert.Equal(t, check(Record{Changes: []Change{change}}), "")
	c.Key = 1
	assert.Assert(t, strings.Contains(check(Record{Changes: []Change{change}}), "withdrawn key"))
	change.At = change.At.Add(2 * time.Millisecond)
	assert.Equal(t, check(Record{Changes: []Change{change}}), "")
	c.Key = 0

	cold := func(gap time.Duration) Record {
		r := Record{ColdStarts: []ColdPeriod{{Upstream: "desk-9", From: callStart}}}
		for i := range 9 {
			r.Refusals = append(r.Refusals, standin.Refusal{Upstream: "desk-9", Arrived: callStart.Add(time.Duration(i) * gap)})
		}
		return r
	}
	assert.Assert(t, strings.Contains(check(cold(time.Second/8-time.Millisecond)), "a cold upstream"))
	assert.Equal(t, check(cold(time.Second/8)), "")
}
