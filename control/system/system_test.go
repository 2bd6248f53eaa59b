package system_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// TestMain sets the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		if err := seed.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testTree returns a tree with one engine, e1, on the VM vm1.
func testTree(versions ...string) *tree.Tree {
	return &tree.Tree{
		Versions: map[string]tree.Version{"s1": {Model: "small"}, "s2": {Model: "small"}, "old": {State: tree.VersionWithdrawn}},
		Upstreams: map[string]tree.Upstream{
			"e1": {Kind: tree.EngineUpstream, URL: "http://127.0.0.1:1", VM: "vm1", Versions: versions},
		},
	}
}

// newTables returns tables after a first tick at epoch with a tree.
func newTables(tr *tree.Tree) *table.Tables { return newTablesAt(epoch, tr) }

func newTablesAt(now time.Time, tr *tree.Tree) *table.Tables {
	t := &table.Tables{}
	system.Tick(t, now, &system.Inputs{Tree: tr})
	return t
}

func tickTime(tick int) time.Time { return epoch.Add(time.Duration(tick) * system.TickInterval) }

func probe(sentAt time.Time, failed bool, report upstream.LoadReport) system.ProbeResult {
	return system.ProbeResult{Upstream: "e1", SentAt: sentAt, Failed: failed, Report: &report}
}

// propertyFails reports whether a property fails for some draw. Negative controls
// use it.
func propertyFails(t *testing.T, property func(rt *rapid.T) error) bool {
	failed := false
	rapid.Check(t, func(rt *rapid.T) { failed = property(rt) != nil || failed })
	return failed
}

// checkProperty checks that a property holds for all draws.
func checkProperty(t *testing.T, property func(rt *rapid.T) error) {
	rapid.Check(t, func(rt *rapid.T) { assert.NilError(rt, property(rt)) })
}

// healthProperty returns the property that an upstream goes down after three
// consecutive failures and comes up no sooner than MinDown after it went down.
// tick runs one tick.
func healthProperty(tick func(h *table.Tables, now time.Time, in *system.Inputs)) func(*rapid.T) error {
	return func(rt *rapid.T) error {
		t, failuresInRow := newTables(testTree()), 0
		downAt := time.Time{}
		for i := 1; i <= 200; i++ {
			failed := rapid.Float64Range(0, 1).Draw(rt, "draw") < 0.6
			wasUp := t.Upstreams.Get("e1").Health.Up
			tick(t, tickTime(i), &system.Inputs{Probes: []system.ProbeResult{probe(tickTime(i), failed, upstream.LoadReport{})}})
			up := t.Upstreams.Get("e1").Health.Up
			if failuresInRow++; !failed {
				failuresInRow = 0
			}
			switch {
			case up && failuresInRow >= system.FailuresToDown:
				return fmt.Errorf("tick %d: up after %d failures", i, failuresInRow)
			case wasUp && !up:
				downAt = tickTime(i)
			case !wasUp && up && tickTime(i).Sub(downAt) < system.MinDown:
				return fmt.Errorf("tick %d: up again after %s", i, tickTime(i).Sub(downAt))
			}
		}
		return nil
	}
}

// Guards against an upstream that flaps between up and down, or stays up while it
// fails.
func TestHealthHasHysteresis(t *testing.T) {
	checkProperty(t, healthProperty(func(t *table.Tables, now time.Time, in *system.Inputs) { system.Tick(t, now, in) }))
}

// Negative control: Up follows each single result, and the check must find an
// upstream that comes up too soon.
func TestHealthWithoutHysteresis(t *testing.T) {
	assert.Assert(t, propertyFails(t, healthProperty(func(t *table.Tables, _ time.Time, in *system.Inputs) {
		t.Upstreams.Get("e1").Health.Up = !in.Probes[0].Failed
	})))
}

