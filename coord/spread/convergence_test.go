package spread_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/spread/spreadtest"
)

func plan(nodes, zones int, cut bool) spreadtest.Plan {
	return spreadtest.Plan{
		Options:    spreadtest.Options{Nodes: nodes, Zones: zones, Seed: 1, Metered: true},
		Warmup:     10 * time.Second,
		Changes:    5,
		Every:      2 * time.Second,
		PatchBytes: 600,
		CutZone:    cut,
	}
}

func BenchmarkConvergence(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		for _, cut := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/cut=%v", nodes, cut), func(b *testing.B) {
				for b.Loop() {
					f, err := spreadtest.Measure(plan(nodes, 15, cut))
					assert.NilError(b, err)
					b.Logf("%+v", f)
				}
			})
		}
	}
}
