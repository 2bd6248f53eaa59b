package daemon

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/quarantine"
)

const (
	// findingsPrefix is the prefix of the rows that keep what the daemons know of messages
	// that end upstreams. Their times are Unix times.
	findingsPrefix = "quarantine/"
	// findingsPage bounds the rows that one call reads.
	findingsPage = 100
)

// findings keeps the evidence of the quarantine in the table of the platform, which outlives a
// restart of all daemons. Only learning.Run uses it.
type findings struct {
	table store.Table
	log   *zap.Logger
	// loaded is set once the rows have been read; stored are those of the last reading, with
	// the changes since.
	loaded bool
	stored []quarantine.Stored
}

// load reads all rows and restores the evidence in them.
func (f *findings) load(ctx context.Context, t *quarantine.Tracker) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var stored []quarantine.Stored
	for after := ""; ; {
		rows, err := f.table.Scan(callCtx, findingsPrefix, after, findingsPage)
		if err != nil {
			f.log.Info("findings of the quarantine not read", zap.Error(err))
			return
		}
		for _, row := range rows {
			found, err := quarantine.DecodeStored(strings.TrimPrefix(row.Key, findingsPrefix), row.Value, row.Version)
			if err != nil {
				f.log.Warn("finding of the quarantine ignored", zap.String("row", row.Key), zap.Error(err))
			}
			if err == nil || found.Unreadable {
				stored = append(stored, found)
			}
		}
		if len(rows) < findingsPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	now := time.Now()
	t.Restore(quarantine.Findings(stored), now, unixClock(now))
	f.loaded, f.stored = true, stored
}

// write writes the findings that have changed. If another daemon has written some of them, it
// reads them anew first.
func (f *findings) write(ctx context.Context, t *quarantine.Tracker) {
	now := time.Now()
	changes := quarantine.Changes(f.stored, t.Findings(now, unixClock(now)))
	if len(changes) == 0 {
		return
	}
	ops := make([]store.Op, 0, len(changes))
	for _, c := range changes {
		op := store.Op{Key: findingsPrefix + c.Part.Key(), Expect: c.Expected, Delete: c.Finding == nil}
		if c.Finding != nil {
			value, err := c.Finding.Encode()
			if err != nil {
				f.log.Error("finding of the quarantine not encoded", zap.Error(err))
				return
			}
			op.Value = value
		}
		ops = append(ops, op)
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := f.table.Commit(callCtx, ops)
	if _, conflict := errors.AsType[*store.ConflictError](err); err != nil && !conflict {
		f.log.Info("findings of the quarantine not written", zap.Error(err))
		return
	}
	// The reading also brings the new versions of the rows.
	f.load(ctx, t)
}

// unixClock is the clock that daemons share.
func unixClock(now time.Time) time.Duration { return time.Duration(now.UnixNano()) }
