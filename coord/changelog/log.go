package changelog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Keys of the rows and names of the objects that hold the log.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	idPrefix       = "config/id/"
	snapshotPrefix = "config/snapshot/"
)

const (
	// DefaultSnapshotEvery is the default number of revisions between snapshots.
	// A new VM replays up to this many changes, which takes about 22 ms per
	// change with a tree of 3,300 upstreams.
	DefaultSnapshotEvery = 64
	// MaxPatchBytes bounds the size of Change.Patch.
	MaxPatchBytes = 1 << 20
	// MaxTextBytes bounds each of Change.ID, Change.Author and Change.Reason.
	MaxTextBytes = 4096
	// pageSize is the number of rows or object names that one call reads.
	pageSize = 256
	// maxConflictChanges bounds the changes reported in a ConflictError.
	maxConflictChanges = 256
)

// Options configures a Log.
type Options struct {
	// Table holds the log. It is required.
	Table store.Table
	// Objects holds the snapshots. When it is nil, Load reads the whole log.
	Objects store.Objects
	// Apply returns the state that results from applying patch to state. It must
	// be deterministic and must not retain or modify its arguments. By default
	// the patch replaces the state.
	Apply func(state, patch []byte) ([]byte, error)
	// SnapshotEvery is the number of revisions between snapshots; default
	// DefaultSnapshotEvery.
	SnapshotEvery int64
	// Now returns the time for changes without one; default time.Now.
	Now func() time.Time
}

// Log reads and appends changes. It holds no state of its own and is safe for
// concurrent use.
type Log struct {
	table           store.Table
	objects         store.Objects
	followerOptions FollowerOptions
	now             func() time.Time
}

// New returns the log stored in o.Table.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Log{
		table:           o.Table,
		objects:         o.Objects,
		followerOptions: FollowerOptions{Apply: o.Apply, SnapshotEvery: o.SnapshotEvery},
		now:             o.Now,
	}
}

// Head returns the newest entry, or the zero Head when the log is empty.
func (l *Log) Head(ctx context.Context) (Head, error) {
	rows, err := l.table.Get(ctx, headKey)
	if err != nil {
		return Head{}, err
	}
	return decodeHead(rows[0])
}

func decodeHead(row store.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return head, nil
}

// Changes returns up to limit changes with a revision above after. It verifies
// that they are contiguous and that their hashes match. It does not verify the
// link of the first one to its predecessor, whose hash only the caller knows.
func (l *Log) Changes(ctx context.Context, after int64, limit int) ([]Change, error) {
	var changes []Change
	for len(changes) < limit {
		next := after + int64(len(changes))
		rows, err := l.table.Scan(ctx, changePrefix, changeKey(next), min(limit-len(changes), pageSize))
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			c, err := decodeChange(row)
			if err != nil {
				return nil, err
			}
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		return nil, nil
	}
	return changes, Verify(Head{Revision: after, Hash: changes[0].Prev}, changes)
}

func (l *Log) changeAt(ctx context.Context, revision int64) (Change, error) {
	rows, err := l.table.Get(ctx, changeKey(revision))
	if err != nil {
		return Change{}, err
	}
	if rows[0].Version == 0 {
		return Change{}, &ChainError{Revision: revision, Err: ErrGap}
	}
	return decodeChange(rows[0])
}

func decodeChange(row store.Row) (Change, error) {
	var c Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Change{}, fmt.Errorf("row %q: %w", row.Key, err)
	}
	if row.Key != changeKey(c.Revision) {
		return Change{}, &ChainError{Revision: c.Revision, Err: ErrGap}
	}
	return c, nil
}

// numberedKey returns prefix followed by n with 20 digits, so that keys sort by
// number.
func numberedKey(prefix string, n int64) string { return fmt.Sprintf("%s%020d", prefix, n) }

func changeKey(revision int64) string { return numberedKey(changePrefix, revision) }

// idKey returns the key of the row that maps the id of a change to its revision.
// The key contains a digest of the id, which bounds its length and allows any
// character in the id.
func idKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return idPrefix + hex.EncodeToString(sum[:])
}

func encodeRevision(revision int64) []byte { return strconv.AppendInt(nil, revision, 10) }
