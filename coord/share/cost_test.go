package share

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
)

// meteredTable counts the bytes of the rows that are read and written.
type meteredTable struct {
	store.Table
	read, written atomic.Int64
}

func (m *meteredTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	rows, err := m.Table.Get(ctx, keys...)
	for _, r := range rows {
		m.read.Add(int64(len(r.Key) + len(r.Value)))
	}
	return rows, err
}

func (m *meteredTable) Commit(ctx context.Context, ops []store.Op) error {
	for _, o := range ops {
		m.written.Add(int64(len(o.Key) + len(o.Value)))
	}
	return m.Table.Commit(ctx, ops)
}

// BenchmarkFleet reports the table calls and the bytes that the shares of a fleet
// read and write at steady demand. The page on capacity quotes its figures.
func BenchmarkFleet(b *testing.B) {
	for _, orgs := range []int{1, 10} {
		for _, daemons := range []int{64, 160, 320} {
			b.Run(fmt.Sprintf("orgs=%d/daemons=%d", orgs, daemons), func(b *testing.B) {
				for b.Loop() {
					synctest.Test(&testing.T{}, func(t *testing.T) {
						ctx, cancel := context.WithCancel(context.Background())
						mem := memstore.New()
						m := &meteredTable{Table: mem}
						var running sync.WaitGroup
						for i := range daemons {
							s := New(Options{Table: m, VM: fmt.Sprintf("region-zone-%02d/vm%03d", i%15, i), Incarnation: "1764000000000000000", Holders: func() int { return daemons }})
							for o := range orgs {
								s.SetLimit(fmt.Sprint("organisation-", o), Limit{RequestsPerSecond: 6100, TokensPerSecond: 3e6})
							}
							running.Go(func() { _ = s.Run(ctx) })
							running.Go(func() {
								for n := 0; ctx.Err() == nil; n++ {
									time.Sleep(time.Second / 10)
									_ = s.Admit(fmt.Sprint("organisation-", n%orgs), 400)
								}
							})
						}
						time.Sleep(2 * time.Minute)
						before, r, w := mem.Counts(), m.read.Load(), m.written.Load()
						time.Sleep(time.Minute)
						after := mem.Counts()
						b.ReportMetric(float64(after.Reads-before.Reads)/60, "reads/s")
						b.ReportMetric(float64(after.Writes-before.Writes)/60, "writes/s")
						b.ReportMetric(float64(m.read.Load()-r)/60/float64(daemons), "read-B/s/daemon")
						b.ReportMetric(float64(m.written.Load()-w)/60/float64(daemons), "written-B/s/daemon")
						cancel()
						running.Wait()
					})
				}
			})
		}
	}
}
