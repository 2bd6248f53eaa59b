package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/storetest"
)

const daemonCount = 5

// request is one answered request. Times are in units of 50 ms.
type request struct{ Daemon, Key, At int }

type schedule struct {
	Requests          []request
	Faults            [daemonCount][]storetest.Fault
	Dies, DiesAt      int  // the daemon that dies, and the number of the call on which it dies
	DiesAfter         bool // the daemon dies after that call took effect, not before
	Drains, DrainsAt  int  // the daemon that is drained, and when
	DownFrom, DownFor int  // outage of the platform
	CutFrom, CutFor   int  // network partition between the two zones
}

var anySchedule = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{
		Dies: rapid.IntRange(0, daemonCount-1).Draw(t, "dies"), DiesAt: rapid.IntRange(0, 40).Draw(t, "diesAt"),
		DiesAfter: rapid.Bool().Draw(t, "after"),
		Drains:    rapid.IntRange(0, daemonCount-1).Draw(t, "drains"), DrainsAt: rapid.IntRange(0, 400).Draw(t, "drainsAt"),
		DownFrom: rapid.IntRange(0, 400).Draw(t, "downFrom"), DownFor: rapid.IntRange(0, 800).Draw(t, "downFor"),
		CutFrom: rapid.IntRange(0, 400).Draw(t, "cutFrom"), CutFor: rapid.IntRange(0, 800).Draw(t, "cutFor"),
	}
	s.Requests = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
		return request{
			Daemon: rapid.IntRange(0, daemonCount-1).Draw(t, "daemon"),
			Key:    rapid.IntRange(0, 30).Draw(t, "key"),
			At:     rapid.IntRange(0, 400).Draw(t, "at"),
		}
	}), 5, 40).Draw(t, "requests")
	for i := range s.Faults {
		fault := rapid.SampledFrom([]storetest.Fault{storetest.None, storetest.None, storetest.None,
			storetest.Unavailable, storetest.LostRequest, storetest.LostReply, storetest.LateWrite})
		s.Faults[i] = rapid.SliceOfN(fault, 40, 40).Draw(t, "faults")
	}
	return s
})

// simulatedCopier is the Copier of one daemon.
type simulatedCopier struct {
	sim  *simulation
	self int
}

func (n simulatedCopier) CopyEntries(_ context.Context, peer string, entries []byte) error {
	return n.sim.nodes[n.self].Do(func() error {
		to, err := n.sim.reach(n.self, peer)
		if err != nil || n.sim.noCopies {
			return err
		}
		return to.Accept(entries)
	})
}

func (n simulatedCopier) ReleaseEntries(_ context.Context, peer, owner string, through uint64) error {
	return n.sim.nodes[n.self].Do(func() error {
		to, err := n.sim.reach(n.self, peer)
		if err == nil {
			to.AcceptRelease(owner, through)
		}
		return err
	})
}

// simulation runs the ledgers of several daemons with injected faults.
type simulation struct {
	nodes    [daemonCount]*storetest.FaultyStore
	ledgers  [daemonCount]*Ledger
	noCopies bool // copies are confirmed and not stored, for the negative control

	mu          sync.Mutex
	zonesCut    bool
	isolated    bool             // no daemon can reach another one
	lostAnswers int              // answers whose entry was not stored
	answered    map[string][]int // key -> daemons that sent an answer
}

func peerOf(i int) Peer {
	return Peer{ID: fmt.Sprintf("vm%d/1", i), AvailabilityZone: fmt.Sprint(i % 2)}
}

func (sim *simulation) reachable(from, to int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.nodes[from].Crashed() && !sim.nodes[to].Crashed() && !sim.isolated && !(sim.zonesCut && from%2 != to%2)
}

func (sim *simulation) reach(from int, peer string) (*Ledger, error) {
	for i := range sim.ledgers {
		if peerOf(i).ID == peer && sim.reachable(from, i) {
			time.Sleep(time.Millisecond)
			return sim.ledgers[i], nil
		}
	}
	return nil, errors.New("unreachable")
}

