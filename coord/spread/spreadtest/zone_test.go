package spreadtest_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/spread/spreadtest"
)

const (
	zones            = 15
	criticalMinPaths = 3
	runs             = 200 // runs per scenario and strategy in the benchmark
	testRuns         = 5   // runs per scenario and strategy in the test
)

type scenario struct {
	name        string
	loss        float64
	changeDelay time.Duration
	down        func(a, b int, rng *rand.Rand) bool
}

func region(z int) int { return z % spreadtest.ZoneRegions }

func linksDown(share float64) func(int, int, *rand.Rand) bool {
	return func(_, _ int, rng *rand.Rand) bool { return rng.Float64() < share }
}

// oneLinkLeft cuts region 1 off except for the link between zones 0 and 1. Zone 0
// is the origin of the change.
func oneLinkLeft(a, b int, _ *rand.Rand) bool {
	return (region(a) == 1) != (region(b) == 1) && !(a == 0 && b == 1)
}

// farLinkLeft cuts region 1 off except for the link between zones 2 and 5. The
// change must first reach zone 2, because the link does not end at its origin.
func farLinkLeft(a, b int, _ *rand.Rand) bool {
	return (region(a) == 1) != (region(b) == 1) && !(a == 2 && b == 5)
}

var scenarios = []scenario{
	{"healthy", 0, 10 * time.Second, linksDown(0)},
	{"30% of messages lost", 0.3, 10 * time.Second, linksDown(0)},
	{"10% of links down", 0, 10 * time.Second, linksDown(0.1)},
	{"50% of links down", 0, 10 * time.Second, linksDown(0.5)},
	{"one zone cut", 0, 10 * time.Second, func(_, b int, _ *rand.Rand) bool { return b == zones-1 }},
	{"region cut", 0, 10 * time.Second, func(a, b int, _ *rand.Rand) bool { return (region(a) == 1) != (region(b) == 1) }},
	{"region on one link", 0, 10 * time.Second, oneLinkLeft},
	{"region on a far link", 0, 10 * time.Second, farLinkLeft},
	{"region on a far link since 0.5 s", 0, 500 * time.Millisecond, farLinkLeft},
	{"region on a far link, 30% lost", 0.3, 10 * time.Second, farLinkLeft},
}

type strategy struct {
	name       string
	experiment spreadtest.ZoneExperiment
}

var strategies = []strategy{
	{"full mesh", spreadtest.ZoneExperiment{Strategy: spreadtest.FullMesh}},
	{"gossip, fanout 2", spreadtest.ZoneExperiment{Strategy: spreadtest.Gossip, Fanout: 2}},
	{"gossip, fanout 3", spreadtest.ZoneExperiment{Strategy: spreadtest.Gossip, Fanout: 3}},
	{"critical links and gossip 2", spreadtest.ZoneExperiment{Strategy: spreadtest.CriticalLinks, Fanout: 2, MinPaths: criticalMinPaths}},
}

// summary holds the means over several runs of a scenario and strategy, and the
// quantiles of ZoneResults.LastLearned.
type summary struct {
	messages, bytes, idle, within1s, complete float64
	p50, p99                                  time.Duration
}

func measure(s scenario, st strategy, runs int) summary {
	var r summary
	var last []time.Duration
	n := float64(runs)
	for seed := range runs {
		e := st.experiment
		e.Zones, e.Seed, e.Loss, e.LinkDown, e.ChangeDelay = zones, uint64(seed), s.loss, s.down, s.changeDelay
		results := spreadtest.MeasureZones(e)
		r.messages += float64(results.Messages) / n
		r.bytes += float64(results.Bytes) / n
		r.idle += results.IdleBytes / n
		r.within1s += results.Within1s / n
		if results.Complete {
			r.complete += 1 / n
		}
		last = append(last, results.LastLearned)
	}
	slices.Sort(last)
	r.p50, r.p99 = last[(runs-1)/2], last[(runs-1)*99/100]
	return r
}

// Guards the comparison of strategies against an implementation that differs from
// the description of a strategy and makes its results meaningless.
func TestStrategiesReachAllZones(t *testing.T) {
	for _, s := range scenarios {
		for _, st := range strategies {
			r := measure(s, st, testRuns)
			// Random choices may not hit a single remaining link within a run.
			mayMiss := st.experiment.Strategy != spreadtest.FullMesh && strings.Contains(s.name, "link")
			assert.Assert(t, mayMiss || r.complete > 0.99, "%s, %s: %+v", s.name, st.name, r)
		}
	}
	healthy := scenarios[0]
	mesh, gossip, critical := measure(healthy, strategies[0], testRuns), measure(healthy, strategies[1], testRuns), measure(healthy, strategies[3], testRuns)
	assert.Assert(t, mesh.p99 < time.Second && mesh.idle > gossip.idle && critical.messages < mesh.messages)
	far := scenarios[7]
	assert.Assert(t, measure(far, strategies[3], testRuns).p50 < measure(far, strategies[1], testRuns).p50)
}

func TestDisjointPaths(t *testing.T) {
	// Two triangles 0-1-2 and 3-4-5 joined by the link 2-3, and by 1-4 if wide.
	for _, tc := range []struct {
		from, to, want int
		wide           bool
	}{{0, 1, 2, false}, {0, 5, 1, false}, {0, 5, 2, true}, {2, 3, 2, true}, {1, 4, 2, true}} {
		link := func(a, b int) bool {
			a, b = min(a, b), max(a, b)
			return a != b && (b < 3 || a >= 3 || a == 2 && b == 3 || tc.wide && a == 1 && b == 4)
		}
		assert.Equal(t, spreadtest.DisjointPaths(6, tc.from, tc.to, 5, link), tc.want, "%+v", tc)
	}
}

// BenchmarkZoneStrategies prints the table of docs/decisions.
func BenchmarkZoneStrategies(b *testing.B) {
	for b.Loop() {
		fmt.Println("| scenario | way | messages | bytes | p50 ms | p99 ms | within 1 s | complete | idle B/s |")
		fmt.Println("|---|---|---|---|---|---|---|---|---|")
		for _, s := range scenarios {
			for _, st := range strategies {
				r := measure(s, st, runs)
				fmt.Printf("| %s | %s | %.0f | %.0f | %d | %d | %.3f | %.3f | %.0f |\n", s.name, st.name, r.messages, r.bytes,
					r.p50.Milliseconds(), r.p99.Milliseconds(), r.within1s, r.complete, r.idle)
			}
		}
	}
}
