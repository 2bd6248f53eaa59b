package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/policy/guard"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	benchUpstreams = 94
	benchZones     = 4
	benchRequests  = 500 // per second, over the whole fleet
	benchTick      = exchangeInterval / 3
	benchService   = "brief-model"
)

// cause is a part of the processor time of a VM.
type cause int

const (
	causeDue cause = iota
	causeQueries
	causeDigest
	causeEncode
	causeDecode
	causeApply
	causeRequests
	causes
)

var causeNames = [causes]string{"due", "queries", "digest", "encode", "decode", "apply", "requests"}

// benchVM is a Node with the state of an entry VM, on virtual time.
type benchVM struct {
	fleet      *Fleet
	balancer   *placement.Balancer
	rollouts   *rollout.Manager
	quarantine *quarantine.Tracker
	now        time.Time
	delegate   bool
	spent      [causes]time.Duration
	inFlight   []*placement.Call
	startedAt  []time.Time
}

const benchWindow = 800 * time.Millisecond

func (v *benchVM) Report(evidence bool) Report {
	r := Report{
		Loads: EncodeLoads(v.balancer.Loads()), Uses: v.balancer.RecentUses(benchWindow, v.now),
		Sessions: v.rollouts.RecentSessions(benchWindow, v.now), Quarantine: v.quarantine.Report(benchWindow, evidence, v.now),
	}
	r.Leaving = v.balancer.LeavingSince(v.now.Add(-benchWindow), v.now)
	if evidence {
		r.Rollouts = v.rollouts.Evidence()
	}
	return r
}

func (v *benchVM) ApplyReport(source string, r Report, now time.Time) {
	v.balancer.SetPeer(source, DecodeLoads(r.Loads), now)
	v.balancer.AddUses(r.Uses, now)
	v.quarantine.Merge(r.Quarantine, now)
	v.rollouts.AddSessions(r.Sessions, now)
	v.rollouts.Merge(source, r.Rollouts)
}

func (v *benchVM) Tables() map[string]mirror.State {
	return map[string]mirror.State{"orders": {Revision: 7}, "upstreams": {Revision: 9000}, "status": {Revision: 3}, "quarantine": {Revision: 1}}
}
func (v *benchVM) Lost() bool                                    { return false }
func (v *benchVM) ObserveTables(string, map[string]mirror.State) {}
func (v *benchVM) Table(TableRequest) TableReply                 { return TableReply{} }

// charge adds the processor time of a step to a cause. The time of the thread is used,
// because other processes share the machine.
func (v *benchVM) charge(c cause, step func()) {
	before := threadTime()
	step()
	v.spent[c] += threadTime() - before
}

func threadTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// wire is a connection from one VM to another, of which gob sends type information once.
type wire struct {
	bytes   bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newWire() *wire {
	w := &wire{}
	w.encoder, w.decoder = gob.NewEncoder(&w.bytes), gob.NewDecoder(&w.bytes)
	return w
}

// benchFleet is a fleet on virtual time, without network.
type benchFleet struct {
	vms       []*benchVM
	upstreams []placement.Upstream
	byAddr    map[string]*benchVM
	wires     map[[2]*benchVM]*wire
	random    *rand.Rand
	now       time.Time
	sent      int
	nextID    int
}

func newBenchFleet(size int) *benchFleet {
	bf := &benchFleet{byAddr: map[string]*benchVM{}, wires: map[[2]*benchVM]*wire{}, random: rand.New(rand.NewPCG(1, 2)), now: time.Now()}
	bf.upstreams = make([]placement.Upstream, benchUpstreams)
	for i := range bf.upstreams {
		bf.upstreams[i] = placement.Upstream{
			ID: fmt.Sprintf("brief-model-%03d", i), Service: benchService, Address: fmt.Sprintf("10.1.0.%d:8000", i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%benchZones), Release: "v1", Slots: 8,
		}
	}
	var members []Member
	for i := range size {
		m := Member{VM: fmt.Sprintf("vm-%03d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%benchZones), Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Capacity: 1}
		if i < delegatesPerZone*benchZones {
			m.Capacity = 2
		}
		members = append(members, m)
	}
	for _, m := range members {
		v := &benchVM{
			balancer:   placement.NewBalancer(placement.Options{AvailabilityZone: m.AvailabilityZone}),
			rollouts:   rollout.New(rollout.Options{SessionIdle: 5 * time.Second, Exposure: 0.2, Log: zap.NewNop()}),
			quarantine: quarantine.New(quarantine.Options{}), now: bf.now, delegate: m.Capacity > 1,
		}
		v.balancer.SetUpstreams(bf.upstreams, bf.now, bf.now)
		v.fleet = New(Options{Self: m, Incarnation: 1, Node: v, Log: zap.NewNop()})
		for _, o := range members {
			if p := v.fleet.ensurePeer(o.Address, bf.now); p != nil {
				// Exchanges of different VMs are not due at the same time.
				p.Member, p.lastRelayed = o, bf.now
				p.nextExchange = bf.now.Add(time.Duration(bf.random.Int64N(int64(crossZoneFactor * float64(exchangeInterval)))))
			}
		}
		bf.vms, bf.byAddr[m.Address] = append(bf.vms, v), v
	}
	return bf
}

// send sends the digest of one VM to another.
func (bf *benchFleet) send(from, to *benchVM) {
	key := [2]*benchVM{from, to}
	w := bf.wires[key]
	if w == nil {
		w = newWire()
		bf.wires[key] = w
	}
	var d, received Digest
	from.charge(causeDigest, func() { d = from.fleet.digest(to.fleet.opts.Self, bf.now) })
	from.charge(causeEncode, func() { _ = w.encoder.Encode(d) })
	bf.sent += w.bytes.Len()
	to.charge(causeDecode, func() { _ = w.decoder.Decode(&received) })
	to.charge(causeApply, func() { to.fleet.applyDigest(received, bf.now) })
}

// tick advances the time by benchTick.
func (bf *benchFleet) tick() {
	bf.now = bf.now.Add(benchTick)
	for _, v := range bf.vms {
		v.now = bf.now
		v.charge(causeRequests, func() { v.finish(bf.now) })
	}
	for range int(benchRequests * benchTick.Seconds()) {
		v := bf.vms[bf.random.IntN(len(bf.vms))]
		bf.nextID++
		document, organisation, session := bf.random.IntN(400), bf.random.IntN(40), bf.random.IntN(2000)
		v.charge(causeRequests, func() { v.request(bf.nextID, organisation, document, session, bf.now) })
	}
	for _, v := range bf.vms {
		v.charge(causeQueries, func() {
			v.fleet.Rank(bf.now)
			v.fleet.ReadsStore(bf.now, 1)
		})
		var due []*peer
		v.charge(causeDue, func() { due = v.fleet.due(bf.now) })
		for _, p := range due {
			other := bf.byAddr[p.Address]
			bf.send(v, other)
			bf.send(other, v)
			p.inExchange = false
		}
	}
}

// request places a request, whose answer begins at once and ends after a second.
func (v *benchVM) request(id, organisation, document, session int, now time.Time) {
	q := &placement.Query{Service: benchService, Model: "large", Rank: 1, Tokens: 3000, Now: now, Parts: []placement.Part{
		{ID: fmt.Sprint("organisation-", organisation), Tokens: 800}, {ID: fmt.Sprint("document-", document), Tokens: 1500}, {ID: fmt.Sprint("request-", id), Tokens: 700},
	}}
	c, ok := v.balancer.Choose(q)
	if !ok {
		return
	}
	call := v.balancer.Start(c, q)
	call.FirstEvent(now)
	v.rollouts.Served(benchService, fmt.Sprint("session-", session), "v1", now)
	v.inFlight, v.startedAt = append(v.inFlight, call), append(v.startedAt, now)
}

// finish ends the requests that are a second old.
func (v *benchVM) finish(now time.Time) {
	for len(v.inFlight) > 0 && now.Sub(v.startedAt[0]) >= time.Second {
		v.inFlight[0].End(placement.Answered, now)
		v.inFlight, v.startedAt = v.inFlight[1:], v.startedAt[1:]
	}
}

// BenchmarkVMSecond measures the processor time that a VM spends in a second on exchanges with
// its peers and on the placement of its requests, by cause, without network and HTTP.
func BenchmarkVMSecond(b *testing.B) {
	for _, size := range []int{20, 100, 300} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			bf := newBenchFleet(size)
			second := func() {
				for range int(time.Second / benchTick) {
					bf.tick()
				}
			}
			second()
			for _, v := range bf.vms {
				v.spent = [causes]time.Duration{}
			}
			bf.sent = 0
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			for range b.N {
				second()
			}
			b.StopTimer()
			runtime.ReadMemStats(&after)
			bf.report(b)
			vmSeconds := float64(b.N * size)
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/vmSeconds, "allocs/s")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1024/vmSeconds, "KB-allocated/s")
			b.ReportMetric(float64(bf.sent)/1024/vmSeconds, "KB-sent/s")
		})
	}
}

