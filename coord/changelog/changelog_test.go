package changelog_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
)

// concat is an Apply whose result shows the order of all patches.
func concat(state, patch []byte) ([]byte, error) {
	if string(patch) == "refuse" {
		return nil, errors.New("refused")
	}
	return append(append([]byte{}, state...), patch...), nil
}

func change(id string, base int64) changelog.Change {
	return changelog.Change{ID: id, Author: "ana", Base: base, Patch: []byte(id + ";")}
}

// newLog returns a log with n changes, c1 to cn.
func newLog(t *testing.T, n int64) (*changelog.Log, *memstore.Store) {
	t.Helper()
	s := memstore.New()
	l := changelog.New(changelog.Options{Table: s, Objects: s.Objects(), Apply: concat, SnapshotEvery: 4})
	for base := range n {
		_, err := l.Append(t.Context(), change(fmt.Sprint("c", base+1), base))
		assert.NilError(t, err)
	}
	return l, s
}

// lossyTable lets each commit take effect, loses its reply and then fails
// the read that follows it.
type lossyTable struct {
	store.Table
	failReads int
}

func (l *lossyTable) Commit(ctx context.Context, ops []store.Op) error {
	l.failReads = 1
	return errors.Join(store.ErrUnknown, l.Table.Commit(ctx, ops))
}

func (l *lossyTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if l.failReads > 0 {
		l.failReads--
		return nil, store.ErrUnavailable
	}
	return l.Table.Get(ctx, keys...)
}

// Guards against a change that is stored twice after a lost reply or a retry.
func TestAppendIsIdempotent(t *testing.T) {
	l, s := newLog(t, 2)
	s.SetFaults(memstore.Faults{LoseReplies: 1})
	stored, err := l.Append(t.Context(), change("c3", 2))
	assert.NilError(t, err)
	assert.Equal(t, stored.Revision, int64(3))
	again, err := l.Append(t.Context(), change("c3", 3)) // rebased by a client that lost its reply
	assert.NilError(t, err)
	assert.DeepEqual(t, again, stored)
	head, err := l.Head(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, head, changelog.Head{Revision: 3, Hash: stored.Hash})

	other := change("c3", 3)
	other.Patch = []byte("other")
	_, err = l.Append(t.Context(), other)
	_, reused := errors.AsType[*changelog.IDReusedError](err)
	assert.Assert(t, reused, "%v", err)
}

// Guards against "had no effect" being claimed for a write that took effect.
func TestAppendReportsUnknownOutcome(t *testing.T) {
	s := memstore.New()
	l := changelog.New(changelog.Options{Table: &lossyTable{Table: s}})
	_, err := l.Append(t.Context(), change("c1", 0))
	assert.ErrorIs(t, err, store.ErrUnknown)
	stored, err := l.Append(t.Context(), change("c1", 0))
	assert.NilError(t, err)
	assert.Equal(t, stored.Revision, int64(1))

	s.SetFaults(memstore.Faults{Down: true})
	_, err = l.Append(t.Context(), change("c2", 1))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, store.ErrUnknown))
}

// Guards against a lost update: of racing operators one wins, and the others
// see what won.
func TestAppendRace(t *testing.T) {
	l, _ := newLog(t, 1)
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		wg.Go(func() { _, errs[i] = l.Append(t.Context(), change(fmt.Sprint("r", i), 1)) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		conflict, ok := errors.AsType[*changelog.ConflictError](err)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, len(conflict.Others), 1)
		assert.Equal(t, conflict.Head.Hash, conflict.Others[0].Hash)
	}
	assert.Equal(t, won, 1)
}

// Guards against input that JSON would alter, so that its hash never verifies.
func TestAppendRejectsBadInput(t *testing.T) {
	l, _ := newLog(t, 0)
	bad := map[string]func(*changelog.Change){
		"id":     func(c *changelog.Change) { c.ID = "" },
		"author": func(c *changelog.Change) { c.Author = "\xff" },
		"reason": func(c *changelog.Change) { c.Reason = strings.Repeat("x", changelog.MaxTextBytes+1) },
		"base":   func(c *changelog.Change) { c.Base = -1 },
		"patch":  func(c *changelog.Change) { c.Patch = make([]byte, changelog.MaxPatchBytes+1) },
		"time":   func(c *changelog.Change) { c.Time = time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC) },
	}
	for field, spoil := range bad {
		c := change("c1", 0)
		spoil(&c)
		_, err := l.Append(t.Context(), c)
		invalid, ok := errors.AsType[*changelog.InvalidChangeError](err)
		assert.Assert(t, ok, "%s: %v", field, err)
		assert.Equal(t, invalid.Field, field)
	}
	odd := change("\u2028<&>", 0)
	odd.Time = time.Date(2026, 1, 2, 3, 4, 5, 678901234, time.FixedZone("x", 3600))
	_, err := l.Append(t.Context(), odd)
	assert.NilError(t, err)
	_, err = l.Changes(t.Context(), 0, 10)
	assert.NilError(t, err)
}

