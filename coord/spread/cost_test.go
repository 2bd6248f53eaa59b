package spread_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/coord/spread/spreadtest"
)

// measuredTime is the virtual time over which BenchmarkNodeCost measures.
const measuredTime = 10 * time.Second

// BenchmarkNodeCost reports the processor time that membership and synchronisation
// take per node and second, and the heap per node. The processor time includes the
// encoding of messages and the work of the simulator, but not the decoding of
// messages.
func BenchmarkNodeCost(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				o := latencyExperiment(nodes, 0, false).Options
				o.Metered = true
				before := liveHeap()
				f := spreadtest.New(o)
				f.Run(settleTime)
				b.ReportMetric(float64(liveHeap()-before)/float64(nodes), "heap-bytes/node")
				began := time.Now()
				f.Run(measuredTime)
				perNode := float64(time.Since(began).Microseconds()) / float64(nodes)
				b.ReportMetric(perNode/measuredTime.Seconds(), "cpu-µs/node/s")
			}
		})
	}
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
