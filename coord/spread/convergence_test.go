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

// Bounds from section 7 of the design page: the time from the commit of a change
// until it is in force on the last node, and the traffic of the busiest node.
const (
	maxInForceP99   = 2 * time.Second
	maxInForce      = 5 * time.Second
	maxBytesPerNode = 13_000 // bytes sent and received per second
)

// fleetZones is the number of zones of the convergence tests.
const fleetZones = 15

// changeEvery is the mean time between changes at a rate of 3,100 changes a day.
const changeEvery = 28 * time.Second

// settleTime is the time that Measure runs on after the last change.
const settleTime = 5 * time.Second

func latencyExperiment(nodes int, loss float64, cut bool) spreadtest.Experiment {
	return spreadtest.Experiment{
		Options:    spreadtest.Options{Nodes: nodes, Zones: fleetZones, Seed: 1, Loss: loss},
		Warmup:     8 * time.Second,
		Changes:    changeSamples,
		PatchBytes: 600,
		CutZone:    cut,
	}
}

func trafficExperiment(nodes int, cut bool) spreadtest.Experiment {
	e := latencyExperiment(nodes, 0, cut)
	e.Metered = true
	e.Changes, e.Every = 1, changeEvery-settleTime
	return e
}

// Guards against changes that reach a node only by the periodic calls or not at
// all, because a notification is lost or the zone is cut off from the platform.
func TestChangeIsInForceWithinSeconds(t *testing.T) {
	for _, tc := range []struct {
		loss float64
		cut  bool
	}{{0, false}, {0, true}, {0.05, true}} {
		t.Run(fmt.Sprintf("loss=%v/cut=%v", tc.loss, tc.cut), func(t *testing.T) {
			t.Parallel()
			r, err := spreadtest.Measure(latencyExperiment(fleetNodes, tc.loss, tc.cut))
			assert.NilError(t, err)
			t.Logf("%+v", r)
			assert.Equal(t, r.Missing, 0)
			assert.Assert(t, r.P99 <= maxInForceP99 && r.Max <= maxInForce, "%+v", r)
		})
	}
}

// Guards against zones that get changes late because their delegates have been
// killed. One of the zones is also cut off from the platform.
func TestChangeWhileDelegatesDie(t *testing.T) {
	t.Parallel()
	e := latencyExperiment(fleetNodes, 0, true)
	// A zone must keep some nodes.
	e.Changes = min(3, fleetNodes/fleetZones/spread.DelegatesPerZone-1)
	e.Every, e.KillDelegates = 20*time.Second, true
	r, err := spreadtest.Measure(e)
	assert.NilError(t, err)
	t.Logf("%+v", r)
	assert.Equal(t, r.Missing, 0)
	assert.Assert(t, r.Max <= maxInForce, "%+v", r)
}

// Guards against messages that exceed the network budget of the busiest node.
func TestTrafficPerNode(t *testing.T) {
	t.Parallel()
	r, err := spreadtest.Measure(trafficExperiment(fleetNodes, true))
	assert.NilError(t, err)
	t.Logf("%+v", r)
	assert.Assert(t, r.MaxBytes <= maxBytesPerNode, "%+v", r)
}

// benchChanges is the number of changes in one benchmark.
const benchChanges = 200

// BenchmarkConvergence reports the time until a change is in force on the last
// node, and the traffic.
func BenchmarkConvergence(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		for _, cut := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/cut=%v", nodes, cut), func(b *testing.B) {
				for b.Loop() {
					e := latencyExperiment(nodes, 0, cut)
					e.Changes = benchChanges
					latency, err := spreadtest.Measure(e)
					assert.NilError(b, err)
					traffic, err := spreadtest.Measure(trafficExperiment(nodes, cut))
					assert.NilError(b, err)
					reportMetrics(b, latency, traffic)
				}
			})
		}
	}
}

func reportMetrics(b *testing.B, latency, traffic spreadtest.Results) {
	b.ReportMetric(float64(latency.P50.Milliseconds()), "ms-p50")
	b.ReportMetric(float64(latency.P99.Milliseconds()), "ms-p99")
	b.ReportMetric(float64(latency.Max.Milliseconds()), "ms-max")
	b.ReportMetric(traffic.MessagesPerNode, "messages/node/s")
	b.ReportMetric(traffic.MeanBytes, "B/node/s")
	b.ReportMetric(traffic.MaxBytes, "B/busiest/s")
	b.ReportMetric(traffic.HeadReadsPerSecond, "reads/s")
}

// BenchmarkStatePerNode reports the heap size of the state of one node.
func BenchmarkStatePerNode(b *testing.B) {
	for _, nodes := range []int{64, 160, 320} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := spreadtest.New(latencyExperiment(nodes, 0, false).Options)
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
