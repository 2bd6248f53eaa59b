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

// startClaimer runs a Claimer over mem until the test ends.
func startClaimer(t *testing.T, mem store.Table, o Options) *Claimer {
	o.Table = mem
	c := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return c
}

// Guards against a write that took effect but is reported as settled, because
// its submitter abandoned it just before the result was delivered.
func TestAbandonAfterSuccessIsUnsettled(t *testing.T) {
	w := newWrite("k", nil, true)
	assert.Assert(t, w.beginCommit())
	w.endCommit(nil, false)
	assert.Assert(t, w.abandon())
}

// Guards against two operations on one key in one transaction, whose version
// checks would both succeed, and against a group that fails as a whole because
// of one conflict.
func TestOneWinnerInOneGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		c := startClaimer(t, mem, Options{})
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

// Guards against a stored outcome above the size bound, a repeated request that
// does not get the stored outcome, a key that is accepted for another request,
// and a Close that returns before the background writes are finished.
func TestOutcomeMismatchAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx := memstore.New(), t.Context()
		c := startClaimer(t, mem, Options{MaxOutcomeBytes: 10})
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

		c = startClaimer(t, mem, Options{})
		claim, err = c.Acquire(ctx, key, Fingerprint{1})
		assert.NilError(t, err)
		assert.DeepEqual(t, claim.Outcome(), Outcome{Status: 201, Truncated: true})
		_, err = c.Acquire(ctx, key, Fingerprint{2})
		assert.ErrorIs(t, err, ErrFingerprintMismatch)
	})
}

// hangingTable blocks the first commit until the context of the call ends.
type hangingTable struct {
	store.Table
	once sync.Once
}

func (h *hangingTable) Commit(ctx context.Context, ops []store.Op) error {
	hang := false
	h.once.Do(func() { hang = true })
	if hang {
		<-ctx.Done()
		return store.ErrUnknown
	}
	return h.Table.Commit(ctx, ops)
}

// Guards against claims that wait behind a hanging commit, and against a claim
// that is refused because its first commit hung.
func TestHangingCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startClaimer(t, &hangingTable{Table: memstore.New()}, Options{})
		began := time.Now()
		var calls sync.WaitGroup
		for i, within := range []time.Duration{DefaultCallTimeout + time.Second, DefaultSlowCommitThreshold + 100*time.Millisecond} {
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

type fixedLease bool

func (l fixedLease) Held() bool { return bool(l) }

// Guards against a sweep without the lease, rows that are removed before their
// retention time, and rows that are never removed.
func TestSweeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, ctx := memstore.New(), t.Context()
		c := startClaimer(t, mem, Options{})
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
		s := NewSweeper(SweeperOptions{Table: mem, Lease: fixedLease(true)})
		for _, step := range []struct {
			wait    time.Duration
			removed int64
		}{{DefaultTombstoneRetention - time.Minute, 0}, {2 * time.Minute, 1}, {DefaultRetention - 2*time.Hour, 1}, {2 * time.Hour, 3}} {
			time.Sleep(step.wait)
			other := NewSweeper(SweeperOptions{Table: mem, Lease: fixedLease(false)})
			if err := other.Sweep(ctx); err != nil && !errors.Is(err, ErrLeaseLost) {
				t.Fatal(err)
			}
			assert.NilError(t, s.Sweep(ctx))
			assert.Equal(t, s.Removed(), step.removed)
			assert.Equal(t, other.Removed(), int64(0))
		}
	})
}
