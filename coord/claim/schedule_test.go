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
	Freeze                int // pause between acquisition and dispatch, in units of 5 ms
	OutageFrom, OutageFor int // time without the table, in units of 5 ms
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
		fault := rapid.IntRange(int(storetest.None), int(storetest.CrashAfter))
		for _, f := range rapid.SliceOfN(fault, 0, 6).Draw(t, "faults") {
			s.Faults[i] = append(s.Faults[i], storetest.Fault(f))
		}
	}
	return s
})

// simulation runs one schedule and records what callers and upstreams observe.
type simulation struct {
	nodes    [daemonCount]*storetest.FaultyStore
	claimers [daemonCount]*Claimer

	mu         sync.Mutex
	dispatched map[string]string // key -> attempt
	mayBeHeld  map[string]bool   // keys that a dead daemon may hold claimed
	settled    []string          // attempts that were reported to have no claim
	written    map[string]bool   // attempts in commits that took effect
	failure    error
}

func (sim *simulation) fail(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failure = errors.Join(sim.failure, fmt.Errorf(format, args...))
}

// recorder is a table that records the attempts whose commits take effect.
type recorder struct {
	store.Table
	sim *simulation
}

func (r recorder) Commit(ctx context.Context, ops []store.Op) error {
	err := r.Table.Commit(ctx, ops)
	for _, op := range ops {
		if rec, bad := decode(store.Row{Value: op.Value}); err == nil && bad == nil {
			r.sim.mu.Lock()
			r.sim.written[rec.Attempt] = true
			r.sim.mu.Unlock()
		}
	}
	return err
}

