package spread_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/coord/spread/spreadtest"
	"github.com/savoryshift/savoryshift/coord/store"
)

const (
	scheduleNodes = 6
	scheduleZones = 3
	// slowDelay is the one-way delay of messages while the network is slow.
	slowDelay = 1500 * time.Millisecond
	// healTime is long enough for every node to reach the head after all faults
	// have ended.
	healTime = 6 * time.Second
)

// Kinds of steps. Edits come first, because rapid shrinks towards small numbers
// and so towards schedules of edits.
const (
	edit = iota
	staleEdit
	repeatEdit
	raceEdit
	lostReplyEdit
	togglePlatform
	toggleZonePlatform
	toggleLink
	isolateZone
	toggleSlow
	freeze
	thaw
	kill
	restart
	numStepKinds
)

type step struct {
	Kind, A, B int
	Wait       time.Duration
}

func stepsGen() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, numStepKinds-1).Draw(t, "kind"),
			A:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "a"),
			B:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "b"),
			Wait: time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * 50 * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 30)
}

// hookTable lets a test run code between the read and the commit of an Append,
// and modify the transaction.
type hookTable struct {
	store.Table
	beforeCommit func()
	alterOps     func([]store.Op) []store.Op
}

func dropConditions(ops []store.Op) []store.Op {
	for i := range ops {
		ops[i].Expect = store.AnyVersion
	}
	return ops
}

func dropIDs(ops []store.Op) []store.Op {
	return slices.DeleteFunc(ops, func(op store.Op) bool { return strings.HasPrefix(op.Key, "config/id/") })
}

func (h *hookTable) Commit(ctx context.Context, ops []store.Op) error {
	if hook := h.beforeCommit; hook != nil {
		h.beforeCommit = nil
		hook()
	}
	if h.alterOps != nil {
		ops = h.alterOps(ops)
	}
	return h.Table.Commit(ctx, ops)
}

// schedule runs steps on a fleet and records the state that the invariants
// compare.
type schedule struct {
	fleet             *spreadtest.Fleet
	table             *hookTable
	edits             []changelog.Change
	log               []changelog.Change // the committed changes, as first read
	committed         []time.Duration    // virtual time at which each change of log was committed
	cutLinks          map[string]bool
	inForce           map[*spread.Node]int64
	violation         error
	staleObservations int // times that a host had a valid lease on a superseded revision
}

func newSchedule(hooks spreadtest.Hooks, alterOps func([]store.Op) []store.Op) *schedule {
	s := &schedule{cutLinks: make(map[string]bool), inForce: make(map[*spread.Node]int64)}
	s.fleet = spreadtest.New(spreadtest.Options{
		Nodes: scheduleNodes, Zones: scheduleZones, Seed: 1, Loss: 0.02, Hooks: hooks,
		Keep: 2, Apply: concat, // Keep is small, so that nodes also need snapshots from each other
		Table: func(t store.Table) store.Table {
			s.table = &hookTable{Table: t, alterOps: alterOps}
			return s.table
		},
	})
	s.fleet.LinkCut = func(a, b string) bool { return s.cutLinks[a+b] || s.cutLinks[b+a] }
	s.fleet.Observe = s.checkHost
	return s
}

// concat is an Apply function whose state is the concatenation of all patches in
// the order of their application.
func concat(state, patch []byte) ([]byte, error) { return slices.Concat(state, patch), nil }

func (s *schedule) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("at %v: %w", s.fleet.Now(), fmt.Errorf(format, args...))
	}
}

// checkHost checks the invariants of one host.
func (s *schedule) checkHost(h *spreadtest.Host) {
	if h.InForce < s.inForce[h.Node] {
		s.fail("%s went back from revision %d to %d", h.ID, s.inForce[h.Node], h.InForce)
	}
	s.inForce[h.Node] = h.InForce
	if head := h.Follower.Head(); head.Revision > 0 && s.log[head.Revision-1].Hash != head.Hash {
		s.fail("%s holds a forked revision %d", h.ID, head.Revision)
	}
	superseded := h.InForce < int64(len(s.log))
	if !superseded || !h.Lease.Valid() {
		return
	}
	s.staleObservations++
	if ago := s.fleet.Now() - s.committed[h.InForce]; ago > evidence.DefaultDuration {
		s.fail("%s has a valid lease on revision %d, superseded %v ago", h.ID, h.InForce, ago)
	}
}

