package claim

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Defaults of SweeperOptions.
const (
	DefaultRetention          = 7 * 24 * time.Hour
	DefaultTombstoneRetention = time.Hour
	DefaultSweepPeriod        = 10 * time.Minute
	DefaultSweepPause         = 200 * time.Millisecond

	sweepPageSize = 500 // rows per scan and per delete transaction
)

// ErrLeaseLost reports a sweep that ended because the process does not hold the
// lease.
var ErrLeaseLost = errors.New("sweeper does not hold the lease")

// Lease reports whether this process may sweep. *fence.Lease implements it.
type Lease interface {
	Held() bool
}

// SweeperOptions configures a Sweeper. Zero values mean the defaults.
type SweeperOptions struct {
	Table store.Table
	Lease Lease
	// Retention is the age at which outcomes, and claims without an outcome,
	// are removed.
	Retention time.Duration
	// TombstoneRetention is the age at which released rows are removed.
	TombstoneRetention time.Duration
	// Period is the time between sweeps, Pause the time between pages.
	Period, Pause time.Duration
	// Now returns the wall-clock time.
	Now func() time.Time
}

// Sweeper removes expired claim rows. One daemon sweeps at a time, which saves
// writes. A second sweeper would be harmless, because a row is deleted only at
// the version that was read.
type Sweeper struct {
	o       SweeperOptions
	removed atomic.Int64
	damaged atomic.Int64
}

// NewSweeper returns a Sweeper.
func NewSweeper(o SweeperOptions) *Sweeper {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.TombstoneRetention = cmp.Or(o.TombstoneRetention, DefaultTombstoneRetention)
	o.Period = cmp.Or(o.Period, DefaultSweepPeriod)
	o.Pause = cmp.Or(o.Pause, DefaultSweepPause)
	if o.Now == nil {
		o.Now = func() time.Time { return time.Now().Round(0) }
	}
	return &Sweeper{o: o}
}

// Removed returns the number of rows removed since NewSweeper.
func (s *Sweeper) Removed() int64 { return s.removed.Load() }

// Damaged returns the number of rows that could not be decoded. They are kept,
// because a damaged row may stand for a call that ran.
func (s *Sweeper) Damaged() int64 { return s.damaged.Load() }

// Run sweeps once per period while the lease is held, until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for sleepJittered(ctx, s.o.Period) {
		if s.o.Lease.Held() {
			_ = s.Sweep(ctx) // the next period tries again
		}
	}
	return nil
}

// Sweep scans all claim rows once and removes the expired ones. It checks the
// lease before each write.
func (s *Sweeper) Sweep(ctx context.Context) error {
	after := ""
	for {
		rows, err := s.o.Table.Scan(ctx, RowPrefix, after, sweepPageSize)
		if err != nil {
			return err
		}
		if err := s.removeExpired(ctx, rows); err != nil {
			return err
		}
		if len(rows) < sweepPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
		if !sleepJittered(ctx, s.o.Pause) {
			return context.Cause(ctx)
		}
	}
}

// removeExpired deletes the expired rows of one page. A conflict means that a
// row was written in the meantime; the page is then left to the next sweep.
func (s *Sweeper) removeExpired(ctx context.Context, rows []store.Row) error {
	var ops []store.Op
	for _, row := range rows {
		if s.isExpired(row) {
			ops = append(ops, store.Op{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	if len(ops) == 0 {
		return nil
	}
	if !s.o.Lease.Held() {
		return ErrLeaseLost
	}
	err := s.o.Table.Commit(ctx, ops)
	if _, ok := errors.AsType[*store.ConflictError](err); ok {
		return nil
	}
	if err == nil {
		s.removed.Add(int64(len(ops)))
	}
	return err
}

// isExpired reports whether a row has passed its retention time. A damaged row
// never has; it is counted.
func (s *Sweeper) isExpired(row store.Row) bool {
	r, err := decode(row)
	if err != nil {
		s.damaged.Add(1)
		return false
	}
	if r.State == rowReleased {
		return r.age(s.o.Now()) > s.o.TombstoneRetention
	}
	return r.age(s.o.Now()) > s.o.Retention
}
