package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform"
)

// The store is read as often as the tighter bound of the platform demands.
func TestCopyAgesFollowTheBounds(t *testing.T) {
	for _, c := range []struct {
		configuration, drain, confirm, most time.Duration
	}{
		{2 * time.Second, 2 * time.Second, 1100 * time.Millisecond, 1400 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 2200 * time.Millisecond, 2800 * time.Millisecond},
		{4 * time.Second, time.Second, 550 * time.Millisecond, 700 * time.Millisecond},
		{0, 4 * time.Second, 1100 * time.Millisecond, 1400 * time.Millisecond},
		{time.Minute, time.Minute, 2750 * time.Millisecond, 3500 * time.Millisecond},
	} {
		ages := copyAgesFor(platform.Bounds{Configuration: c.configuration, Drain: c.drain})
		assert.Equal(t, ages.confirm, c.confirm)
		assert.Equal(t, ages.most, c.most)
	}
}

// Guards against copies that are confirmed too rarely for an evacuation to be in force in
// time, and against deployments without evacuations that read the store more often.
func TestCopyAgesFollowTheBoundOfEvacuations(t *testing.T) {
	b := platform.Bounds{Configuration: time.Minute, Drain: time.Minute}
	b.Evacuation = 2 * time.Second
	assert.Equal(t, copyAgesFor(b).most, 1400*time.Millisecond)
	b.Evacuation = time.Minute
	assert.Equal(t, copyAgesFor(b).most, 3500*time.Millisecond)
}
