package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a copy that counts as current for too long or not at all because the
// estimate of the store's clock is wrong: readings that arrive late must not set it
// back, and the clocks may drift apart, pause or begin anew.
func TestClockFollowsTheStore(t *testing.T) {
	begin := time.Now()
	var c Clock
	_, ok := c.Now(begin)
	assert.Assert(t, !ok, "no reading yet")
	requireReading := func(elapsed, want time.Duration) {
		t.Helper()
		got, ok := c.Now(begin.Add(elapsed))
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	c.Observe(100*time.Second, begin)
	requireReading(time.Second, 101*time.Second)
	c.Observe(100*time.Second, begin.Add(3*time.Second))
	requireReading(3*time.Second, 103*time.Second)
	// This process is suspended for 5 s, which its own clock does not count.
	c.Observe(109*time.Second, begin.Add(4*time.Second))
	requireReading(4*time.Second, 109*time.Second)
	// The store's clock begins anew. Both windows must pass.
	for i := range 3 {
		elapsed := 10*time.Second + time.Duration(i)*(clockWindow+time.Second)
		c.Observe(elapsed-10*time.Second, begin.Add(elapsed))
	}
	requireReading(100*time.Second, 90*time.Second)
}