// Guards against failed calls that don't mark an upstream down, and against an
// upstream that stays down after its probes succeed again.
func TestHealthRecoversAndCountsCalls(t *testing.T) {
	tb := newTables(testTree())
	call := system.CallResult{Upstream: "e1", SentAt: tickTime(1), Failed: true}
	system.Tick(tb, tickTime(2), &system.Inputs{Calls: []system.CallResult{call, call, call}})
	u := tb.Upstreams.Get("e1")
	assert.Assert(t, !u.Usable() && !u.Health.Up)
	for i := 3; i < 30; i++ {
		system.Tick(tb, tickTime(i), &system.Inputs{Probes: []system.ProbeResult{probe(tickTime(i), false, upstream.LoadReport{})}})
	}
	assert.Assert(t, u.Usable())
}

// leavingProperty returns the property that an engine receives no new work while
// the list of VMs or the engine itself reports that it is leaving, and receives
// work otherwise. Some of the reports arrive late. alterInputs changes the inputs
// of each tick.
func leavingProperty(alterInputs func(in *system.Inputs)) func(*rapid.T) error {
	return func(rt *rapid.T) error {
		t := newTables(testTree())
		listed, own := false, false // leaving according to the list and the engine
		ownSent, earliest := time.Time{}, time.Time{}
		for i := 1; i <= 60; i++ {
			in := &system.Inputs{}
			reported := rapid.Bool().Draw(rt, "leaving")
			switch rapid.IntRange(0, 5).Draw(rt, "source") {
			case 0:
				listed = reported
				in.VMs = []infra.VM{{ID: "vm1", State: infra.VMLive}, {ID: "vm2"}}
				if reported {
					in.VMs[0].State = infra.VMLeaving
				}
			case 1:
				listed = true
				in.VMs = []infra.VM{{ID: "vm2"}}
				if t.VMs.Get("vm1") == nil {
					listed = false
				}
			case 2:
				sent := tickTime(i - rapid.IntRange(0, 20).Draw(rt, "late"))
				in.Probes = []system.ProbeResult{probe(sent, false, upstream.LoadReport{Leaving: reported})}
				if own = reported || own && !sent.After(ownSent); sent.After(ownSent) {
					ownSent = sent
				}
			case 3:
				in.Calls = []system.CallResult{{Upstream: "e1", SentAt: tickTime(i), Leaving: true}}
				own, ownSent = true, tickTime(i)
			}
			if listed || own {
				if earliest.IsZero() {
					earliest = tickTime(i)
				}
			} else {
				earliest = time.Time{}
			}
			alterInputs(in)
			system.Tick(t, tickTime(i), in)
			if u := t.Upstreams.Get("e1"); u.Usable() != earliest.IsZero() {
				return fmt.Errorf("tick %d: usable %t, list says leaving %t, engine %t", i, u.Usable(), listed, own)
			}
		}
		return nil
	}
}

// Guards against new work for an upstream that is leaving, and against a stale
// report of one source that overrides another source.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	checkProperty(t, leavingProperty(func(*system.Inputs) {}))
}

// Negative control: with the replies of the engine removed, the check must find
// work that is sent to a leaving engine.
func TestLeavingWithoutSelfReports(t *testing.T) {
	assert.Assert(t, propertyFails(t, leavingProperty(func(in *system.Inputs) { in.Probes, in.Calls = nil, nil })))
}

// Guards against a start of leaving that a later report of another source moves,
// and against an empty list of VMs that stops all work.
func TestLeavingSinceTheEarliestReport(t *testing.T) {
	tb := newTables(testTree())
	vms := []infra.VM{{ID: "vm1", State: infra.VMLive}}
	system.Tick(tb, tickTime(1), &system.Inputs{VMs: vms})
	system.Tick(tb, tickTime(2), &system.Inputs{VMs: []infra.VM{}})
	u := tb.Upstreams.Get("e1")
	assert.Assert(t, u.Usable())
	system.Tick(tb, tickTime(3), &system.Inputs{Calls: []system.CallResult{{Upstream: "e1", SentAt: tickTime(2), Leaving: true}}})
	vms[0].State = infra.VMLeaving
	system.Tick(tb, tickTime(9), &system.Inputs{VMs: vms})
	assert.Equal(t, u.Leaving.Since(), tickTime(3))
}