// Guards against a field that the hash does not cover, and against a follower
// that accepts a forged, gapped or forked chain or moves back.
func TestFollowerRejectsBrokenChains(t *testing.T) {
	l, _ := newLog(t, 6)
	changes, err := l.Changes(t.Context(), 0, 10)
	assert.NilError(t, err)
	f := changelog.NewFollower(changelog.FollowerOptions{Apply: concat})
	head, err := f.Offer(changes[:2])
	assert.NilError(t, err)
	for i := range reflect.TypeFor[changelog.Change]().NumField() {
		forged := append([]changelog.Change{}, changes[2:4]...)
		field := reflect.ValueOf(&forged[1]).Elem().Field(i)
		switch v := field.Interface().(type) {
		case int64:
			field.SetInt(v + 1)
		case string:
			field.SetString(v + "0")
		case []byte:
			field.SetBytes([]byte("forged"))
		case time.Time:
			field.Set(reflect.ValueOf(v.Add(1)))
		}
		got, err := f.Offer(forged)
		_, ok := errors.AsType[*changelog.ChainError](err)
		assert.Assert(t, ok, "field %d: %v", i, err)
		assert.DeepEqual(t, got, head)
	}
	forked := changes[1]
	forked.Hash = "other"
	for _, bad := range [][]changelog.Change{changes[3:], {forked}} {
		got, err := f.Offer(bad)
		assert.Assert(t, err != nil)
		assert.DeepEqual(t, got, head)
	}
	rejected := f.Rejected()
	assert.Equal(t, rejected.Gaps+rejected.Forged, int64(reflect.TypeFor[changelog.Change]().NumField()+2))

	_, err = f.Offer(changes)
	assert.NilError(t, err)
	after, err := f.Offer(changes[:3]) // an older source
	assert.NilError(t, err)
	assert.Equal(t, after.Revision, int64(6))
	_, state := f.State()
	assert.Equal(t, string(state), "c1;c2;c3;c4;c5;c6;")
	assert.Assert(t, !f.Adopt(changelog.Snapshot{Head: changelog.Head{Revision: 5}}))
}

// Guards against a log that no node can follow any more after one bad patch.
func TestRefusedChangeHasNoEffect(t *testing.T) {
	l, _ := newLog(t, 1)
	_, err := l.Append(t.Context(), changelog.Change{ID: "c2", Base: 1, Patch: []byte("refuse")})
	assert.NilError(t, err)
	_, err = l.Append(t.Context(), change("c3", 2))
	assert.NilError(t, err)
	f, err := l.Load(t.Context())
	assert.NilError(t, err)
	head, state := f.State()
	assert.Equal(t, head.Revision, int64(3))
	assert.Equal(t, string(state), "c1;c3;")
	assert.Equal(t, f.Rejected().Apply, int64(1))
	changes, _ := l.Changes(t.Context(), 0, 3)
	_, err = changelog.NewFollower(changelog.FollowerOptions{Apply: concat}).Offer(changes)
	apply, ok := errors.AsType[*changelog.ApplyError](err)
	assert.Assert(t, ok && apply.Revision == 2, "%v", err)
}

// Guards against a new VM that starts from a damaged or foreign snapshot.
func TestLoadFallsBackOverDamagedSnapshots(t *testing.T) {
	l, s := newLog(t, 10)
	ctx := t.Context()
	f, err := l.Load(ctx) // no snapshot yet: reads the whole log
	assert.NilError(t, err)
	due, ok := f.DueSnapshot()
	assert.Assert(t, ok)
	assert.Equal(t, due.Head.Revision, int64(8))
	old := changelog.NewFollower(changelog.FollowerOptions{Apply: concat, SnapshotEvery: 4})
	changes, _ := l.Changes(ctx, 0, 4)
	_, err = old.Offer(changes)
	assert.NilError(t, err)
	snap4, _ := old.DueSnapshot()
	assert.NilError(t, l.WriteSnapshot(ctx, snap4))
	assert.NilError(t, l.WriteSnapshot(ctx, snap4)) // a second writer
	// A snapshot with a correct checksum whose hash is not in the log.
	assert.NilError(t, l.WriteSnapshot(ctx, changelog.Snapshot{Head: changelog.Head{Revision: 8, Hash: "x"}, State: []byte("foreign")}))
	assert.NilError(t, s.Objects().Put(ctx, fmt.Sprintf("config/snapshot/%020d", 12), []byte("{}")))

	newest, err := l.NewestSnapshot(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, newest, snap4)
	f, err = l.Load(ctx)
	assert.NilError(t, err)
	head, state := f.State()
	assert.Equal(t, head.Revision, int64(10))
	assert.Equal(t, string(state), "c1;c2;c3;c4;c5;c6;c7;c8;c9;c10;")
	_, kept := f.Since(3, 100)
	assert.Assert(t, !kept)
	rest, kept := f.Since(4, 2)
	assert.Assert(t, kept && len(rest) == 2 && rest[0].Revision == 5)
}