func (sim *simulation) peers(self int) (peers []Peer) {
	for i := range sim.ledgers {
		if i != self && sim.reachable(self, i) {
			peers = append(peers, peerOf(i))
		}
	}
	return peers
}

// runSchedule runs a schedule and returns an error unless each answered request
// is billed exactly once, or is excused by check.
func runSchedule(t *testing.T, s schedule, noCopies bool) (sim *simulation, bill Bill, failure error) {
	synctest.Test(t, func(t *testing.T) {
		s.Faults[s.Dies][min(s.DiesAt, 39)] = map[bool]storetest.Fault{true: storetest.CrashAfter, false: storetest.CrashBefore}[s.DiesAfter]
		mem := memstore.New()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		sim = newSimulation(ctx, mem, s.Faults)
		sim.noCopies = noCopies
		var events sync.WaitGroup
		events.Go(func() { sim.drain(s) })
		events.Go(func() { sim.injectFaults(s, mem) })
		for _, r := range s.Requests {
			events.Go(func() { sim.request(ctx, r) })
		}
		events.Wait()
		time.Sleep(2 * time.Minute)
		var err error
		bill, err = Settle(ctx, mem.Objects(), time.Now())
		failure = errors.Join(err, sim.check(mem, bill))
	})
	return sim, bill, failure
}

// newSimulation starts all ledgers. They run until ctx ends.
func newSimulation(ctx context.Context, mem *memstore.Store, faults [daemonCount][]storetest.Fault) *simulation {
	sim := &simulation{answered: map[string][]int{}}
	for i := range sim.ledgers {
		sim.nodes[i] = storetest.NewFaultyStore(mem, mem.Objects(), faults[i]...)
		sim.ledgers[i] = New(Options{Self: peerOf(i), Objects: sim.nodes[i].Objects(), Copier: simulatedCopier{sim, i},
			Peers: func() []Peer { return sim.peers(i) }})
	}
	for _, l := range sim.ledgers {
		go func() { _ = l.Run(ctx) }()
	}
	return sim
}

// Guards against lost entries although daemons stop one at a time: when the
// holders and then the owner die during an outage of the object store, when the
// owner could reach no other daemon, and when the owner is drained before its
// entries have a copy.
func TestStops(t *testing.T) {
	for _, test := range []struct {
		name        string
		down, alone bool                  // during the requests
		stops       func(sim *simulation) // runs before the owner dies
	}{
		{"holders, then owner", true, false, func(sim *simulation) {
			l := sim.ledgers[0]
			l.mu.Lock()
			holders := maps.Clone(l.own.segments[0].acks)
			l.mu.Unlock()
			for holder := range holders {
				for i := range sim.nodes {
					if peerOf(i).ID == holder {
						sim.nodes[i].Crash()
						time.Sleep(time.Minute)
					}
				}
			}
		}},
		{"owner that was alone", false, true, func(*simulation) {}},
		{"drain before copies", true, true, func(sim *simulation) {
			sim.setIsolated(false)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			assert.NilError(t, sim.ledgers[0].Drain(ctx))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				sim := newSimulation(ctx, mem, [daemonCount][]storetest.Fault{})
				mem.SetFaults(memstore.Faults{Down: test.down})
				sim.setIsolated(test.alone)
				for key := range 5 {
					sim.request(ctx, request{Daemon: 0, Key: key})
				}
				test.stops(sim)
				sim.nodes[0].Crash()
				time.Sleep(time.Minute)
				mem.SetFaults(memstore.Faults{})
				time.Sleep(time.Minute)
				b, err := Settle(ctx, mem.Objects(), time.Now())
				assert.NilError(t, err)
				assert.Equal(t, b.Organisations["org"].Requests, int64(5))
			})
		})
	}
}

func (sim *simulation) setIsolated(isolated bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.isolated = isolated
}

