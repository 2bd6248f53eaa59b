package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

// engines returns a snapshot and tables with n engines of two versions each.
func engines(tb testing.TB, n int) (*tree.Snapshot, *table.Tables) {
	tr := tree.Tree{Versions: map[string]tree.Version{}, Upstreams: map[string]tree.Upstream{}}
	for i := range 30 {
		tr.Versions[fmt.Sprint("v", i)] = tree.Version{Model: fmt.Sprint("m", i/3), CostPer1kOutputTokens: float64(i + 1)}
	}
	for i := range n {
		tr.Upstreams[fmt.Sprintf("e%04d", i)] = tree.Upstream{
			Kind: tree.EngineUpstream, URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250+1), AvailabilityZone: fmt.Sprint("zone-", i%15),
			Versions: []string{fmt.Sprint("v", i%30), fmt.Sprint("v", (i+1)%30)}, Slots: 16,
		}
	}
	s, err := tree.Compile(tr, 1, "")
	assert.NilError(tb, err)
	t := &table.Tables{}
	system.Tick(t, time.Unix(1000, 0), &system.Inputs{Tree: s.Tree()})
	return s, t
}

// Guards against a view that is rebuilt in each tick with thousands of upstreams,
// and against one that misses a change. Intervals are in ticks.
func TestViewPace(t *testing.T) {
	const tick = 100 * time.Millisecond
	for _, tc := range []struct{ upstreams, interval, urgent int }{{10, 1, 1}, {330, 3, 1}, {3300, 30, 7}} {
		t.Run(fmt.Sprint(tc.upstreams), func(t *testing.T) {
			s, tables := engines(t, tc.upstreams)
			pacer, now := viewPacer{}, time.Unix(1000, 0)
			ticksUntilDue := func(s *tree.Snapshot) int {
				for n := 1; ; n++ {
					now = now.Add(tick)
					if pacer.due(now, tick, s, true, &tables.Upstreams) {
						return n
					}
				}
			}
			assert.Equal(t, ticksUntilDue(s), 1)
			assert.Equal(t, ticksUntilDue(s), tc.interval)
			tables.Upstreams.Get("e0007").Health.Up = false
			assert.Equal(t, ticksUntilDue(s), tc.urgent)
			assert.Equal(t, ticksUntilDue(s), tc.interval)
			next, _ := engines(t, tc.upstreams)
			assert.Equal(t, ticksUntilDue(next), 1)
		})
	}
}
