package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/policy/guard"
	"github.com/savoryshift/savoryshift/rollout"
)

// fleetOf returns n VMs a zone; the first ones are the largest.
func fleetOf(n int, zones ...string) []Member {
	var out []Member
	for _, z := range zones {
		for i := range n {
			out = append(out, Member{VM: fmt.Sprintf("%s-%02d", z, i), AvailabilityZone: z, Capacity: float64(n - i)})
		}
	}
	return out
}

// The cost of a VM must not grow with the fleet: members talk to two delegates,
// delegates also to those of other zones.
func TestPartnersInLargeFleet(t *testing.T) {
	members := fleetOf(30, "a", "b", "c")
	for _, m := range members {
		partners := 0
		for _, o := range members {
			if m.VM != o.VM && partner(members, m, o) {
				partners++
			}
		}
		speaks := m.VM == m.AvailabilityZone+"-00" || m.VM == m.AvailabilityZone+"-01"
		if speaks {
			assert.Equal(t, partners, 29+4, m.VM)
		} else {
			assert.Equal(t, partners, 2, m.VM)
		}
	}
}

// In a small fleet every VM hears every other one itself.
func TestSmallFleetIsAMesh(t *testing.T) {
	members := fleetOf(3, "a", "b", "c")
	for _, m := range members {
		for _, o := range members {
			assert.Assert(t, partner(members, m, o))
			assert.Equal(t, scope(members, m, o), OwnScope)
		}
	}
}

// A delegate that stops or dies is replaced, and a VM that cannot reach the store
// does not read it for its zone.
func TestDelegatesAreReplaced(t *testing.T) {
	members := fleetOf(10, "a", "b")
	assert.DeepEqual(t, delegates(members, "a"), []string{"a-00", "a-01"})
	members[0].Stopping = true
	assert.DeepEqual(t, delegates(members, "a"), []string{"a-01", "a-02"})
	members[1].Lost = true
	assert.DeepEqual(t, followers(members, "a", 2), []string{"a-02", "a-03"})
	assert.DeepEqual(t, followers(members, "b", 2), []string{"b-00", "b-01"})
	assert.DeepEqual(t, followers(members, "a", 1), []string{"a-02"})
}

func loads(calls int) []LoadReport {
	return []LoadReport{{Upstream: "u", Calls: calls, ReadingMs: calls}}
}

func told(vm, zone string, s Scope, calls int) Digest {
	return Digest{From: Member{VM: vm, AvailabilityZone: zone}, Scope: s, Report: Report{Loads: loads(calls)}}
}

func calls(r Report) int {
	n := 0
	for _, l := range r.Loads {
		n += l.Calls
	}
	return n
}

// A member must not be told its own load as if it were that of others, and no
// VM may be counted twice on the way through delegates.
func TestSumsCountEachVMOnce(t *testing.T) {
	now := time.Unix(100, 0)
	b := newBoard()
	b.put(told("a-1", "a", OwnScope, 1), "a-1@1", "a", now)
	b.put(told("a-2", "a", OwnScope, 10), "a-2@1", "a", now)
	b.put(told("b-0", "b", ZoneScope, 100), "", "a", now)
	b.put(told("b-1", "b", ZoneScope, 100), "", "a", now)
	own := Report{Loads: loads(1000)}
	assert.Equal(t, calls(b.zoneSum(own, false, now)), 1011)
	assert.Equal(t, calls(b.othersSum(own, "a-2", false, now)), 1101)
	later := now.Add(reportLifetime + time.Millisecond)
	assert.Equal(t, calls(b.othersSum(own, "a-2", false, later)), 1000, "old reports no longer count")
}

func evidence(bad uint64) []rollout.Evidence {
	s := guard.Stratum{Class: "r", Signal: guard.Errors}
	return []rollout.Evidence{{Service: "s", Order: 1, Counts: guard.Counts{
		Base: map[guard.Stratum]guard.Tally{}, Candidate: map[guard.Stratum]guard.Tally{s: {N: bad, Bad: bad}},
	}}}
}

func bad(list []rollout.Evidence) uint64 {
	n := uint64(0)
	for _, e := range list {
		for _, tally := range e.Counts.Candidate {
			n += tally.Bad
		}
	}
	return n
}

