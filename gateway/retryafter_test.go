package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against clients that return before the end of a pause, later than they would
// wait, or all at once.
func TestRetryAfterPause(t *testing.T) {
	for _, c := range []struct {
		pause, left        time.Duration
		priority           int
		earliest, latest   time.Duration
		distinctAtLeast100 int
	}{
		{2 * time.Second, 30 * time.Second, 0, 2 * time.Second, 3500 * time.Millisecond, 90},
		{2 * time.Second, 30 * time.Second, 2, 2200 * time.Millisecond, 3700 * time.Millisecond, 90},
		{2 * time.Second, 30 * time.Second, 9, 2300 * time.Millisecond, 3800 * time.Millisecond, 90},
		{2 * time.Second, 9 * time.Second, 1, 2100 * time.Millisecond, 3 * time.Second, 50},
		// The client cannot wait that long. The true time tells others that can.
		{20 * time.Second, 9 * time.Second, 0, 20 * time.Second, 20 * time.Second, 1},
		{20 * time.Second, -time.Second, 3, 20 * time.Second, 20 * time.Second, 1},
	} {
		seen := map[time.Duration]bool{}
		for i := range 100 {
			after := retryAfterPause(c.pause, c.left, c.priority, fmt.Sprint("r", i))
			assert.Assert(t, after >= c.earliest && after <= c.latest, "%+v: %v", c, after)
			seen[after] = true
		}
		assert.Assert(t, len(seen) >= c.distinctAtLeast100, "%+v: %d different times", c, len(seen))
	}
}

// Guards against a client that returns after a less urgent one that was refused with it.
func TestUrgentClientsReturnFirst(t *testing.T) {
	last := time.Duration(0)
	for priority := range maxDelayedPriority + 1 {
		after := retryAfterPause(time.Second, 30*time.Second, priority, "r")
		assert.Assert(t, after > last, "priority %d: %v", priority, after)
		last = after
	}
}