// loadProperty returns the property that the estimate of outstanding requests is
// never below the number of this daemon's own requests at the engine, although
// load reports arrive late and out of order. alterInputs changes the inputs of
// each tick.
func loadProperty(alterInputs func(in *system.Inputs)) func(*rapid.T) error {
	return func(rt *rapid.T) error {
		t := newTables(testTree())
		var ends []int    // end tick of each request; request i is sent at tick i+1
		var running []int // true number of running requests, by tick
		for i := 1; i <= 100; i++ {
			in := &system.Inputs{Sends: []system.Send{{Upstream: "e1", At: tickTime(i)}}}
			ends = append(ends, i+rapid.IntRange(1, 40).Draw(rt, "length"))
			now := 0
			for request, end := range ends {
				if end == i {
					in.Calls = append(in.Calls, system.CallResult{Upstream: "e1", SentAt: tickTime(request + 1)})
				}
				if end > i {
					now++
				}
			}
			running = append(running, now)
			if rapid.IntRange(0, 4).Draw(rt, "report") == 0 {
				age := rapid.IntRange(0, min(i-1, 20)).Draw(rt, "age")
				sent := rapid.IntRange(i-age, i).Draw(rt, "sent")
				report := upstream.LoadReport{Running: running[i-age-1], AgeMs: int64(sent-i+age) * system.TickInterval.Milliseconds()}
				in.Probes = []system.ProbeResult{probe(tickTime(sent), false, report)}
			}
			alterInputs(in)
			system.Tick(t, tickTime(i), in)
			if got := t.Upstreams.Get("e1").Load.Outstanding(); got < now {
				return fmt.Errorf("tick %d: estimate %d, truth %d", i, got, now)
			}
		}
		return nil
	}
}

// Guards against a load estimate that misses requests which this daemon has just
// sent, so that it sends too many to one engine.
func TestLoadIsNotUnderestimated(t *testing.T) {
	checkProperty(t, loadProperty(func(*system.Inputs) {}))
}

// Negative control: without the daemon's own sends, the check must find an
// estimate that is too low.
func TestLoadWithoutOwnSends(t *testing.T) {
	assert.Assert(t, propertyFails(t, loadProperty(func(in *system.Inputs) { in.Sends = nil })))
}

// Guards against more probes than their bound, and against suspected upstreams,
// such as those of a failed zone, that take more than half of the probes.
func TestProbesAreBoundedAndShared(t *testing.T) {
	tr := &tree.Tree{Upstreams: map[string]tree.Upstream{}}
	for i := range 200 {
		tr.Upstreams[fmt.Sprintf("e%03d", i)] = tree.Upstream{Kind: tree.EngineUpstream, URL: fmt.Sprint("http://127.0.0.1:", i+1)}
	}
	tb := &table.Tables{}
	in := &system.Inputs{Tree: tr}
	probed := map[bool]int{}
	const first, ticks = 300, 300 // ticks before first are not counted, because the failures are not known yet
	for i := range first + ticks {
		sent := system.Tick(tb, tickTime(i), in)
		in = &system.Inputs{}
		for _, effect := range sent {
			p := effect.(system.Probe)
			bad := p.Upstream < "e100"
			if i >= first {
				probed[bad]++
			}
			in.Probes = append(in.Probes, system.ProbeResult{Upstream: p.Upstream, SentAt: p.SentAt, Failed: bad})
		}
	}
	bound := system.ProbesPerSecond * int(ticks*system.TickInterval/time.Second)
	assert.Assert(t, probed[true]+probed[false] <= bound && probed[false] >= bound/2-10, "%v of %d", probed, bound)
}