func timeUnits(n int) time.Duration { return time.Duration(n) * 50 * time.Millisecond }

func (sim *simulation) injectFaults(s schedule, mem *memstore.Store) {
	var both sync.WaitGroup
	both.Go(func() {
		time.Sleep(timeUnits(s.DownFrom))
		mem.SetFaults(memstore.Faults{Down: true})
		time.Sleep(timeUnits(s.DownFor))
		mem.SetFaults(memstore.Faults{})
	})
	both.Go(func() {
		time.Sleep(timeUnits(s.CutFrom))
		sim.setCut(true)
		time.Sleep(timeUnits(s.CutFor))
		sim.setCut(false)
	})
	both.Wait()
}

func (sim *simulation) setCut(cut bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.zonesCut = cut
}

// drain drains one daemon, and kills it unless the drain left entries behind.
func (sim *simulation) drain(s schedule) {
	time.Sleep(timeUnits(s.DrainsAt))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := sim.ledgers[s.Drains].Drain(ctx)
	if _, left := errors.AsType[*LeftBehindError](err); !left {
		sim.nodes[s.Drains].Crash()
	}
}

func (sim *simulation) request(ctx context.Context, r request) {
	time.Sleep(timeUnits(r.At))
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	key := fmt.Sprint("k", r.Key)
	err := sim.ledgers[r.Daemon].Add(ctx, Entry{Organisation: "org", RequestKey: key, PromptTokens: int64(r.At), Time: time.Now()})
	if err != nil || sim.nodes[r.Daemon].Crashed() {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.answered[key] = append(sim.answered[key], r.Daemon)
}

// check compares the answered keys with the stored ones. It excuses a missing
// key only if every owner of the key has died and had counted an entry without
// any copy.
func (sim *simulation) check(mem *memstore.Store, b Bill) (failure error) {
	stored := map[string]bool{}
	names, _ := mem.Objects().List(context.Background(), objectPrefix, "", 1<<20)
	for _, name := range names {
		data, _ := mem.Objects().Get(context.Background(), name)
		entries, _ := decodeBatch(data)
		for _, e := range entries {
			stored[e.RequestKey] = true
		}
	}
	if billed := b.Organisations["org"].Requests; billed != int64(len(stored)) {
		failure = fmt.Errorf("%d requests billed for %d keys", billed, len(stored))
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key, owners := range sim.answered {
		for _, owner := range owners {
			excused := sim.nodes[owner].Crashed() && sim.ledgers[owner].Stats().CopiedToNone > 0
			if !stored[key] && !excused {
				failure = errors.Join(failure, fmt.Errorf("request %s answered by daemon %d is not billed", key, owner))
			}
			if !stored[key] {
				sim.lostAnswers++
			}
		}
	}
	return failure
}

// Guards against an entry that is lost or billed twice when its owner or a holder
// dies at any of its calls, also with a drain, an outage of the platform and a
// network partition between the zones at the same time.
func TestSchedules(t *testing.T) {
	duplicates, lostAnswers := 0, 0
	storetest.CheckSchedules(t, anySchedule, func(s schedule) error {
		sim, bill, err := runSchedule(t, s, false)
		duplicates += bill.Duplicates
		lostAnswers += sim.lostAnswers
		return err
	})
	t.Logf("%d duplicates merged, %d answers excused", duplicates, lostAnswers)
	// Without duplicates, the schedules would not detect a Settle that bills
	// each stored entry.
	if duplicates == 0 {
		t.Fatal("no schedule stored an entry twice")
	}
}

// TestSchedules must fail when the copies are switched off: peers confirm copies
// without storing them, and an entry must be lost in at least one schedule.
func TestSchedulesNegativeControl(t *testing.T) {
	storetest.RequireViolation(t, anySchedule, "is not billed", func(s schedule) error {
		_, _, err := runSchedule(t, s, true)
		return err
	})
}
