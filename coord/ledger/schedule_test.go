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
	Dies, DiesAt      int // the daemon with a death among its calls, and on which call
	DiesAfter         bool
	Drains, DrainsAt  int
	DownFrom, DownFor int // platform outage
	CutFrom, CutFor   int // first zone cut off from the second
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
			storetest.Unavailable, storetest.LostRequest, storetest.LostReply, storetest.Late})
		s.Faults[i] = rapid.SliceOfN(fault, 40, 40).Draw(t, "faults")
	}
	return s
})

// network is the Copier of one daemon.
type network struct {
	w    *world
	self int
}

func (n network) CopyEntries(_ context.Context, peer string, entries []byte) error {
	return n.w.nodes[n.self].Do(func() error {
		to, err := n.w.reach(n.self, peer)
		if err != nil || n.w.noCopies {
			return err
		}
		return to.Accept(entries)
	})
}

func (n network) ReleaseEntries(_ context.Context, peer, owner string, through uint64) error {
	return n.w.nodes[n.self].Do(func() error {
		to, err := n.w.reach(n.self, peer)
		if err == nil {
			to.AcceptRelease(owner, through)
		}
		return err
	})
}

type world struct {
	nodes    [daemonCount]*storetest.Node
	ledgers  [daemonCount]*Ledger
	noCopies bool // twin: copies are confirmed and not stored

	mu       sync.Mutex
	zonesCut bool
	alone    bool // no daemon reaches another
	excuses  int
	answered map[string][]int // key -> daemons that released an answer
}

func peerOf(i int) Peer {
	return Peer{ID: fmt.Sprintf("vm%d/1", i), AvailabilityZone: fmt.Sprint(i % 2)}
}

func (w *world) reachable(from, to int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.nodes[from].Dead() && !w.nodes[to].Dead() && !w.alone && !(w.zonesCut && from%2 != to%2)
}

func (w *world) reach(from int, peer string) (*Ledger, error) {
	for i := range w.ledgers {
		if peerOf(i).ID == peer && w.reachable(from, i) {
			time.Sleep(time.Millisecond)
			return w.ledgers[i], nil
		}
	}
	return nil, errors.New("unreachable")
}

func (w *world) peers(self int) (peers []Peer) {
	for i := range w.ledgers {
		if i != self && w.reachable(self, i) {
			peers = append(peers, peerOf(i))
		}
	}
	return peers
}

// run plays a schedule and returns an error when an answered request is not
// billed once.
func run(t *testing.T, s schedule, noCopies bool) (w *world, bill Bill, failure error) {
	synctest.Test(t, func(t *testing.T) {
		s.Faults[s.Dies][min(s.DiesAt, 39)] = map[bool]storetest.Fault{true: storetest.DieAfter, false: storetest.DieBefore}[s.DiesAfter]
		mem := memstore.New()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		w = newWorld(ctx, mem, s.Faults)
		w.noCopies = noCopies
		var events sync.WaitGroup
		events.Go(func() { w.drain(s) })
		events.Go(func() { w.faults(s, mem) })
		for _, r := range s.Requests {
			events.Go(func() { w.request(ctx, r) })
		}
		events.Wait()
		time.Sleep(2 * time.Minute)
		var err error
		bill, err = Settle(ctx, mem.Objects(), time.Now())
		failure = errors.Join(err, w.check(mem, bill))
	})
	return w, bill, failure
}

// newWorld starts all daemons; they end with ctx.
func newWorld(ctx context.Context, mem *memstore.Store, faults [daemonCount][]storetest.Fault) *world {
	w := &world{answered: map[string][]int{}}
	for i := range w.ledgers {
		w.nodes[i] = storetest.NewNode(mem, mem.Objects(), faults[i]...)
		w.ledgers[i] = New(Options{Self: peerOf(i), Objects: w.nodes[i].Objects(), Copier: network{w, i},
			Peers: func() []Peer { return w.peers(i) }})
	}
	for _, l := range w.ledgers {
		go func() { _ = l.Run(ctx) }()
	}
	return w
}

