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
	// healTime is enough for every node to hold the head after all faults end.
	healTime = 6 * time.Second
)

// Kinds of steps. Edits come first, so that a shrunk schedule has mostly edits.
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
	kinds
)

type step struct {
	Kind, A, B int
	Wait       time.Duration
}

func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, kinds-1).Draw(t, "kind"),
			A:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "a"),
			B:    rapid.IntRange(0, scheduleNodes-1).Draw(t, "b"),
			Wait: time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * 50 * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 30)
}

// hookTable lets a test act between the read and the commit of an Append, and
// alter the transaction.
type hookTable struct {
	store.Table
	beforeCommit func()
	alter        func([]store.Op) []store.Op
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
	if h.alter != nil {
		ops = h.alter(ops)
	}
	return h.Table.Commit(ctx, ops)
}

// schedule runs steps on a fleet and holds what the invariants compare.
type schedule struct {
	fleet       *spreadtest.Fleet
	table       *hookTable
	edits       []changelog.Change
	log         []changelog.Change // as first seen
	committed   []time.Duration    // time of each change of log
	cutLinks    map[string]bool
	inForce     map[*spread.Node]int64
	violation   error
	sawSupersed int // observations of a valid lease on a superseded revision
}

func newSchedule(hooks spreadtest.Hooks, alter func([]store.Op) []store.Op) *schedule {
	s := &schedule{cutLinks: make(map[string]bool), inForce: make(map[*spread.Node]int64)}
	s.fleet = spreadtest.New(spreadtest.Options{
		Nodes: scheduleNodes, Zones: scheduleZones, Seed: 1, Loss: 0.02, Hooks: hooks,
		Keep: 2, Apply: concat, // so that snapshots between nodes are needed, too
		Table: func(t store.Table) store.Table {
			s.table = &hookTable{Table: t, alter: alter}
			return s.table
		},
	})
	s.fleet.LinkCut = func(a, b string) bool { return s.cutLinks[a+b] || s.cutLinks[b+a] }
	s.fleet.Observe = s.observe
	return s
}

// concat makes the state tell which changes were applied in which order.
func concat(state, patch []byte) ([]byte, error) { return slices.Concat(state, patch), nil }

func (s *schedule) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("at %v: %w", s.fleet.Now(), fmt.Errorf(format, args...))
	}
}

// observe checks the invariants of one node.
func (s *schedule) observe(h *spreadtest.Host) {
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
	s.sawSupersed++
	if ago := s.fleet.Now() - s.committed[h.InForce]; ago > evidence.DefaultDuration {
		s.fail("%s has a valid lease on revision %d, superseded %v ago", h.ID, h.InForce, ago)
	}
}

// append commits a change and checks that the log only grew.
func (s *schedule) append(c changelog.Change) {
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

func (s *schedule) edit(x step) {
	head := int64(len(s.log))
	switch x.Kind {
	case edit:
		s.append(s.newEdit(head))
	case staleEdit:
		s.append(s.newEdit(head - int64(x.A%3)))
	case repeatEdit:
		if len(s.edits) > 0 {
			c := s.edits[len(s.edits)-1-x.A%len(s.edits)]
			c.Base = max(0, head-int64(x.B%2)) // as rebased by its author
			s.append(c)
		}
	case raceEdit:
		rival := s.newEdit(head)
		s.table.beforeCommit = func() { s.append(rival) }
		s.append(s.newEdit(head))
		s.table.beforeCommit = nil
	case lostReplyEdit:
		faults := s.fleet.Store.Faults()
		faults.LoseReplies = 1 + x.A
		s.fleet.Store.SetFaults(faults)
		s.append(s.newEdit(head))
		faults.LoseReplies = 0
		s.fleet.Store.SetFaults(faults)
	}
}

func (s *schedule) fault(x step) {
	f, h := s.fleet, s.fleet.Hosts[x.A]
	zone, other := f.Zones[x.A%scheduleZones], f.Zones[x.B%scheduleZones]
	switch x.Kind {
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
		f.Slow = slowDelay - f.Slow
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

// heal ends all faults, after which every node must hold the head.
func (s *schedule) heal() {
	s.fleet.Store.SetFaults(memstore.Faults{})
	s.fleet.Slow = 0
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
	for _, x := range all {
		if x.Kind < togglePlatform {
			s.edit(x)
		} else {
			s.fault(x)
		}
		s.fleet.Run(x.Wait)
		if s.violation != nil {
			return s.violation
		}
	}
	s.heal()
	return s.violation
}

// Guards the invariants of section 3.2 under edits, races, lost replies,
// outages, partitions, frozen nodes and restarts: the log never forks, no
// change has two revisions, no node goes back, and no node with a valid lease
// runs on a revision that was superseded longer ago than the lease.
func TestSchedules(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.checks", strconv.Itoa(checks)))
	assert.NilError(t, flag.Set("rapid.seed", "20260101"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	superseded, edits := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(spreadtest.Hooks{}, nil)
		if err := s.run(steps().Draw(rt, "steps")); err != nil {
			rt.Fatal(err)
		}
		superseded += s.sawSupersed
		edits += len(s.log)
	})
	t.Logf("%d changes, %d observations of a superseded revision under a valid lease", edits, superseded)
	assert.Assert(t, superseded > 0)
}

// Each twin replaces one mechanism by one that does nothing. The invariant must
// then break in some schedule, or TestSchedules could not fail.
func TestScheduleTwins(t *testing.T) {
	const maxSeeds = 400
	twins := []struct {
		name   string
		breaks string
		make   func() *schedule
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
	for _, twin := range twins {
		t.Run(twin.name, func(t *testing.T) {
			for seed := range maxSeeds {
				err := twin.make().run(steps().Example(seed))
				if err != nil && strings.Contains(err.Error(), twin.breaks) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no violation in %d schedules", maxSeeds)
		})
	}
}
