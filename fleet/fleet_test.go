package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"maps"
	"net"
	"reflect"
	"slices"
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

// fleetOf returns n VMs in each zone, by descending capacity.
func fleetOf(n int, zones ...string) []Member {
	var out []Member
	for _, z := range zones {
		for i := range n {
			out = append(out, Member{VM: fmt.Sprintf("%s-%02d", z, i), AvailabilityZone: z, Capacity: float64(n - i)})
		}
	}
	return out
}

// In a large fleet the number of exchanges of a VM must not grow with the fleet:
// a VM exchanges digests with the two delegates of its zone only, and a delegate
// also with those of other zones.
func TestPartnersInLargeFleet(t *testing.T) {
	members := fleetOf(30, "a", "b", "c")
	topology := newTopology(members)
	for _, m := range members {
		partners := 0
		for _, o := range members {
			if m.VM != o.VM && topology.exchangeDirectly(&m, &o) {
				partners++
			}
		}
		delegate := m.VM == m.AvailabilityZone+"-00" || m.VM == m.AvailabilityZone+"-01"
		if delegate {
			assert.Equal(t, partners, 29+4, m.VM)
		} else {
			assert.Equal(t, partners, 2, m.VM)
		}
	}
}

// In a small fleet every VM exchanges its own report with every other VM.
func TestSmallFleetIsAMesh(t *testing.T) {
	members := fleetOf(3, "a", "b", "c")
	topology := newTopology(members)
	for _, m := range members {
		for _, o := range members {
			assert.Assert(t, topology.exchangeDirectly(&m, &o))
			assert.Equal(t, topology.scope(&m, &o), OwnScope)
		}
	}
}

// A delegate that is stopping is replaced, and a VM that cannot reach the store is
// not a store reader of its zone.
func TestDelegatesAreReplaced(t *testing.T) {
	members := fleetOf(10, "a", "b")
	assert.DeepEqual(t, newTopology(members).delegates["a"], []string{"a-00", "a-01"})
	members[0].Stopping = true
	assert.DeepEqual(t, newTopology(members).delegates["a"], []string{"a-01", "a-02"})
	members[1].Lost = true
	assert.DeepEqual(t, newTopology(members).storeReaders("a", 2), []string{"a-02", "a-03"})
	assert.DeepEqual(t, newTopology(members).storeReaders("b", 2), []string{"b-00", "b-01"})
	assert.DeepEqual(t, newTopology(members).storeReaders("a", 1), []string{"a-02"})
}

func loads(calls int) []LoadReport {
	return []LoadReport{{Upstream: "u", Calls: calls, ReadingMs: calls}}
}

func digestFrom(vm, zone string, s Scope, calls int) Digest {
	return Digest{From: Member{VM: vm, AvailabilityZone: zone}, Scope: s, Report: Report{Loads: loads(calls)}}
}

func totalCalls(r Report) int {
	n := 0
	for _, l := range r.Loads {
		n += l.Calls
	}
	return n
}

// A VM must not receive its own load as part of the load of others, and sums must
// not count a VM twice.
func TestSumsCountEachVMOnce(t *testing.T) {
	now := time.Unix(100, 0)
	rs := newReportStore()
	rs.record(digestFrom("a-1", "a", OwnScope, 1), "a-1@1", "a", now)
	rs.record(digestFrom("a-2", "a", OwnScope, 10), "a-2@1", "a", now)
	rs.record(digestFrom("b-0", "b", ZoneScope, 100), "", "a", now)
	rs.record(digestFrom("b-1", "b", ZoneScope, 100), "", "a", now)
	own := Report{Loads: loads(1000)}
	assert.Equal(t, totalCalls(rs.zoneSum(own, false, now)), 1011)
	assert.Equal(t, totalCalls(rs.othersSum(own, "a-2", false, now)), 1101)
	// A report that arrives after the sums were made must not be taken off them.
	rs.record(digestFrom("a-2", "a", OwnScope, 70), "a-2@1", "a", now)
	rs.record(digestFrom("a-3", "a", OwnScope, 5), "a-3@1", "a", now)
	assert.Equal(t, totalCalls(rs.othersSum(own, "a-2", false, now)), 1101)
	assert.Equal(t, totalCalls(rs.othersSum(own, "a-3", false, now)), 1111)
	assert.Equal(t, totalCalls(rs.othersSum(own, "a-2", false, now.Add(sumsInterval))), 1106)
	later := now.Add(reportLifetime + time.Millisecond)
	assert.Equal(t, totalCalls(rs.othersSum(own, "a-2", false, later)), 1000, "old reports no longer count")
}

