package system_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
)

// reached runs the systems with the order lease and returns how many of n
// upstreams were probed and received an order within the given ticks.
func reached(n, ticks int, before func(*table.Tables)) (probed, ordered int) {
	t := benchTables(n)
	probes, orders := map[string]bool{}, map[string]bool{}
	for i := 1; i <= ticks; i++ {
		now := epoch.Add(time.Duration(i) * system.TickInterval)
		lease := system.Lease{Held: true, Fencing: 1, AcquiredAt: epoch, PreviousExpires: epoch.Add(-time.Hour), Expires: now.Add(time.Minute)}
		before(t)
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

// Guards against upstreams that the bounded work of a tick never reaches. With
// the position of the orders forgotten, those behind the first ones starve.
func TestEveryUpstreamIsReached(t *testing.T) {
	const n = 3300
	probeTicks := n * int(time.Second/system.TickInterval) / system.ProbesPerSecond
	_, ordered := reached(n, 10, func(*table.Tables) {})
	assert.Equal(t, ordered, n)
	probed, _ := reached(n, probeTicks, func(*table.Tables) {})
	assert.Equal(t, probed, n)
	_, ordered = reached(n, 100, func(t *table.Tables) { t.Orders.After = "" })
	assert.Assert(t, ordered < n, "the twin reached all %d", ordered)
}
