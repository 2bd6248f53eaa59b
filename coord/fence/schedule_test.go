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
	maxCall    = 20 * time.Second // of the first candidate; each further one has half of it
)

// action is one step of a candidate. All times are in seconds.
type action struct {
	// Pause is the time before the step, Freeze the time for which the process is
	// frozen between checking and using the lease, and Call the duration of the
	// call to the upstream.
	Pause, Freeze, Call int
	Release             bool
	ClockStep           int // forward step of the candidate's Clock
}

type schedule struct {
	Actions [candidates][]action
	Faults  [candidates][]storetest.Fault
	Delay   int             // time until a table call takes effect, in seconds
	Reply   [candidates]int // delay of the reply to a commit, in seconds
}

var scheduleGen = rapid.Custom(func(t *rapid.T) schedule {
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

// upstreams models two upstreams, one that refuses old fencing tokens and one
// that ignores them, and records violations of mutual exclusion.
type upstreams struct {
	mu            sync.Mutex
	highestNumber int64
	owner         map[int64]int // fencing token -> candidate whose call was accepted with it
	callsInFlight map[int]int   // candidate -> running calls to the upstream that ignores tokens
	leases        []*Lease
	failure       error
}

func (u *upstreams) addLease(l *Lease) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leases = append(u.leases, l)
}

func (u *upstreams) checkHolders() {
	u.mu.Lock()
	defer u.mu.Unlock()
	// A candidate that holds the same token in both passes held the lease for
	// the whole time between its two checks, so two such candidates held it at
	// the same moment. A single pass does not prove this, because the first
	// holder can release the lease before the second one is checked.
	first := u.holders()
	both := u.holders()
	maps.DeleteFunc(both, func(l *Lease, number int64) bool { return first[l] != number })
	if len(both) > 1 {
		u.failure = errors.Join(u.failure, fmt.Errorf("%d holders at one moment", len(both)))
	}
}

func (u *upstreams) holders() map[*Lease]int64 {
	held := map[*Lease]int64{}
	for _, l := range u.leases {
		if number, ok := l.Number(); ok {
			held[l] = number
		}
	}
	return held
}

func (u *upstreams) fencedCall(candidate int, number int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if number < u.highestNumber {
		return
	}
	u.highestNumber = number
	if owner, ok := u.owner[number]; ok && owner != candidate {
		u.failure = errors.Join(u.failure, fmt.Errorf("candidates %d and %d both acted with number %d", owner, candidate, number))
	}
	u.owner[number] = candidate
}

func (u *upstreams) unfencedCall(candidate, change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.callsInFlight[candidate] += change
	for other, calls := range u.callsInFlight {
		if other != candidate && calls > 0 && change > 0 {
			u.failure = errors.Join(u.failure, fmt.Errorf("calls of candidates %d and %d overlap", other, candidate))
		}
	}
}

// slowReplies is a table that delays the replies to commits.
type slowReplies struct {
	store.Table
	delay time.Duration
}

func (s slowReplies) Commit(ctx context.Context, ops []store.Op) error {
	err := s.Table.Commit(ctx, ops)
	time.Sleep(s.delay)
	return err
}

// runCandidate runs the actions of one candidate. Its wait clock runs at
// waitClockRate times the real rate; a rate above 1 switches off the wait for the
// earlier holder.
func runCandidate(t *testing.T, i int, s schedule, table store.Table, u *upstreams, waitClockRate time.Duration) {
	start, maxCall := time.Now(), maxCall>>i
	var clockStep atomic.Int64
	l := New(Options{
		Table: slowReplies{storetest.NewFaultyStore(table, nil, s.Faults[i]...), time.Duration(s.Reply[i]) * time.Second}, Name: "orders", Holder: fmt.Sprint(i),
		Duration: duration, MaxCall: maxCall,
		Clock:     func() time.Duration { return time.Since(start) + time.Duration(clockStep.Load()) },
		WaitClock: func() time.Duration { return time.Since(start) * waitClockRate },
	})
	u.addLease(l)
	for _, a := range s.Actions[i] {
		time.Sleep(time.Duration(a.Pause) * time.Second)
		clockStep.Add(int64(a.ClockStep) * int64(time.Second))
		switch {
		case a.Release:
			_ = l.Release(t.Context())
		case l.Held():
			_ = l.Renew(t.Context())
		default:
			_ = l.Acquire(t.Context())
		}
		u.checkHolders()
		number, held := l.Number()
		if !held {
			continue
		}
		if l.SafeAfter() == 0 {
			u.unfencedCall(i, 1)
			time.AfterFunc(min(maxCall, time.Duration(a.Call)*time.Second), func() { u.unfencedCall(i, -1) })
		}
		time.Sleep(time.Duration(a.Freeze) * time.Second) // between check and use
		u.fencedCall(i, number)
	}
}

func runSchedule(t *testing.T, s schedule, waitClockRate time.Duration, wrap func(store.Table) store.Table) error {
	u := &upstreams{owner: map[int64]int{}, callsInFlight: map[int]int{}}
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		mem.SetFaults(memstore.Faults{Delay: time.Duration(s.Delay) * time.Second})
		var all sync.WaitGroup
		for i := range candidates {
			all.Go(func() { runCandidate(t, i, s, wrap(mem), u, waitClockRate) })
		}
		all.Wait()
		time.Sleep(maxCall)
	})
	return u.failure
}

// Guards against two candidates whose calls are accepted with the same fencing
// token, and against overlapping calls of two holders to an upstream that ignores
// the token. The schedules contain frozen holders, lost replies, late commits and
// clock steps.
func TestSchedules(t *testing.T) {
	storetest.CheckSchedules(t, scheduleGen, func(s schedule) error { return runSchedule(t, s, 1, storetest.Unwrapped) })
}

// TestSchedules must fail when a mechanism is switched off. In the first case a
// candidate does not wait for the earlier holder, because its wait clock runs
// ahead, and calls of two holders must overlap. In the second case commits ignore
// the version of the row, and two candidates must act with the same token.
func TestSchedulesNegativeControl(t *testing.T) {
	for _, tc := range []struct {
		violation     string
		waitClockRate time.Duration
		wrap          func(store.Table) store.Table
	}{
		{"overlap", 1000, storetest.Unwrapped},
		{"both acted", 1, storetest.WithoutConditions},
	} {
		t.Run(tc.violation, func(t *testing.T) {
			storetest.RequireViolation(t, scheduleGen, tc.violation, func(s schedule) error { return runSchedule(t, s, tc.waitClockRate, tc.wrap) })
		})
	}
}

// Guards against a lease that is never taken over after it has expired, a release
// after which others still have to wait, a renewal whose lost reply ends the
// lease, and an earlier holder that does not notice that it has lost the lease.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx, start := memstore.New(), t.Context(), time.Now()
		clock := func() time.Duration { return time.Since(start) }
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