// Guards against a field of a load that is added to a sum, but not taken off for the VM that
// reported it.
func TestAllFieldsOfALoadAreTakenOff(t *testing.T) {
	var load LoadReport
	v := reflect.ValueOf(&load).Elem()
	for i := range v.NumField() {
		if v.Field(i).CanInt() {
			v.Field(i).SetInt(int64(i))
		}
	}
	sum := load
	sum.add(load, 1)
	assert.Assert(t, sum != load)
	sum.add(load, -2)
	assert.Equal(t, sum, LoadReport{})
}

func evidence(bad uint64) []rollout.Evidence {
	s := guard.Stratum{Class: "r", Signal: guard.Errors}
	return []rollout.Evidence{{Service: "s", Order: 1, Counts: guard.Counts{
		Base: map[guard.Stratum]guard.Tally{}, Candidate: map[guard.Stratum]guard.Tally{s: {N: bad, Bad: bad}},
	}}}
}

func badCount(list []rollout.Evidence) uint64 {
	n := uint64(0)
	for _, e := range list {
		for _, tally := range e.Counts.Candidate {
			n += tally.Bad
		}
	}
	return n
}

// Failures that a VM observed still count against a release after the VM is gone,
// and those of all incarnations of a restarted VM count.
func TestEvidenceOutlivesItsVM(t *testing.T) {
	now := time.Unix(100, 0)
	rs := newReportStore()
	for _, incarnation := range []string{"a-1@1", "a-1@2"} {
		d := digestFrom("a-1", "a", OwnScope, 1)
		d.Report.Rollouts = evidence(5)
		rs.record(d, incarnation, "a", now)
	}
	later := now.Add(time.Minute)
	rs.expire(later)
	assert.Equal(t, badCount(rs.zoneSum(Report{Rollouts: evidence(1)}, true, later).Rollouts), uint64(11))
	assert.Equal(t, badCount(rs.othersSum(Report{Rollouts: evidence(1)}, "a-1", true, later).Rollouts), uint64(1))
}

// node is a Node that reports a fixed load.
type node struct {
	mu           sync.Mutex
	calls        int
	loadBySource map[string]int
	table        mirror.Page
	leaving      map[placement.Instance]bool
}

func (n *node) Report(bool) Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Report{Loads: loads(n.calls), Leaving: slices.Collect(maps.Keys(n.leaving))}
}
func (n *node) Tables() map[string]mirror.State {
	return map[string]mirror.State{"t": {Revision: n.table.Revision}}
}
func (n *node) Lost() bool { return false }
func (n *node) ObserveTables(string, map[string]mirror.State) {
}
func (n *node) Table(r TableRequest) TableReply {
	return TableReply{Newer: n.table.Revision > r.After, Whole: true, Page: n.table}
}
func (n *node) ApplyReport(source string, r Report, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range r.Loads {
		n.loadBySource[source] = placement.Load{Calls: l.Calls}.Calls
	}
	for _, instance := range r.Leaving {
		n.leaving[instance] = true
	}
}

