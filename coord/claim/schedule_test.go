package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/coord/storetest"
)

const daemonCount = 3

// call is one request of a schedule. Times are multiples of 5 ms, so that
// deadlines, group windows and store delays coincide.
type call struct {
	Daemon, Key           int
	At, Deadline          int // in units of 5 ms
	Release               bool
	Freeze                int // pause between acquisition and dispatch
	OutageFrom, OutageFor int
}

type schedule struct {
	Calls  []call
	Faults [daemonCount][]storetest.Fault
	Delay  int // of each store call, in units of 5 ms
}

var anySchedule = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{Delay: rapid.IntRange(0, 8).Draw(t, "delay")}
	s.Calls = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
		return call{
			Daemon:     rapid.IntRange(0, daemonCount-1).Draw(t, "daemon"),
			Key:        rapid.IntRange(0, 1).Draw(t, "key"),
			At:         rapid.IntRange(0, 30).Draw(t, "at"),
			Deadline:   rapid.IntRange(10, 60).Draw(t, "deadline"),
			Release:    rapid.Bool().Draw(t, "release"),
			Freeze:     rapid.IntRange(0, 40).Draw(t, "freeze"),
			OutageFrom: rapid.IntRange(0, 200).Draw(t, "from"),
			OutageFor:  rapid.IntRange(0, 60).Draw(t, "for"),
		}
	}), 2, 8).Draw(t, "calls")
	for i := range s.Faults {
		fault := rapid.IntRange(int(storetest.None), int(storetest.DieAfter))
		for _, f := range rapid.SliceOfN(fault, 0, 6).Draw(t, "faults") {
			s.Faults[i] = append(s.Faults[i], storetest.Fault(f))
		}
	}
	return s
})

// world runs one schedule and records what a caller and an upstream see.
type world struct {
	nodes    [daemonCount]*storetest.Node
	claimers [daemonCount]*Claimer

	mu         sync.Mutex
	dispatched map[string]string // key -> attempt
	excused    map[string]bool   // keys that a dead daemon may hold
	settled    []string          // attempts that promised to have no claim
	written    map[string]bool   // attempts in commits that took effect
	failure    error
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = errors.Join(w.failure, fmt.Errorf(format, args...))
}

// recorder notes the attempts whose commits take effect.
type recorder struct {
	store.Table
	w *world
}

func (r recorder) Commit(ctx context.Context, ops []store.Op) error {
	err := r.Table.Commit(ctx, ops)
	for _, op := range ops {
		if rec, bad := decode(store.Row{Value: op.Value}); err == nil && bad == nil {
			r.w.mu.Lock()
			r.w.written[rec.Attempt] = true
			r.w.mu.Unlock()
		}
	}
	return err
}

