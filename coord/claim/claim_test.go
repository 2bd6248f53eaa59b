package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
)

// start runs a Claimer over mem until the test ends.
func start(t *testing.T, mem store.Table, o Options) *Claimer {
	o.Table = mem
	c := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return c
}

// Guards against a write that took effect and is reported as settled, because
// its submitter left just before the result was delivered.
func TestAbandonAfterSuccessIsUnsettled(t *testing.T) {
	w := newWrite("k", nil, true)
	assert.Assert(t, w.start())
	w.land(nil, false)
	assert.Assert(t, w.abandon())
}

// Guards against two conditions on one key in one transaction, which would
// both hold, and against a group that fails as a whole because of a conflict.
func TestOneWinnerInOneGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := start(t, mem, Options{})
		var won sync.Map
		var calls sync.WaitGroup
		for i := range 100 {
			calls.Go(func() {
				key := Key{"org", fmt.Sprint(i % 10)}
				claim, err := c.Acquire(t.Context(), key, Fingerprint{})
				assert.NilError(t, err)
				if claim.State() == Won {
					_, twice := won.LoadOrStore(key, true)
					assert.Assert(t, !twice, key)
				}
			})
		}
		calls.Wait()
		assert.Equal(t, c.Stats().Won, int64(10))
	})
}

// Guards against an outcome above the bound, a repeat that does not see it, a
// key that serves another request, and a Close that leaves writes behind.
func TestOutcomeMismatchAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx := memstore.New(), t.Context()
		c := start(t, mem, Options{MaxOutcomeBytes: 10})
		key := Key{"org", "k"}
		claim, err := c.Acquire(ctx, key, Fingerprint{1})
		assert.NilError(t, err)
		assert.ErrorIs(t, claim.Complete(ctx, Outcome{}), ErrNotWon)
		assert.NilError(t, claim.BeginDispatch())
		mem.SetFaults(memstore.Faults{Down: true})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		big := Outcome{Status: 201, Body: []byte(strings.Repeat("x", 11))}
		assert.ErrorIs(t, claim.Complete(short, big), ErrDeferred)
		time.AfterFunc(time.Hour, func() { mem.SetFaults(memstore.Faults{LoseReplies: 1}) })
		assert.NilError(t, c.Close(ctx))
		_, err = c.Acquire(ctx, key, Fingerprint{1})
		assert.ErrorIs(t, err, ErrNotRun)

		c = start(t, mem, Options{})
		claim, err = c.Acquire(ctx, key, Fingerprint{1})
		assert.NilError(t, err)
		assert.DeepEqual(t, claim.Outcome(), Outcome{Status: 201, Truncated: true})
		_, err = c.Acquire(ctx, key, Fingerprint{2})
		assert.ErrorIs(t, err, ErrFingerprintMismatch)
	})
}

// hanging never answers the first commit.
type hanging struct {
	store.Table
	once sync.Once
}

func (h *hanging) Commit(ctx context.Context, ops []store.Op) error {
	hang := false
	h.once.Do(func() { hang = true })
	if hang {
		<-ctx.Done()
		return store.ErrUnknown
	}
	return h.Table.Commit(ctx, ops)
}

// Guards against claims that wait behind a commit that hangs, and against a
// claim that is refused because its first commit hung.
func TestHangingCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, &hanging{Table: memstore.New()}, Options{})
		began := time.Now()
		var calls sync.WaitGroup
		for i, within := range []time.Duration{DefaultCallTimeout + time.Second, DefaultSlotPatience + 100*time.Millisecond} {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				claim, err := c.Acquire(t.Context(), Key{"org", fmt.Sprint(i)}, Fingerprint{})
				assert.NilError(t, err)
				assert.Equal(t, claim.State(), Won)
				assert.Assert(t, time.Since(began) < within, "call %d took %v", i, time.Since(began))
			})
		}
		calls.Wait()
	})
}

type lease bool

func (l lease) Held() bool { return bool(l) }

// Guards against a sweep without the lease, rows removed before their
// retention, and rows that are kept for ever.
func TestSweeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx := memstore.New(), t.Context()
		c := start(t, mem, Options{})
		for i := range 3 {
			claim, err := c.Acquire(ctx, Key{"org", fmt.Sprint(i)}, Fingerprint{})
			assert.NilError(t, err)
			switch i {
			case 0:
				assert.NilError(t, claim.Release(ctx))
			case 1:
				assert.NilError(t, claim.BeginDispatch())
				assert.NilError(t, claim.Complete(ctx, Outcome{Status: 200}))
			}
		}
		s := NewSweeper(SweeperOptions{Table: mem, Lease: lease(true)})
		for _, step := range []struct {
			wait    time.Duration
			removed int64
		}{{DefaultTombstoneRetention - time.Minute, 0}, {2 * time.Minute, 1}, {DefaultRetention - 2*time.Hour, 1}, {2 * time.Hour, 3}} {
			time.Sleep(step.wait)
			other := NewSweeper(SweeperOptions{Table: mem, Lease: lease(false)})
			if err := other.Sweep(ctx); err != nil && !errors.Is(err, ErrLeaseLost) {
				t.Fatal(err)
			}
			assert.NilError(t, s.Sweep(ctx))
			assert.Equal(t, s.Removed(), step.removed)
			assert.Equal(t, other.Removed(), int64(0))
		}
	})
}
