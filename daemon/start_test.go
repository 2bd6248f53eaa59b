package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/tree"
)

// meteredStore counts the bytes read from a store. When limit is not 0, scans
// after the first limit ones fail.
type meteredStore struct {
	*memstore.Store
	limit, scans, bytes int
}

func (m *meteredStore) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if m.scans++; m.limit > 0 && m.scans > m.limit {
		return nil, store.ErrUnavailable
	}
	rows, err := m.Store.Scan(ctx, prefix, after, limit)
	for _, r := range rows {
		m.bytes += len(r.Key) + len(r.Value)
	}
	return rows, err
}

// meteredObjects counts the bytes of objects read in m.
type meteredObjects struct {
	store.Objects
	m *meteredStore
}

func (o meteredObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.Objects.Get(ctx, name)
	o.m.bytes += len(data)
	return data, err
}

func newTestConfiguration(m *meteredStore) *configuration {
	c := newConfiguration(configurationOptions{
		table: m, objects: meteredObjects{m.Objects(), m}, self: member.VM{ID: "a/vm1", Incarnation: 1},
		evidenceLease: time.Second, syncPeriod: time.Second, headPeriod: time.Second, logger: zap.NewNop(),
	})
	c.onApplied = func(_, _ *tree.Snapshot) {}
	return c
}

// appendChanges writes a tree of n engines and then changes of one engine each.
func appendChanges(tb testing.TB, c *configuration, n, changes int) {
	s, _ := engines(tb, n)
	patch, err := json.Marshal(s.Tree())
	assert.NilError(tb, err)
	for i := range changes {
		_, err := c.log.Append(tb.Context(), changelog.Change{ID: fmt.Sprint(i), Author: "operator", Base: int64(i), Patch: patch})
		assert.NilError(tb, err)
		patch = fmt.Appendf(nil, `{"upstreams":{"e%04d":{"draining":%v}}}`, i%n, i%2 == 0)
	}
}

// Guards against a new VM that must read the whole log because no daemon writes
// snapshots. In the second case none is written and it reads every change.
func TestNewVMStartsFromSnapshot(t *testing.T) {
	const changes = 3*changelog.DefaultSnapshotEvery + 5
	for _, tc := range []struct {
		name   string
		writes bool
		kept   int
	}{{"written", true, 5}, {"not written", false, changes}} {
		t.Run(tc.name, func(t *testing.T) {
			m := &meteredStore{Store: memstore.New()}
			old := newTestConfiguration(m)
			appendChanges(t, old, 10, changes)
			old.load(t.Context())
			if tc.writes {
				old.writeSnapshot(t.Context())
			}
			started := newTestConfiguration(m)
			started.load(t.Context())
			assert.Equal(t, started.Snapshot().Revision(), int64(changes))
			_, kept := started.follower.Since(int64(changes-tc.kept), changes)
			assert.Assert(t, kept)
			_, kept = started.follower.Since(int64(changes-tc.kept-1), changes)
			assert.Equal(t, kept, false)
		})
	}
}

// Guards against a start in which the replay of changes ends in an error, such as
// a timeout, and the state verified before it is put in force only with the next
// change.
func TestPartialReplayIsInForce(t *testing.T) {
	m := &meteredStore{Store: memstore.New()}
	appendChanges(t, newTestConfiguration(m), 10, changesPerRead+10)
	m.limit, m.scans = 1, 0
	started := newTestConfiguration(m)
	started.load(t.Context())
	assert.Assert(t, started.Snapshot() != nil)
	assert.Equal(t, started.Snapshot().Revision(), int64(changesPerRead))
}

// BenchmarkStart measures how a replaced VM loads its configuration from memory,
// the newest snapshot and the changes after it, up to the number of upstreams that
// the design provides for.
func BenchmarkStart(b *testing.B) {
	for _, upstreams := range []int{825, 1650, 3300} {
		for _, changes := range []int{1, 16, 32, 63} {
			b.Run(fmt.Sprintf("upstreams=%d/changes=%d", upstreams, changes), func(b *testing.B) {
				m := &meteredStore{Store: memstore.New()}
				old := newTestConfiguration(m)
				appendChanges(b, old, upstreams, changelog.DefaultSnapshotEvery+changes)
				assert.NilError(b, old.log.CatchUp(b.Context(), old.follower))
				old.writeSnapshot(b.Context())
				m.bytes = 0
				starts := 0
				for b.Loop() {
					starts++
					c := newTestConfiguration(m)
					c.load(b.Context())
					assert.Equal(b, c.Snapshot().Revision(), int64(changelog.DefaultSnapshotEvery+changes))
				}
				b.ReportMetric(float64(m.bytes)/float64(starts), "bytes/start")
			})
		}
	}
}