// Failures that a VM saw before it died still count against a release, and both
// incarnations of a restarted one do.
func TestEvidenceOutlivesItsVM(t *testing.T) {
	now := time.Unix(100, 0)
	b := newBoard()
	for _, incarnation := range []string{"a-1@1", "a-1@2"} {
		d := told("a-1", "a", OwnScope, 1)
		d.Report.Rollouts = evidence(5)
		b.put(d, incarnation, "a", now)
	}
	later := now.Add(time.Minute)
	b.drop(later)
	assert.Equal(t, bad(b.zoneSum(Report{Rollouts: evidence(1)}, true, later).Rollouts), uint64(11))
	assert.Equal(t, bad(b.othersSum(Report{Rollouts: evidence(1)}, "a-1", true, later).Rollouts), uint64(1))
}

// node is a VM that reports a fixed load.
type node struct {
	mu    sync.Mutex
	calls int
	heard map[string]int
	table mirror.Page
}

func (n *node) Report(bool) Report          { return Report{Loads: loads(n.calls)} }
func (n *node) Revisions() map[string]int64 { return map[string]int64{"t": n.table.Revision} }
func (n *node) Lost() bool                  { return false }
func (n *node) ObserveRevisions(string, map[string]int64) {
}
func (n *node) Table(r TableRequest) TableReply {
	return TableReply{Newer: n.table.Revision > r.After, Whole: true, Page: n.table}
}
func (n *node) ApplyReport(source string, r Report, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range r.Loads {
		n.heard[source] = placement.Load{Calls: l.Calls}.Calls
	}
}

// run starts a fleet of VMs of which all know the first one only.
func run(t *testing.T, n int) ([]*Fleet, []*node) {
	t.Helper()
	var fleets []*Fleet
	var nodes []*node
	seed := ""
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		if i == 0 {
			seed = l.Addr().String()
		}
		nd := &node{calls: i + 1, heard: map[string]int{}, table: mirror.Page{Revision: int64(i)}}
		f := New(Options{
			Self:        Member{VM: fmt.Sprintf("vm%d", i), AvailabilityZone: "z", Address: l.Addr().String(), Capacity: 1},
			Incarnation: 1, Seeds: []string{seed}, Node: nd, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(func() { cancel(); _ = l.Close() })
		go func() { _ = f.Serve(l) }()
		go f.Run(ctx)
		fleets, nodes = append(fleets, f), append(nodes, nd)
	}
	return fleets, nodes
}

// eventually waits for a condition for at most five seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// VMs that know one seed find all others, hear their loads, and can read a table
// from a peer without the store.
func TestFleetFindsItself(t *testing.T) {
	fleets, nodes := run(t, 5)
	for i, f := range fleets {
		eventually(t, fmt.Sprintf("vm%d does not know all", i), func() bool { return f.Size(time.Now()) == 5 })
		eventually(t, fmt.Sprintf("vm%d does not hear all", i), func() bool {
			nodes[i].mu.Lock()
			defer nodes[i].mu.Unlock()
			return len(nodes[i].heard) == 4
		})
		assert.Equal(t, f.Rank(time.Now()), i)
	}
	eventually(t, "no table", func() bool {
		reply, err := fleets[0].FetchTable("vm4", TableRequest{Table: "t", After: 1})
		return err == nil && reply.Newer && reply.Page.Revision == 4
	})
	fleets[4].SetStopping()
	eventually(t, "a stopping VM still reads the store for others", func() bool {
		names := followers(fleets[0].alive(time.Now()), "z", 2)
		return names[0] != "vm4" && names[1] != "vm4"
	})
}

// When all readers of a zone are cut off from a VM, it reads the store itself
// within a second, although others still tell that the readers are alive: a
// revoked key must not stay valid for want of a reader.
func TestVMWithoutReadersFollowsTheStore(t *testing.T) {
	f := New(Options{
		Self: Member{VM: "vm9", AvailabilityZone: "z", Address: "127.0.0.1:1", Capacity: 0.1},
		Node: &node{heard: map[string]int{}}, Log: zap.NewNop(),
	})
	hear := func() {
		for i, vm := range []string{"vm0", "vm1"} {
			f.take(Digest{From: Member{VM: vm, AvailabilityZone: "z", Address: fmt.Sprint("127.0.0.1:", i+2), Capacity: 1}})
		}
	}
	hear()
	now := time.Now()
	assert.Assert(t, !f.ReadsStore(now, 2) && !f.ReadsStore(now, 1))
	later := now.Add(confirmedFor + 100*time.Millisecond)
	f.mu.Lock()
	f.relay(Member{VM: "vm0", AvailabilityZone: "z", Address: "127.0.0.1:2", Capacity: 1}, later)
	f.mu.Unlock()
	assert.Assert(t, f.ReadsStore(later, 2) && f.ReadsStore(later, 1))
}
