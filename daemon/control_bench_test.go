package daemon

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/policy"
	"github.com/savoryshift/savoryshift/upstream"
)

// benchSizes are the numbers of upstreams.
var benchSizes = []int{220, 825, 1650, 3300}

// benchControl returns a control loop with the load reports and the learned
// latencies of n engines.
func benchControl(b *testing.B, n int) *control {
	s, tables := engines(b, n)
	r := newRouting("zone-1", &guards{})
	in := &system.Inputs{}
	for id, u := range s.Tree().Upstreams {
		in.Probes = append(in.Probes, system.ProbeResult{Upstream: id, SentAt: time.Now(), Report: &upstream.LoadReport{Held: u.Versions, Running: 3}})
		for _, v := range u.Versions {
			r.planner.ObserveServed(policy.Served{
				Class: "short", Version: v, Upstream: id, First: 300 * time.Millisecond, Streaming: 5 * time.Second, Tokens: 200,
			}, time.Second)
		}
	}
	system.Tick(tables, time.Now(), in)
	return &control{tick: system.TickInterval, routing: r, tables: *tables, lastSnapshot: s}
}

// BenchmarkRebuild measures one rebuild of the view of the upstreams.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := benchControl(b, n)
			b.ReportAllocs()
			for b.Loop() {
				c.routing.rebuild(c.lastSnapshot, c.states(), true)
			}
		})
	}
}

// BenchmarkControl measures one tick (100 ms) of the control loop: the systems,
// and the rebuild of the view in the ticks in which it is due.
func BenchmarkControl(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c, now := benchControl(b, n), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(c.tick)
				system.Tick(&c.tables, now, &system.Inputs{})
				if c.pacer.due(now, c.tick, c.lastSnapshot, true, &c.tables.Upstreams) {
					c.routing.rebuild(c.lastSnapshot, c.states(), true)
				}
			}
		})
	}
}

// zonePeers is the number of other daemons in a zone of 21.
const zonePeers = 20

// BenchmarkHeap reports the heap size of the control state: settings, tables, two
// views, and what this daemon and the others of its zone have learned.
func BenchmarkHeap(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := benchControl(b, n)
				for i := range zonePeers {
					c.routing.planner.Merge(fmt.Sprint("peer", i), c.routing.planner.Export())
				}
				c.routing.rebuild(c.lastSnapshot, c.states(), true)
				old := c.routing.view.Load()
				c.routing.rebuild(c.lastSnapshot, c.states(), true)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(old)
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