// runSchedule runs a schedule on virtual time and returns the violations that it
// found. wrap changes the table; a negative control switches off a mechanism with
// it.
func runSchedule(t *testing.T, s schedule, wrap func(store.Table) store.Table) error {
	sim := &simulation{dispatched: map[string]string{}, mayBeHeld: map[string]bool{}, written: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(memstore.Faults{Delay: time.Duration(s.Delay) * 5 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var runs, calls sync.WaitGroup
		for i := range sim.nodes {
			sim.nodes[i] = storetest.NewFaultyStore(recorder{wrap(mem), sim}, mem.Objects(), s.Faults[i]...)
			sim.claimers[i] = New(Options{Table: sim.nodes[i], Daemon: fmt.Sprint(i), CallTimeout: 200 * time.Millisecond})
			runs.Go(func() { _ = sim.claimers[i].Run(ctx) })
		}
		for _, c := range s.Calls {
			calls.Go(func() { sim.runCall(ctx, c) })
			calls.Go(func() { sim.outage(c) })
		}
		calls.Wait()
		time.Sleep(time.Minute) // background writes and late commits end
		for _, c := range s.Calls {
			if sim.nodes[c.Daemon].Crashed() {
				sim.mayBeHeld[fmt.Sprint("k", c.Key)] = true
			}
		}
		sim.checkFinalState(ctx, mem)
		cancel()
		runs.Wait()
	})
	return sim.failure
}

func (sim *simulation) outage(c call) {
	time.Sleep(time.Duration(c.OutageFrom) * 5 * time.Millisecond)
	sim.nodes[c.Daemon].SetPartitioned(true)
	time.Sleep(time.Duration(c.OutageFor) * 5 * time.Millisecond)
	sim.nodes[c.Daemon].SetPartitioned(false)
}

func (sim *simulation) runCall(ctx context.Context, c call) {
	time.Sleep(time.Duration(c.At) * 5 * time.Millisecond)
	name := fmt.Sprint("k", c.Key)
	node, key := sim.nodes[c.Daemon], Key{"org", name}
	within, cancel := context.WithTimeout(ctx, time.Duration(c.Deadline)*5*time.Millisecond)
	defer cancel()
	claim, err := sim.claimers[c.Daemon].Acquire(within, key, Fingerprint{1})
	switch {
	case err != nil:
		sim.recordNotRun(err)
		return
	case claim.State() == Done:
		sim.checkOutcome(name, claim.Outcome())
		return
	case claim.State() == InFlight:
		if o, err := sim.claimers[c.Daemon].Wait(within, key, Fingerprint{1}); err == nil {
			sim.checkOutcome(name, o)
		}
		return
	}
	time.Sleep(time.Duration(c.Freeze) * 5 * time.Millisecond)
	if c.Release {
		_ = claim.Release(within)
		if claim.BeginDispatch() == nil {
			sim.fail("dispatch after release")
		}
		return
	}
	sim.dispatch(within, name, node, claim)
}

func (sim *simulation) recordNotRun(err error) {
	notRun, ok := errors.AsType[*NotRunError](err)
	if !ok {
		sim.fail("acquire: %w", err)
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if notRun.Settled {
		sim.settled = append(sim.settled, notRun.Attempt)
	}
}

func (sim *simulation) dispatch(ctx context.Context, name string, node *storetest.FaultyStore, claim *Claim) {
	if node.Crashed() {
		return
	}
	if err := claim.BeginDispatch(); err != nil {
		sim.fail("begin: %w", err)
	}
	sim.mu.Lock()
	earlier, twice := sim.dispatched[name]
	sim.dispatched[name] = claim.Attempt()
	sim.mu.Unlock()
	if twice {
		sim.fail("key %s was dispatched twice, by %s and %s", name, earlier, claim.Attempt())
	}
	if claim.BeginDispatch() == nil || claim.Release(ctx) == nil {
		sim.fail("dispatched claim was dispatched again or released")
	}
	_ = claim.Complete(ctx, Outcome{Status: 200, Body: []byte(claim.Attempt())})
}

func (sim *simulation) checkOutcome(name string, o Outcome) {
	sim.mu.Lock()
	attempt := sim.dispatched[name]
	sim.mu.Unlock()
	if string(o.Body) != attempt {
		sim.fail("outcome of %s is %q, dispatched was %q", name, o.Body, attempt)
	}
}

// checkFinalState checks that no attempt that was reported as settled wrote a
// claim, and acquires each key from a daemon without faults. A key that was never
// dispatched and is not held by a dead daemon must be free.
func (sim *simulation) checkFinalState(ctx context.Context, table store.Table) {
	for _, attempt := range sim.settled {
		sim.mu.Lock()
		written := sim.written[attempt]
		sim.mu.Unlock()
		if written {
			sim.fail("attempt %s was reported settled and has written a claim", attempt)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fresh := New(Options{Table: table, Daemon: "fresh"})
	go func() { _ = fresh.Run(ctx) }()
	for _, name := range []string{"k0", "k1"} {
		sim.mu.Lock()
		attempt := sim.dispatched[name]
		sim.mu.Unlock()
		claim, err := fresh.Acquire(ctx, Key{"org", name}, Fingerprint{1})
		switch {
		case err != nil:
			sim.fail("fresh acquire: %w", err)
		case attempt == "" && claim.State() != Won && !sim.mayBeHeld[name]:
			sim.fail("key %s is %v, but no attempt dispatched and no daemon died", name, claim.State())
		case attempt != "" && claim.State() == Won:
			sim.fail("key %s was dispatched by %s and is free", name, attempt)
		case attempt != "" && claim.State() != Done && !sim.mayBeHeld[name]:
			sim.fail("outcome of %s was not stored", name)
		}
	}
}

// Guards against a key that is dispatched twice, a release that removes the
// claim of another attempt, a false "not run", an attempt that is not run but
// blocks the key, and a lost outcome.
func TestSchedules(t *testing.T) {
	storetest.CheckSchedules(t, anySchedule, func(s schedule) error { return runSchedule(t, s, storetest.Unwrapped) })
}

// deletingTable deletes the row of a released claim instead of writing a
// tombstone.
type deletingTable struct{ store.Table }

func (d deletingTable) Commit(ctx context.Context, ops []store.Op) error {
	changed := make([]store.Op, len(ops))
	for i, op := range ops {
		if r, err := decode(store.Row{Value: op.Value}); err == nil && r.State == rowReleased {
			op.Delete, op.Value = true, nil
		}
		changed[i] = op
	}
	return d.Table.Commit(ctx, changed)
}

// TestSchedules must fail when a mechanism is switched off. In the first case
// commits ignore the version of the row, and a key must be dispatched twice. In
// the second case the row of a released claim is deleted instead of replaced by a
// tombstone, and a key must stay claimed although no attempt dispatched.
func TestSchedulesNegativeControl(t *testing.T) {
	for broken, wrap := range map[string]func(store.Table) store.Table{
		"was dispatched twice":          storetest.WithoutConditions,
		"but no attempt dispatched and": func(t store.Table) store.Table { return deletingTable{t} },
	} {
		t.Run(broken, func(t *testing.T) {
			storetest.RequireViolation(t, anySchedule, broken, func(s schedule) error { return runSchedule(t, s, wrap) })
		})
	}
}