// startFleets starts n VMs that all have the first one as their only seed.
func startFleets(t *testing.T, n int) ([]*Fleet, []*node) {
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
		nd := &node{calls: i + 1, loadBySource: map[string]int{}, leaving: map[placement.Instance]bool{}, table: mirror.Page{Revision: int64(i)}}
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

// eventually fails the test with a message if a condition does not hold within
// five seconds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// VMs with one common seed discover all others, receive their loads, and can fetch
// a table from a peer.
func TestFleetFindsItself(t *testing.T) {
	fleets, nodes := startFleets(t, 5)
	for i, f := range fleets {
		eventually(t, fmt.Sprintf("vm%d does not find all VMs", i), func() bool { return f.Size(time.Now()) == 5 })
		eventually(t, fmt.Sprintf("vm%d does not receive all loads", i), func() bool {
			nodes[i].mu.Lock()
			defer nodes[i].mu.Unlock()
			return len(nodes[i].loadBySource) == 4
		})
		assert.Equal(t, f.Rank(time.Now()), i)
	}
	eventually(t, "no table", func() bool {
		reply, err := fleets[0].FetchTable("vm4", TableRequest{Table: "t", After: 1})
		return err == nil && reply.Newer && reply.Page.Revision == 4
	})
	fleets[4].SetStopping()
	eventually(t, "a stopping VM still reads the store for others", func() bool {
		names := newTopology(fleets[0].alive(time.Now())).storeReaders("z", 2)
		return names[0] != "vm4" && names[1] != "vm4"
	})
}

// When a VM loses contact with all store readers of its zone, it reads the store
// itself within a second, even if other VMs report the readers as alive.
// Otherwise a revoked key would stay valid on this VM.
func TestVMWithoutReadersFollowsTheStore(t *testing.T) {
	f := New(Options{
		Self: Member{VM: "vm9", AvailabilityZone: "z", Address: "127.0.0.1:1", Capacity: 0.1},
		Node: &node{loadBySource: map[string]int{}}, Log: zap.NewNop(),
	})
	receive := func() {
		for i, vm := range []string{"vm0", "vm1"} {
			f.applyDigest(Digest{From: Member{VM: vm, AvailabilityZone: "z", Address: fmt.Sprint("127.0.0.1:", i+2), Capacity: 1}}, time.Now())
		}
	}
	receive()
	now := time.Now()
	assert.Assert(t, !f.ReadsStore(now, 2) && !f.ReadsStore(now, 1))
	later := now.Add(readerTrustedFor + 100*time.Millisecond)
	f.mu.Lock()
	f.recordRelayed(Member{VM: "vm0", AvailabilityZone: "z", Address: "127.0.0.1:2", Capacity: 1}, later)
	f.mu.Unlock()
	assert.Assert(t, f.ReadsStore(later, 2) && f.ReadsStore(later, 1))
}

// tell makes a VM know that an upstream leaves.
func (n *node) tell(instance placement.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[instance] = true
}

// Guards against a VM that is not told that an upstream leaves because it does not
// exchange digests with the VM that learned of it.
func TestLeavingUpstreamIsToldToAll(t *testing.T) {
	_, nodes := startFleets(t, 3)
	instance := placement.Instance{ID: "u", Incarnation: 7, Address: "10.0.0.1:1"}
	nodes[1].tell(instance)
	for i, n := range nodes {
		eventually(t, fmt.Sprintf("vm%d is not told", i), func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.leaving[instance]
		})
	}
	now := time.Now()
	delegate := delegateOf(&node{leaving: map[placement.Instance]bool{instance: true}}, now)
	for to, scope := range map[string]Scope{"a-01": OwnScope, "a-05": OthersScope, "b-00": ZoneScope} {
		d := delegate.digest(memberOf(delegate, to), now)
		assert.Equal(t, d.Scope, scope)
		assert.DeepEqual(t, d.Report.Leaving, []placement.Instance{instance})
	}
}

// Guards against delegates that are sent lists of the whole fleet by each VM, and against a VM
// that does not tell its delegate of one that the delegate does not know.
func TestMembersListWhatTheirDelegateLacks(t *testing.T) {
	now := time.Now()
	f := delegateOf(&node{}, now)
	delegate, member, other := memberOf(f, "a-01"), memberOf(f, "a-05"), memberOf(f, "b-00")
	f.opts.Self = Member{VM: "a-10", AvailabilityZone: "a", Address: "a-10"}
	listed := func() []Member {
		f.peers["a-01"].fullDigest = time.Time{}
		return f.digest(delegate, now).Members
	}
	assert.Equal(t, len(listed()), 19, "the delegate has listed none")
	f.applyDigest(Digest{From: delegate, Members: []Member{delegate, other, f.opts.Self}}, now)
	f.applyDigest(Digest{From: delegate}, now)
	assert.Equal(t, len(listed()), 17)
	f.applyDigest(Digest{From: delegate, Members: f.alive(now)}, now)
	assert.Equal(t, len(listed()), 0)
	f.peers["a-05"].fullDigest = time.Time{}
	assert.Equal(t, len(f.digest(member, now).Members), 20, "a VM that is no delegate is listed all")
}

// Guards against digests without bound after many upstreams have left.
func TestDigestBoundsLeavingUpstreams(t *testing.T) {
	n := &node{loadBySource: map[string]int{}, leaving: map[placement.Instance]bool{}}
	for i := range 2 * maxDigestLeaving {
		n.tell(placement.Instance{ID: fmt.Sprint("u", i)})
	}
	f := New(Options{Self: Member{VM: "vm0", Address: "127.0.0.1:1"}, Node: n, Log: zap.NewNop()})
	assert.Equal(t, len(f.digest(Member{VM: "vm1", Address: "127.0.0.1:2"}, time.Now()).Report.Leaving), maxDigestLeaving)
}

// Guards against a report that VMs of the build before Report.Leaving cannot decode, and
// against theirs.
func TestReportWithoutLeavingIsUnderstood(t *testing.T) {
	type earlierReport struct {
		Loads    []LoadReport
		Uses     []placement.CacheUse
		Sessions []rollout.SessionUse
		Rollouts []rollout.Evidence
	}
	var wire bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&wire).Encode(Report{Loads: loads(3), Leaving: []placement.Instance{{ID: "u"}}}))
	var earlier earlierReport
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&earlier))
	assert.DeepEqual(t, earlier.Loads, loads(3))
	wire.Reset()
	assert.NilError(t, gob.NewEncoder(&wire).Encode(earlier))
	var report Report
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&report))
	assert.DeepEqual(t, report, Report{Loads: loads(3)})
}
