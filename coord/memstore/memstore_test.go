package memstore_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
)

// Guards against a transaction that writes some of its rows although a condition
// of another row fails.
func TestCommitIsAtomic(t *testing.T) {
	s := memstore.New()
	ctx := t.Context()
	assert.NilError(t, s.Commit(ctx, []store.Op{{Key: "a", Value: []byte("1")}}))
	err := s.Commit(ctx, []store.Op{{Key: "b", Value: []byte("1")}, {Key: "a", Value: []byte("2")}})
	conflict, ok := errors.AsType[*store.ConflictError](err)
	assert.Assert(t, ok)
	assert.Equal(t, conflict.Current.Version, int64(1))
	rows, err := s.Get(ctx, "a", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "1")
	assert.Equal(t, rows[1].Version, int64(0))
}

// Guards against a row that gets the same version again after a delete and an
// insert, which would let a stale compare-and-set succeed.
func TestVersionGrowsOverDelete(t *testing.T) {
	s := memstore.New()
	ctx := t.Context()
	assert.NilError(t, s.Commit(ctx, []store.Op{{Key: "a"}}))
	assert.NilError(t, s.Commit(ctx, []store.Op{{Key: "a", Expect: 1, Delete: true}}))
	assert.NilError(t, s.Commit(ctx, []store.Op{{Key: "a"}}))
	rows, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, int64(2))
}

func TestLostReplyTakesEffect(t *testing.T) {
	s := memstore.New()
	s.SetFaults(memstore.Faults{LoseReplies: 1})
	ctx := t.Context()
	assert.ErrorIs(t, s.Commit(ctx, []store.Op{{Key: "a"}}), store.ErrUnknown)
	rows, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, int64(1))
}

func TestScanPages(t *testing.T) {
	s := memstore.New()
	ctx := t.Context()
	for _, k := range []string{"a/1", "a/2", "a/3", "b/1"} {
		assert.NilError(t, s.Commit(ctx, []store.Op{{Key: k}}))
	}
	rows, err := s.Scan(ctx, "a/", "", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	rows, err = s.Scan(ctx, "a/", rows[1].Key, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "a/3")
}