// appendChange commits a change and checks the log.
func (s *schedule) appendChange(c changelog.Change) {
	_, err := s.fleet.Log.Append(context.Background(), c)
	_, conflict := errors.AsType[*changelog.ConflictError](err)
	if err != nil && !conflict && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknown) {
		s.fail("append: %w", err)
	}
	s.checkLog()
}

func (s *schedule) checkLog() {
	faults := s.fleet.Store.Faults()
	s.fleet.Store.SetFaults(memstore.Faults{})
	defer s.fleet.Store.SetFaults(faults)
	all, err := changelog.New(changelog.Options{Table: s.fleet.Store}).Changes(context.Background(), 0, 1000)
	if err == nil {
		err = changelog.Verify(changelog.Head{}, all)
	}
	if err != nil || len(all) < len(s.log) {
		s.fail("log of %d changes, then %d: %w", len(s.log), len(all), err)
		return
	}
	revisions := make(map[string]int64)
	for i, c := range all {
		if first, twice := revisions[c.ID]; twice {
			s.fail("change %s has revisions %d and %d", c.ID, first, c.Revision)
		}
		revisions[c.ID] = c.Revision
		if i < len(s.log) && s.log[i].Hash != c.Hash {
			s.fail("revision %d was replaced", c.Revision)
		}
	}
	for range len(all) - len(s.log) {
		s.committed = append(s.committed, s.fleet.Now())
	}
	s.log = all
}

func (s *schedule) newEdit(base int64) changelog.Change {
	c := changelog.Change{ID: strconv.Itoa(len(s.edits)), Author: "operator", Base: max(0, base), Patch: fmt.Appendf(nil, "%d;", len(s.edits))}
	s.edits = append(s.edits, c)
	return c
}

func (s *schedule) applyEdit(st step) {
	head := int64(len(s.log))
	switch st.Kind {
	case edit:
		s.appendChange(s.newEdit(head))
	case staleEdit:
		s.appendChange(s.newEdit(head - int64(st.A%3)))
	case repeatEdit:
		if len(s.edits) > 0 {
			c := s.edits[len(s.edits)-1-st.A%len(s.edits)]
			c.Base = max(0, head-int64(st.B%2)) // rebased, as its author would do after a conflict
			s.appendChange(c)
		}
	case raceEdit:
		rival := s.newEdit(head)
		s.table.beforeCommit = func() { s.appendChange(rival) }
		s.appendChange(s.newEdit(head))
		s.table.beforeCommit = nil
	case lostReplyEdit:
		faults := s.fleet.Store.Faults()
		faults.LoseReplies = 1 + st.A
		s.fleet.Store.SetFaults(faults)
		s.appendChange(s.newEdit(head))
		faults.LoseReplies = 0
		s.fleet.Store.SetFaults(faults)
	}
}

func (s *schedule) applyFault(st step) {
	f, h := s.fleet, s.fleet.Hosts[st.A]
	zone, other := f.Zones[st.A%scheduleZones], f.Zones[st.B%scheduleZones]
	switch st.Kind {
	case togglePlatform:
		f.Store.SetFaults(memstore.Faults{Down: !f.Store.Faults().Down})
	case toggleZonePlatform:
		f.PlatformCut[zone] = !f.PlatformCut[zone]
	case toggleLink:
		s.cutLinks[zone+other] = !s.cutLinks[zone+other]
	case isolateZone:
		f.PlatformCut[zone] = true
		for _, z := range f.Zones {
			s.cutLinks[zone+z] = true
		}
	case toggleSlow:
		f.ExtraDelay = slowDelay - f.ExtraDelay
	case freeze:
		h.Freeze()
	case thaw:
		h.Thaw()
	case kill:
		h.Kill()
	case restart:
		h.Restart()
	}
}

