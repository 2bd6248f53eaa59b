package fence

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/coord/storetest"
)

const (
	candidates = 3
	duration   = 10 * time.Second
	maxCall    = 20 * time.Second // of the first candidate; half for the next
)

// action is one step of a candidate. Pauses are in seconds; a pause that is
// longer than the lease stands for a frozen process.
type action struct {
	Pause, Freeze, Call int
	Release             bool
	ClockStep           int // of the holder's clock, forward
}

type schedule struct {
	Actions [candidates][]action
	Faults  [candidates][]storetest.Fault
	Delay   int             // of each table call before it takes effect, in seconds
	Reply   [candidates]int // delay of the reply to a commit, in seconds
}

var anySchedule = rapid.Custom(func(t *rapid.T) schedule {
	s := schedule{Delay: rapid.IntRange(0, 3).Draw(t, "delay")}
	for i := range candidates {
		s.Actions[i] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				Pause:     rapid.IntRange(0, 4).Draw(t, "pause"),
				Freeze:    max(0, rapid.IntRange(-40, 30).Draw(t, "freeze")),
				Call:      rapid.IntRange(0, int(maxCall/time.Second)).Draw(t, "call"),
				Release:   rapid.IntRange(0, 9).Draw(t, "release") == 0,
				ClockStep: max(0, rapid.IntRange(-20, 5).Draw(t, "step")),
			}
		}), 20, 60).Draw(t, "actions")
		s.Reply[i] = max(0, rapid.IntRange(-8, 8).Draw(t, "reply"))
		fault := rapid.IntRange(int(storetest.None), int(storetest.LateWrite))
		for _, f := range rapid.SliceOfN(fault, 0, 12).Draw(t, "faults") {
			s.Faults[i] = append(s.Faults[i], storetest.Fault(f))
		}
	}
	return s
})

// engines are two upstreams: one refuses old fencing numbers, one ignores them.
type engines struct {
	mu      sync.Mutex
	highest int64
	owner   map[int64]int // number -> candidate whose order was accepted
	busy    map[int]int   // candidate -> running calls on the second engine
	leases  []*Lease
	failure error
}

func (e *engines) join(l *Lease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leases = append(e.leases, l)
}

func (e *engines) checkHolders() {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A candidate that holds the same number before and after another one was
	// seen to hold the lease held it at that moment too. One pass does not show
	// this: the first holder can release the lease while the pass goes on.
	first := e.holders()
	both := e.holders()
	maps.DeleteFunc(both, func(l *Lease, number int64) bool { return first[l] != number })
	if len(both) > 1 {
		e.failure = errors.Join(e.failure, fmt.Errorf("%d holders at one moment", len(both)))
	}
}

func (e *engines) holders() map[*Lease]int64 {
	held := map[*Lease]int64{}
	for _, l := range e.leases {
		if number, ok := l.Number(); ok {
			held[l] = number
		}
	}
	return held
}

func (e *engines) fenced(candidate int, number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.highest {
		return
	}
	e.highest = number
	if owner, ok := e.owner[number]; ok && owner != candidate {
		e.failure = errors.Join(e.failure, fmt.Errorf("candidates %d and %d both acted with number %d", owner, candidate, number))
	}
	e.owner[number] = candidate
}

func (e *engines) unfenced(candidate, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy[candidate] += change
	for other, calls := range e.busy {
		if other != candidate && calls > 0 && change > 0 {
			e.failure = errors.Join(e.failure, fmt.Errorf("calls of candidates %d and %d overlap", other, candidate))
		}
	}
}

// slow delays the replies of commits that took effect.
type slow struct {
	store.Table
	delay time.Duration
}

func (s slow) Commit(ctx context.Context, ops []store.Op) error {
	err := s.Table.Commit(ctx, ops)
	time.Sleep(s.delay)
	return err
}

