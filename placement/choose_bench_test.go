package placement

import (
	"fmt"
	"testing"
)

// The decision is to take less than 10 microseconds and 2 allocations.
func BenchmarkChooseAmong300(b *testing.B) {
	balancer := engines(300, "z", "other", "third")
	loads := map[string]Load{}
	for i := range 300 {
		loads[fmt.Sprint("e", i)] = Load{Calls: 30, PrefillSeconds: 1, Running: 40, Streams: 20, Paused: 4}
	}
	balancer.SetPeer("p", loads, now)
	q := query(8500, Part{"p", 8000}, Part{"own", 500})
	q.MaxPause = allowedPause
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := balancer.Choose(q); !ok {
			b.Fatal("no choice")
		}
	}
}
