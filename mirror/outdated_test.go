package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a VM that was suspended and acts on its old copy before the store or a
// peer has confirmed it, and against an outage of the store that makes the last copy
// unusable.
func TestCopyIsOutdatedAfterASuspension(t *testing.T) {
	const limit, grace = 4 * time.Second, time.Second
	begin := time.Now()
	after := func(d time.Duration) time.Time { return begin.Add(d) }
	m := New(Options{})
	assert.Assert(t, !m.Outdated(limit, grace, begin), "nothing is known of an empty copy")
	m.options.Clock.Observe(time.Minute, begin)
	m.loaded, m.confirmed = true, time.Minute
	assert.Assert(t, !m.Outdated(limit, grace, after(limit)))
	assert.Assert(t, m.Outdated(limit, grace, after(limit+time.Millisecond)))

	// A call that was overdue during the suspension fails right after it.
	m.lostSince = after(10 * time.Second)
	assert.Assert(t, m.Outdated(limit, grace, after(11*time.Second)))
	assert.Assert(t, !m.Outdated(limit, grace, after(11*time.Second+time.Millisecond)), "the store is unavailable")

	m.lostSince, m.confirmed = time.Time{}, time.Minute+12*time.Second
	assert.Assert(t, !m.Outdated(limit, grace, after(12*time.Second)))
	// The store's clock has begun anew.
	m.confirmed = 2 * time.Minute
	assert.Assert(t, !m.Outdated(limit, grace, after(30*time.Second)))
}