// Guards against entries that are lost although one daemon at a time stops:
// when their holders die during an outage, when their owner was alone, and when
// it is drained before they have a copy.
func TestStops(t *testing.T) {
	for _, test := range []struct {
		name        string
		down, alone bool // during the requests
		stops       func(w *world)
	}{
		{"holders, then owner", true, false, func(w *world) {
			l := w.ledgers[0]
			l.mu.Lock()
			holders := maps.Clone(l.own.segments[0].acks)
			l.mu.Unlock()
			for holder := range holders {
				for i := range w.nodes {
					if peerOf(i).ID == holder {
						w.nodes[i].Kill()
						time.Sleep(time.Minute)
					}
				}
			}
		}},
		{"owner that was alone", false, true, func(*world) {}},
		{"drain before copies", true, true, func(w *world) {
			w.setAlone(false)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			assert.NilError(t, w.ledgers[0].Drain(ctx))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := memstore.New()
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				w := newWorld(ctx, mem, [daemonCount][]storetest.Fault{})
				mem.SetFaults(memstore.Faults{Down: test.down})
				w.setAlone(test.alone)
				for key := range 5 {
					w.request(ctx, request{Daemon: 0, Key: key})
				}
				test.stops(w)
				w.nodes[0].Kill()
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

func (w *world) setAlone(alone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alone = alone
}

func units(n int) time.Duration { return time.Duration(n) * 50 * time.Millisecond }

func (w *world) faults(s schedule, mem *memstore.Store) {
	var both sync.WaitGroup
	both.Go(func() {
		time.Sleep(units(s.DownFrom))
		mem.SetFaults(memstore.Faults{Down: true})
		time.Sleep(units(s.DownFor))
		mem.SetFaults(memstore.Faults{})
	})
	both.Go(func() {
		time.Sleep(units(s.CutFrom))
		w.setCut(true)
		time.Sleep(units(s.CutFor))
		w.setCut(false)
	})
	both.Wait()
}

func (w *world) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zonesCut = cut
}

// drain stops one daemon as planned.
func (w *world) drain(s schedule) {
	time.Sleep(units(s.DrainsAt))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := w.ledgers[s.Drains].Drain(ctx)
	if _, left := errors.AsType[*LeftBehindError](err); !left {
		w.nodes[s.Drains].Kill()
	}
}

func (w *world) request(ctx context.Context, r request) {
	time.Sleep(units(r.At))
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	key := fmt.Sprint("k", r.Key)
	err := w.ledgers[r.Daemon].Add(ctx, Entry{Organisation: "org", RequestKey: key, PromptTokens: int64(r.At), Time: time.Now()})
	if err != nil || w.nodes[r.Daemon].Dead() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered[key] = append(w.answered[key], r.Daemon)
}

// check compares the answered keys with the stored ones. It excuses only keys
// whose every owner died and had counted an entry without any copy.
func (w *world) check(mem *memstore.Store, b Bill) (failure error) {
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
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, owners := range w.answered {
		for _, owner := range owners {
			excused := w.nodes[owner].Dead() && w.ledgers[owner].Stats().CopiedToNone > 0
			if !stored[key] && !excused {
				failure = errors.Join(failure, fmt.Errorf("request %s answered by daemon %d is not billed", key, owner))
			}
			if !stored[key] {
				w.excuses++
			}
		}
	}
	return failure
}

// Guards against an entry that is lost when its owner or a holder dies at any
// of its calls, or that is billed twice, also with a drain, an outage of the
// platform and a cut between the zones at the same time.
func TestSchedules(t *testing.T) {
	duplicates, excuses := 0, 0
	storetest.Hold(t, anySchedule, func(s schedule) error {
		w, bill, err := run(t, s, false)
		duplicates += bill.Duplicates
		excuses += w.excuses
		return err
	})
	t.Logf("%d duplicates merged, %d answers excused", duplicates, excuses)
	// Without duplicates the schedules could not notice a missing union.
	if duplicates == 0 {
		t.Fatal("no schedule stored an entry twice")
	}
}

// The twin confirms copies without storing them; an entry must then be lost.
func TestSchedulesTwin(t *testing.T) {
	storetest.Break(t, anySchedule, "is not billed", func(s schedule) error {
		_, _, err := run(t, s, true)
		return err
	})
}