// run plays a schedule on virtual time. wrap replaces a mechanism for twins.
func run(t *testing.T, s schedule, wrap func(store.Table) store.Table) error {
	w := &world{dispatched: map[string]string{}, excused: map[string]bool{}, written: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(memstore.Faults{Delay: time.Duration(s.Delay) * 5 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var runs, calls sync.WaitGroup
		for i := range w.nodes {
			w.nodes[i] = storetest.NewNode(recorder{wrap(mem), w}, mem.Objects(), s.Faults[i]...)
			w.claimers[i] = New(Options{Table: w.nodes[i], Daemon: fmt.Sprint(i), CallTimeout: 200 * time.Millisecond})
			runs.Go(func() { _ = w.claimers[i].Run(ctx) })
		}
		for _, c := range s.Calls {
			calls.Go(func() { w.play(ctx, c) })
			calls.Go(func() { w.outage(c) })
		}
		calls.Wait()
		time.Sleep(time.Minute) // background writes and late commits settle
		for _, c := range s.Calls {
			if w.nodes[c.Daemon].Dead() {
				w.excused[fmt.Sprint("k", c.Key)] = true
			}
		}
		w.inspect(ctx, mem)
		cancel()
		runs.Wait()
	})
	return w.failure
}

func (w *world) outage(c call) {
	time.Sleep(time.Duration(c.OutageFrom) * 5 * time.Millisecond)
	w.nodes[c.Daemon].Cut(true)
	time.Sleep(time.Duration(c.OutageFor) * 5 * time.Millisecond)
	w.nodes[c.Daemon].Cut(false)
}

func (w *world) play(ctx context.Context, c call) {
	time.Sleep(time.Duration(c.At) * 5 * time.Millisecond)
	name := fmt.Sprint("k", c.Key)
	node, key := w.nodes[c.Daemon], Key{"org", name}
	within, cancel := context.WithTimeout(ctx, time.Duration(c.Deadline)*5*time.Millisecond)
	defer cancel()
	claim, err := w.claimers[c.Daemon].Acquire(within, key, Fingerprint{1})
	switch {
	case err != nil:
		w.refused(err)
		return
	case claim.State() == Done:
		w.checkOutcome(name, claim.Outcome())
		return
	case claim.State() == InFlight:
		if o, err := w.claimers[c.Daemon].Wait(within, key, Fingerprint{1}); err == nil {
			w.checkOutcome(name, o)
		}
		return
	}
	time.Sleep(time.Duration(c.Freeze) * 5 * time.Millisecond)
	if c.Release {
		_ = claim.Release(within)
		if claim.BeginDispatch() == nil {
			w.fail("dispatch after release")
		}
		return
	}
	w.dispatch(within, name, node, claim)
}

func (w *world) refused(err error) {
	notRun, ok := errors.AsType[*NotRunError](err)
	if !ok {
		w.fail("acquire: %w", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if notRun.Settled {
		w.settled = append(w.settled, notRun.Attempt)
	}
}

func (w *world) dispatch(ctx context.Context, name string, node *storetest.Node, claim *Claim) {
	if node.Dead() {
		return
	}
	if err := claim.BeginDispatch(); err != nil {
		w.fail("begin: %w", err)
	}
	w.mu.Lock()
	earlier, twice := w.dispatched[name]
	w.dispatched[name] = claim.Attempt()
	w.mu.Unlock()
	if twice {
		w.fail("key %s was dispatched twice, by %s and %s", name, earlier, claim.Attempt())
	}
	if claim.BeginDispatch() == nil || claim.Release(ctx) == nil {
		w.fail("dispatched claim was dispatched again or released")
	}
	_ = claim.Complete(ctx, Outcome{Status: 200, Body: []byte(claim.Attempt())})
}

func (w *world) checkOutcome(name string, o Outcome) {
	w.mu.Lock()
	attempt := w.dispatched[name]
	w.mu.Unlock()
	if string(o.Body) != attempt {
		w.fail("outcome of %s is %q, dispatched was %q", name, o.Body, attempt)
	}
}

// inspect asks a daemon without faults for each key. A key that was never
// dispatched and is held by no dead daemon must be free.
func (w *world) inspect(ctx context.Context, table store.Table) {
	for _, attempt := range w.settled {
		w.mu.Lock()
		written := w.written[attempt]
		w.mu.Unlock()
		if written {
			w.fail("attempt %s was reported settled and has written a claim", attempt)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fresh := New(Options{Table: table, Daemon: "fresh"})
	go func() { _ = fresh.Run(ctx) }()
	for _, name := range []string{"k0", "k1"} {
		w.mu.Lock()
		attempt := w.dispatched[name]
		w.mu.Unlock()
		claim, err := fresh.Acquire(ctx, Key{"org", name}, Fingerprint{1})
		switch {
		case err != nil:
			w.fail("fresh acquire: %w", err)
		case attempt == "" && claim.State() != Won && !w.excused[name]:
			w.fail("key %s is %v, but no attempt dispatched and no daemon died", name, claim.State())
		case attempt != "" && claim.State() == Won:
			w.fail("key %s was dispatched by %s and is free", name, attempt)
		case attempt != "" && claim.State() != Done && !w.excused[name]:
			w.fail("outcome of %s was not stored", name)
		}
	}
}

// Guards against a key that is dispatched twice, a release that removes the
// claim of another attempt, an answer "not run" that is false or blocks the
// key, and a lost outcome.
func TestSchedules(t *testing.T) {
	storetest.Hold(t, anySchedule, func(s schedule) error { return run(t, s, storetest.AsIs) })
}

// deleting releases a claim by a physical delete.
type deleting struct{ store.Table }

func (d deleting) Commit(ctx context.Context, ops []store.Op) error {
	changed := make([]store.Op, len(ops))
	for i, op := range ops {
		if r, err := decode(store.Row{Value: op.Value}); err == nil && r.State == rowReleased {
			op.Delete, op.Value = true, nil
		}
		changed[i] = op
	}
	return d.Table.Commit(ctx, changed)
}

// Each twin removes one mechanism and must break its invariant in at least one
// of the schedules, which shows that TestSchedules can fail.
func TestSchedulesTwins(t *testing.T) {
	for broken, wrap := range map[string]func(store.Table) store.Table{
		"was dispatched twice":          storetest.AsBlind,
		"but no attempt dispatched and": func(t store.Table) store.Table { return deleting{t} },
	} {
		t.Run(broken, func(t *testing.T) {
			storetest.Break(t, anySchedule, broken, func(s schedule) error { return run(t, s, wrap) })
		})
	}
}
