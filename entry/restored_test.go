package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform"
)

// Guards against an upstream that gets requests again after it was seen draining, because the
// restored store has its registration from before; and against a process that gets none for
// what another one, or itself within an era, has said.
func TestDrainingUpstreamIsRestored(t *testing.T) {
	now := time.Now()
	d := drainedUpstreams{}
	draining := func(era, incarnation int64, registered bool) bool {
		list := []placement.Upstream{{ID: "u", Incarnation: incarnation, Draining: registered}}
		d.apply(list, map[string]mirror.Row{"u": {Era: era}}, now)
		return list[0].Draining
	}
	assert.Assert(t, draining(0, 1, true))
	assert.Assert(t, !draining(0, 1, false), "within an era the registration is believed")
	assert.Assert(t, draining(0, 1, true))
	assert.Assert(t, draining(1, 1, false))
	assert.Assert(t, draining(1, 1, true))
	assert.Assert(t, draining(1, 1, false))
	assert.Assert(t, draining(2, 1, false))
	assert.Assert(t, !draining(2, 2, false), "another process")
	d.apply(nil, nil, now.Add(2*drainedRetention))
	assert.Equal(t, len(d), 0)
}

// Guards against hold times that do not follow the bounds of the platform.
func TestHoldTimes(t *testing.T) {
	assert.Equal(t, holdTimesFor(platform.Bounds{Configuration: time.Second, Drain: time.Second}), holdTimes{2 * time.Second, 750 * time.Millisecond})
	assert.Equal(t, holdTimesFor(platform.Bounds{Configuration: time.Minute, Drain: time.Minute}), holdTimes{10 * time.Second, 1500 * time.Millisecond})
	assert.Equal(t, holdTimesFor(platform.Bounds{Drain: 2 * time.Second}), holdTimes{4 * time.Second, 1500 * time.Millisecond})
}
