package system_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// benchSizes are numbers of upstreams: those of one availability zone, and a
// quarter, a half and all of the 3,300 upstreams of the design size.
var benchSizes = []int{220, 825, 1650, 3300}

// callsPerTick is the number of calls, rounded up, that end at one of 320 daemons
// in a tick when all daemons together serve 6,100 requests/s.
const callsPerTick = 4

// benchTables returns tables with n engines that have all reported their load.
func benchTables(n int) *table.Tables {
	tr := &tree.Tree{Upstreams: map[string]tree.Upstream{}, Versions: map[string]tree.Version{"s1": {}}}
	in := &system.Inputs{Tree: tr}
	for i := range n {
		id := fmt.Sprintf("e%04d", i)
		tr.Upstreams[id] = tree.Upstream{Kind: tree.EngineUpstream, URL: fmt.Sprint("http://127.0.0.1:", i+1), Versions: []string{"s1"}}
		in.VMs = append(in.VMs, infra.VM{ID: id, Kind: infra.UpstreamVM, State: infra.VMLive})
		in.Probes = append(in.Probes, successfulProbe(id, epoch))
	}
	t := &table.Tables{}
	system.Tick(t, epoch, in)
	return t
}

func successfulProbe(id string, sentAt time.Time) system.ProbeResult {
	return system.ProbeResult{Upstream: id, SentAt: sentAt, Report: &upstream.LoadReport{Held: []string{"s1"}}}
}

// BenchmarkTick measures one tick with the calls and probes of a busy daemon,
// without and with the lease for orders.
func BenchmarkTick(b *testing.B) {
	for _, leader := range []bool{false, true} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("leader=%v/upstreams=%d", leader, n), func(b *testing.B) {
				t, tick, probes := benchTables(n), 0, []system.ProbeResult(nil)
				b.ReportAllocs()
				for b.Loop() {
					tick++
					now := epoch.Add(time.Duration(tick) * system.TickInterval)
					in := &system.Inputs{Probes: probes}
					if leader {
						in.OrderLease = system.Lease{Held: true, Fencing: 1, AcquiredAt: epoch, Expires: now.Add(time.Minute)}
					}
					for i := range callsPerTick {
						id := fmt.Sprintf("e%04d", (tick*callsPerTick+i)%n)
						in.Sends = append(in.Sends, system.Send{Upstream: id, At: now})
						in.Calls = append(in.Calls, system.CallResult{Upstream: id, SentAt: now})
					}
					probes = nil
					for _, e := range system.Tick(t, now, in) {
						if p, ok := e.(system.Probe); ok {
							probes = append(probes, successfulProbe(p.Upstream, p.SentAt))
						}
					}
				}
			})
		}
	}
}