// play runs one candidate. hurry makes its wait clock run ahead, for the twin.
func play(t *testing.T, i int, s schedule, table store.Table, e *engines, hurry time.Duration) {
	began, maxCall := time.Now(), maxCall>>i
	var step atomic.Int64
	l := New(Options{
		Table: slow{storetest.NewFaultyStore(table, nil, s.Faults[i]...), time.Duration(s.Reply[i]) * time.Second}, Name: "orders", Holder: fmt.Sprint(i),
		Duration: duration, MaxCall: maxCall,
		Clock:     func() time.Duration { return time.Since(began) + time.Duration(step.Load()) },
		WaitClock: func() time.Duration { return time.Since(began) * hurry },
	})
	e.join(l)
	for _, a := range s.Actions[i] {
		time.Sleep(time.Duration(a.Pause) * time.Second)
		step.Add(int64(a.ClockStep) * int64(time.Second))
		switch {
		case a.Release:
			_ = l.Release(t.Context())
		case l.Held():
			_ = l.Renew(t.Context())
		default:
			_ = l.Acquire(t.Context())
		}
		e.checkHolders()
		number, held := l.Number()
		if !held {
			continue
		}
		if l.SafeAfter() == 0 {
			e.unfenced(i, 1)
			time.AfterFunc(min(maxCall, time.Duration(a.Call)*time.Second), func() { e.unfenced(i, -1) })
		}
		time.Sleep(time.Duration(a.Freeze) * time.Second) // between check and use
		e.fenced(i, number)
	}
}

func run(t *testing.T, s schedule, hurry time.Duration, wrap func(store.Table) store.Table) error {
	e := &engines{owner: map[int64]int{}, busy: map[int]int{}}
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(memstore.Faults{Delay: time.Duration(s.Delay) * time.Second})
		var all sync.WaitGroup
		for i := range candidates {
			all.Go(func() { play(t, i, s, wrap(mem), e, hurry) })
		}
		all.Wait()
		time.Sleep(maxCall)
	})
	return e.failure
}

// Guards against two holders that both act with an accepted number, and calls
// of two holders that overlap on an upstream that ignores the number, with
// frozen holders, lost replies, late commits and clock steps.
func TestSchedules(t *testing.T) {
	storetest.CheckSchedules(t, anySchedule, func(s schedule) error { return run(t, s, 1, storetest.Unwrapped) })
}

// One twin does not wait for the earlier holder, because its clock runs ahead;
// the other ignores the version of the row.
func TestSchedulesTwins(t *testing.T) {
	for _, twin := range []struct {
		broken string
		hurry  time.Duration
		wrap   func(store.Table) store.Table
	}{
		{"overlap", 1000, storetest.Unwrapped},
		{"both acted", 1, storetest.WithoutConditions},
	} {
		t.Run(twin.broken, func(t *testing.T) {
			storetest.RequireViolation(t, anySchedule, twin.broken, func(s schedule) error { return run(t, s, twin.hurry, twin.wrap) })
		})
	}
}

// Guards against a lease that is never taken over, a release that makes others
// wait, a renewal whose lost reply ends the lease, and a resumed holder that
// does not notice its loss.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx, began := memstore.New(), t.Context(), time.Now()
		clock := func() time.Duration { return time.Since(began) }
		candidate := func(name string) *Lease {
			return New(Options{Table: mem, Name: "n", Holder: name, Clock: clock, WaitClock: clock})
		}
		a, b := candidate("a"), candidate("b")
		assert.NilError(t, a.Acquire(ctx))
		assert.Equal(t, a.SafeAfter(), time.Duration(0))
		assert.ErrorIs(t, b.Acquire(ctx), ErrHeld)
		time.Sleep(DefaultDuration - time.Second)
		mem.SetFaults(memstore.Faults{LoseReplies: 1})
		assert.NilError(t, a.Renew(ctx))
		time.Sleep(DefaultDuration - time.Second)
		assert.Assert(t, a.Held())
		assert.ErrorIs(t, b.Acquire(ctx), ErrHeld)
		time.Sleep(DefaultDuration + DefaultDuration/driftDivisor)
		assert.Assert(t, !a.Held())
		assert.NilError(t, b.Acquire(ctx))
		assert.Equal(t, b.SafeAfter(), DefaultMaxCall)
		assert.ErrorIs(t, a.Renew(ctx), ErrNotHeld)
		number, held := b.Number()
		assert.Assert(t, held && number == 2)
		assert.NilError(t, b.Release(ctx))
		assert.Assert(t, !b.Held())
		assert.NilError(t, a.Acquire(ctx))
		if err := b.Acquire(ctx); !errors.Is(err, ErrHeld) {
			t.Fatal(err)
		}
	})
}
