package spread_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/coord/spread/spreadtest"
)

// Bounds of section 7 of the design page.
const (
	maxInForceP99   = 2 * time.Second
	maxInForce      = 5 * time.Second
	maxBytesPerNode = 13_000 // sent and received, per second
)

// fleetZones is the number of zones of the convergence tests.
const fleetZones = 15

// changeEvery is the mean time between changes at 3,100 a day.
const changeEvery = 28 * time.Second

// settleTime is what Measure adds after the last change.
const settleTime = 5 * time.Second

func latencyPlan(nodes int, loss float64, cut bool) spreadtest.Plan {
	return spreadtest.Plan{
		Options:    spreadtest.Options{Nodes: nodes, Zones: fleetZones, Seed: 1, Loss: loss},
		Warmup:     8 * time.Second,
		Changes:    changes,
		PatchBytes: 600,
		CutZone:    cut,
	}
}

func trafficPlan(nodes int, cut bool) spreadtest.Plan {
	p := latencyPlan(nodes, 0, cut)
	p.Metered = true
	p.Changes, p.Every = 1, changeEvery-settleTime
	return p
}

// Guards against changes that reach a node only by the periodic exchange or
// not at all: over a lost notification, or in a zone cut off from the platform.
func TestChangeIsInForceWithinSeconds(t *testing.T) {
	for _, tc := range []struct {
		loss float64
		cut  bool
	}{{0, false}, {0, true}, {0.05, true}} {
		t.Run(fmt.Sprintf("loss=%v/cut=%v", tc.loss, tc.cut), func(t *testing.T) {
			t.Parallel()
			f, err := spreadtest.Measure(latencyPlan(fleetNodes, tc.loss, tc.cut))
			assert.NilError(t, err)
			t.Logf("%+v", f)
			assert.Equal(t, f.Missing, 0)
			assert.Assert(t, f.P99 <= maxInForceP99 && f.Max <= maxInForce, "%+v", f)
		})
	}
}

// Guards against zones that wait for their dead delegates, among them one that
// is cut off from the platform.
func TestChangeWhileDelegatesDie(t *testing.T) {
	t.Parallel()
	p := latencyPlan(fleetNodes, 0, true)
	// A zone must keep some nodes.
	p.Changes = min(3, fleetNodes/fleetZones/spread.DelegatesPerZone-1)
	p.Every, p.KillDelegates = 20*time.Second, true
	f, err := spreadtest.Measure(p)
	assert.NilError(t, err)
	t.Logf("%+v", f)
	assert.Equal(t, f.Missing, 0)
	assert.Assert(t, f.Max <= maxInForce, "%+v", f)
}

// Guards against messages that outgrow the network budget of the busiest node.
func TestTrafficPerNode(t *testing.T) {
	t.Parallel()
	f, err := spreadtest.Measure(trafficPlan(fleetNodes, true))
	assert.NilError(t, err)
	t.Logf("%+v", f)
	assert.Assert(t, f.MaxBytes <= maxBytesPerNode, "%+v", f)
}

// benchChanges are the samples of one benchmark.
const benchChanges = 200

func BenchmarkConvergence(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		for _, cut := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/cut=%v", nodes, cut), func(b *testing.B) {
				for b.Loop() {
					p := latencyPlan(nodes, 0, cut)
					p.Changes = benchChanges
					latency, err := spreadtest.Measure(p)
					assert.NilError(b, err)
					traffic, err := spreadtest.Measure(trafficPlan(nodes, cut))
					assert.NilError(b, err)
					report(b, latency, traffic)
				}
			})
		}
	}
}

func report(b *testing.B, latency, traffic spreadtest.Figures) {
	b.ReportMetric(float64(latency.P50.Milliseconds()), "ms-p50")
	b.ReportMetric(float64(latency.P99.Milliseconds()), "ms-p99")
	b.ReportMetric(float64(latency.Max.Milliseconds()), "ms-max")
	b.ReportMetric(traffic.MessagesPerNode, "messages/node/s")
	b.ReportMetric(traffic.MeanBytes, "B/node/s")
	b.ReportMetric(traffic.MaxBytes, "B/busiest/s")
	b.ReportMetric(traffic.HeadReadsPerSecond, "reads/s")
}

// BenchmarkStatePerNode reports the heap that the state of one node takes.
func BenchmarkStatePerNode(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := spreadtest.New(latencyPlan(nodes, 0, false).Options)
				f.Run(5 * time.Second)
				b.ReportMetric(float64(heap()-before)/float64(nodes)/1024, "KiB/node")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