// heal ends all faults, after which every node must reach the head.
func (s *schedule) heal() {
	s.fleet.Store.SetFaults(memstore.Faults{})
	s.fleet.ExtraDelay = 0
	clear(s.cutLinks)
	clear(s.fleet.PlatformCut)
	for _, h := range s.fleet.Hosts {
		h.Thaw()
		if !h.Running() {
			h.Restart()
		}
	}
	s.fleet.Run(healTime)
	var want []byte
	for _, c := range s.log {
		want = append(want, c.Patch...)
	}
	for _, h := range s.fleet.Hosts {
		if h.InForce != int64(len(s.log)) || !h.Lease.Valid() {
			s.fail("%s is at revision %d of %d after healing, evidence age %v", h.ID, h.InForce, len(s.log), h.Lease.Age())
		}
		if _, state := h.Follower.State(); !bytes.Equal(state, want) {
			s.fail("%s has state %q, want %q", h.ID, state, want)
		}
		if missing := h.Node.Unacknowledged(int64(len(s.log))); len(missing) > 0 {
			s.fail("%s misses acknowledgements of %v after healing", h.ID, missing)
		}
	}
}

func (s *schedule) run(all []step) error {
	s.fleet.Run(2 * time.Second)
	for _, st := range all {
		if st.Kind < togglePlatform {
			s.applyEdit(st)
		} else {
			s.applyFault(st)
		}
		s.fleet.Run(st.Wait)
		if s.violation != nil {
			return s.violation
		}
	}
	s.heal()
	return s.violation
}

// Guards the invariants of section 3.2 of the design under edits, races, lost
// replies, outages, partitions, frozen nodes and restarts: the log never forks, no
// change has two revisions, the revision in force on a node never decreases, and
// no node with a valid lease runs on a revision that was superseded longer ago
// than the lease duration.
func TestSchedules(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.checks", strconv.Itoa(scheduleChecks)))
	assert.NilError(t, flag.Set("rapid.seed", "20260101"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	superseded, edits := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(spreadtest.Hooks{}, nil)
		if err := s.run(stepsGen().Draw(rt, "steps")); err != nil {
			rt.Fatal(err)
		}
		superseded += s.staleObservations
		edits += len(s.log)
	})
	t.Logf("%d changes, %d observations of a superseded revision under a valid lease", edits, superseded)
	assert.Assert(t, superseded > 0)
}

// TestSchedules must fail when a mechanism is switched off. Each case switches off
// the mechanism that it is named after, and some schedule must then violate the
// invariant whose error contains the text in violates.
func TestScheduleNegativeControls(t *testing.T) {
	const maxSeeds = 400
	cases := []struct {
		name     string
		violates string
		setup    func() *schedule
	}{
		{"ages of replies are ignored", "superseded", func() *schedule {
			return newSchedule(spreadtest.Hooks{Reply: func(r *spread.SyncReply) { r.AgeMs = 0 }}, nil)
		}},
		{"ages count from the receipt", "superseded", func() *schedule {
			return newSchedule(spreadtest.Hooks{CountFromReceipt: true}, nil)
		}},
		{"clock stops while frozen", "superseded", func() *schedule {
			return newSchedule(spreadtest.Hooks{FrozenClockStops: true}, nil)
		}},
		{"revision of the last reply is put in force", "went back", func() *schedule {
			return newSchedule(spreadtest.Hooks{InForce: func(r spread.SyncReply, _ int64) int64 { return r.Revision }}, nil)
		}},
		{"transactions have no conditions", "was replaced", func() *schedule { return newSchedule(spreadtest.Hooks{}, dropConditions) }},
		{"ids are not recorded", "has revisions", func() *schedule { return newSchedule(spreadtest.Hooks{}, dropIDs) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range maxSeeds {
				err := tc.setup().run(stepsGen().Example(seed))
				if err != nil && strings.Contains(err.Error(), tc.violates) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no violation in %d schedules", maxSeeds)
		})
	}
}
