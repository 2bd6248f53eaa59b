package system_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
)

// countReached runs the systems with the order lease and returns how many of n
// upstreams were probed and how many received an order within the given ticks.
// It calls beforeTick before each tick.
func countReached(n, ticks int, beforeTick func(*table.Tables)) (probed, ordered int) {
	t := benchTables(n)
	probes, orders := map[string]bool{}, map[string]bool{}
	for i := 1; i <= ticks; i++ {
		now := epoch.Add(time.Duration(i) * system.TickInterval)
		lease := system.Lease{Held: true, Fencing: 1, AcquiredAt: epoch, PreviousExpires: epoch.Add(-time.Hour), Expires: now.Add(time.Minute)}
		beforeTick(t)
		for _, e := range system.Tick(t, now, &system.Inputs{OrderLease: lease}) {
			switch e := e.(type) {
			case system.Probe:
				probes[e.Upstream] = true
			case system.SendOrder:
				orders[e.Upstream] = true
			}
		}
	}
	return len(probes), len(orders)
}

// Guards against upstreams that are never probed or never receive an order
// because the work per tick is bounded. As a negative control, clearing the
// cursor of the orders before each tick must starve upstreams.
func TestEveryUpstreamIsReached(t *testing.T) {
	const n = 3300
	probeTicks := n * int(time.Second/system.TickInterval) / system.ProbesPerSecond
	_, ordered := countReached(n, 10, func(*table.Tables) {})
	assert.Equal(t, ordered, n)
	probed, _ := countReached(n, probeTicks, func(*table.Tables) {})
	assert.Equal(t, probed, n)
	_, ordered = countReached(n, 100, func(t *table.Tables) { t.Orders.Cursor = "" })
	assert.Assert(t, ordered < n, "without the cursor, all %d upstreams received an order", ordered)
}
