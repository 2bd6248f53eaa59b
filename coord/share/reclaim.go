package share

import (
	"context"
	"errors"
	"maps"
	"strings"

	"github.com/savoryshift/savoryshift/coord/store"
)

const (
	reclaimPageSize    = 100 // rows per scan
	maxReclaimAttempts = 10  // commits per row
)

// Reclaim returns the shares of all incarnations of a VM to the free part of the
// limits. It must be called only when the platform's list does not contain the
// VM, because a VM that is cut off from the platform still uses its share. It
// returns the number of rows that changed.
func (m *Manager) Reclaim(ctx context.Context, vm string) (int, error) {
	changed, after := 0, ""
	ofVM := func(holder string) bool { return strings.HasPrefix(holder, vm+"/") }
	for {
		m.reads.Add(1)
		rows, err := m.opts.Table.Scan(ctx, rowPrefix, after, reclaimPageSize)
		if err != nil {
			return changed, err
		}
		for _, row := range rows {
			removed, err := m.removeFrom(ctx, row, ofVM)
			if err != nil {
				return changed, err
			}
			if removed {
				changed++
			}
		}
		if len(rows) < reclaimPageSize {
			return changed, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// removeFrom removes the holders that match from a row. Repeating it after
// a lost reply is harmless.
func (m *Manager) removeFrom(ctx context.Context, row store.Row, match func(holder string) bool) (removed bool, err error) {
	for range maxReclaimAttempts {
		g, err := decodeGrants(row)
		if err != nil {
			return removed, err
		}
		before := len(g)
		maps.DeleteFunc(g, func(holder string, _ holding) bool { return match(holder) })
		if len(g) == before {
			return removed, nil
		}
		value, err := g.encode()
		if err != nil {
			return removed, err
		}
		m.writes.Add(1)
		err = m.opts.Table.Commit(ctx, []store.Op{{Key: row.Key, Expect: row.Version, Value: value}})
		conflict, isConflict := errors.AsType[*store.ConflictError](err)
		switch {
		case err == nil:
			return true, nil
		case isConflict:
			m.conflicts.Add(1)
			row = conflict.Current
		case errors.Is(err, store.ErrUnavailable):
			return removed, err
		default:
			rows, err := m.opts.Table.Get(ctx, row.Key)
			if err != nil {
				return removed, err
			}
			row, removed = rows[0], true
		}
	}
	return removed, store.ErrUnknown
}