// report reports the processor time of a VM in microseconds per second: the mean over the
// fleet, and the means of delegates and of members by cause.
func (bf *benchFleet) report(b *testing.B) {
	var sums [2][causes]time.Duration
	var counts [2]int
	for _, v := range bf.vms {
		role := 0
		if v.delegate {
			role = 1
		}
		counts[role]++
		for c, d := range v.spent {
			sums[role][c] += d
		}
	}
	var fleet time.Duration
	for role, name := range []string{"member", "delegate"} {
		var all time.Duration
		for c, d := range sums[role] {
			all += d
			b.ReportMetric(perSecond(d, counts[role]*b.N), name+"-"+causeNames[c]+"-µs")
		}
		fleet += all
		b.ReportMetric(perSecond(all, counts[role]*b.N), name+"-µs/s")
	}
	b.ReportMetric(perSecond(fleet, len(bf.vms)*b.N), "mean-µs/s")
}

func perSecond(d time.Duration, vmSeconds int) float64 {
	return float64(d.Microseconds()) / float64(vmSeconds)
}

// BenchmarkExchange measures the processor time of both VMs for an exchange over a TCP
// connection, with digests of a member and of a delegate in a fleet of 100 VMs.
func BenchmarkExchange(b *testing.B) {
	bf := newBenchFleet(100)
	for range 2 * int(time.Second/benchTick) {
		bf.tick()
	}
	delegate, member := bf.vms[0], bf.vms[8]
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = delegate.fleet.Serve(l) }()
	defer func() { _ = l.Close(); delegate.fleet.Close(); member.fleet.Close() }()
	p := member.fleet.peers[delegate.fleet.opts.Self.Address]
	p.Address = l.Addr().String()
	member.fleet.exchange(p)
	assert.Assert(b, p.client != nil)
	before := processTime()
	b.ReportAllocs()
	for b.Loop() {
		member.fleet.exchange(p)
	}
	b.ReportMetric(float64((processTime()-before).Microseconds())/float64(b.N), "processor-µs/op")
}

func processTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// BenchmarkEvidenceSum measures the sums of the evidence on a rollout that a delegate in a fleet
// of 300 VMs makes in a second for the 74 other VMs of its zone.
func BenchmarkEvidenceSum(b *testing.B) {
	now := time.Now()
	rs := newReportStore()
	list := func() []rollout.Evidence {
		counts := guard.Counts{Base: map[guard.Stratum]guard.Tally{}, Candidate: map[guard.Stratum]guard.Tally{}}
		for i := range 8 {
			s := guard.Stratum{Class: fmt.Sprint("route-", i), Signal: guard.Errors}
			counts.Base[s], counts.Candidate[s] = guard.Tally{N: 1000, Bad: 3}, guard.Tally{N: 100, Bad: 1}
		}
		return []rollout.Evidence{{Service: benchService, Order: 5, Counts: counts}}
	}
	name := func(i int) string { return fmt.Sprintf("vm-%03d", i) }
	for i := range 74 {
		d := Digest{From: Member{VM: name(i), AvailabilityZone: "a"}, Scope: OwnScope, Report: Report{Rollouts: list()}}
		rs.record(d, incarnationName(name(i), 1), "a", now)
	}
	for _, zone := range []string{"b", "c", "d"} {
		rs.record(Digest{From: Member{VM: zone, AvailabilityZone: zone}, Scope: ZoneScope, Report: Report{Rollouts: list()}}, "", "a", now)
	}
	own := list()
	b.ReportAllocs()
	for b.Loop() {
		for n := range int(74 * time.Second / fullDigestInterval) {
			rs.evidenceSum(own, name(n%74), true)
		}
	}
}
