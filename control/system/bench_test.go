package system_test

import (
	"fmt"
	"testing"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// BenchmarkTick measures one tick with the calls of a busy daemon, for the
// upstreams of one availability zone and of all of them.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{220, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr := &tree.Tree{Upstreams: map[string]tree.Upstream{}, Versions: map[string]tree.Version{"s1": {}}}
			for i := range n {
				tr.Upstreams[fmt.Sprintf("e%04d", i)] = tree.Upstream{
					Kind: tree.EngineUpstream, URL: fmt.Sprint("http://127.0.0.1:", i+1), Versions: []string{"s1"},
				}
			}
			t := &table.Tables{}
			system.Tick(t, epoch, &system.Inputs{Tree: tr})
			tick := 0
			for b.Loop() {
				tick++
				in := &system.Inputs{}
				for i := range 4 {
					id := fmt.Sprintf("e%04d", (tick*4+i)%n)
					in.Sends = append(in.Sends, system.Send{Upstream: id, At: at(tick)})
					in.Calls = append(in.Calls, system.CallResult{Upstream: id, SentAt: at(tick)})
				}
				report := upstream.LoadReport{Held: []string{"s1"}}
				in.Probes = []system.ProbeResult{{Upstream: "e0001", SentAt: at(tick), Report: &report}}
				system.Tick(t, at(tick), in)
			}
		})
	}
}
