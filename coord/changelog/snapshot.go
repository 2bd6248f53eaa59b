package changelog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ErrSnapshotDamaged reports a snapshot that cannot be decoded or whose
// checksum, object name or chain hash does not match.
var ErrSnapshotDamaged = errors.New("snapshot is damaged")

// Snapshot is the state at one revision of the log.
type Snapshot struct {
	Head  Head
	State []byte
}

// snapshotObject is the JSON content of a snapshot object.
type snapshotObject struct {
	Head  Head   `json:"head"`
	State []byte `json:"state"`
	// Checksum is the hex SHA-256 of the head's revision and hash and the state.
	Checksum string `json:"checksum"`
}

func checksum(s Snapshot) string {
	h := sha256.New()
	writeInt(h, s.Head.Revision)
	writeString(h, s.Head.Hash)
	writeString(h, string(s.State))
	return hex.EncodeToString(h.Sum(nil))
}

// WriteSnapshot stores s. Several nodes may write the snapshot of the same
// revision: Apply is deterministic, so all of them write the same content.
func (l *Log) WriteSnapshot(ctx context.Context, s Snapshot) error {
	data, err := json.Marshal(snapshotObject{Head: s.Head, State: s.State, Checksum: checksum(s)})
	if err != nil {
		return err
	}
	return l.objects.Put(ctx, numberedKey(snapshotPrefix, s.Head.Revision), data)
}

// Load returns a follower that starts at the newest usable snapshot and has
// replayed the changes after it. Load skips damaged snapshots in favour of older
// ones, and replays the whole log when no snapshot is usable.
func (l *Log) Load(ctx context.Context) (*Follower, error) {
	start, err := l.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	o := l.followerOptions
	o.Start = start
	f := NewFollower(o)
	return f, l.CatchUp(ctx, f)
}

// CatchUp offers f all changes of the log after its head. Changes that Apply
// refuses are not an error; f counts them.
func (l *Log) CatchUp(ctx context.Context, f *Follower) error {
	for {
		changes, err := l.Changes(ctx, f.Head().Revision, pageSize)
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return nil
		}
		_, err = f.Offer(changes)
		if _, refused := errors.AsType[*ApplyError](err); err != nil && !refused {
			return err
		}
	}
}

// NewestSnapshot returns the newest usable snapshot, or the zero Snapshot when there is
// none or the object store is unavailable. A snapshot is usable when its
// checksum matches and the log has the same hash at its revision.
func (l *Log) NewestSnapshot(ctx context.Context) (Snapshot, error) {
	if l.objects == nil {
		return Snapshot{}, nil
	}
	// Recent snapshots are listed first, because the list of all snapshots grows
	// without bound. When the head cannot be read, all snapshots are listed.
	head, _ := l.Head(ctx)
	recent := snapshotPrefix
	if from := head.Revision - recentSnapshotPeriods*l.followerOptions.snapshotEvery(); from > 0 {
		recent = numberedKey(snapshotPrefix, from)
	}
	for _, after := range slices.Compact([]string{recent, snapshotPrefix}) {
		names, err := l.snapshotNames(ctx, after)
		if err != nil {
			// Load then replays the whole log, and fails only if the table is
			// unavailable as well.
			return Snapshot{}, nil
		}
		for _, name := range slices.Backward(names) {
			s, err := l.readSnapshot(ctx, name)
			if err == nil {
				return s, nil
			}
			if ctx.Err() != nil {
				return Snapshot{}, ctx.Err()
			}
		}
	}
	return Snapshot{}, nil
}

// recentSnapshotPeriods is the number of snapshot periods before the head in
// which NewestSnapshot first looks for a usable snapshot.
const recentSnapshotPeriods = 8

// snapshotNames lists the snapshot objects whose names sort after the given name.
func (l *Log) snapshotNames(ctx context.Context, after string) ([]string, error) {
	var names []string
	for {
		page, err := l.objects.List(ctx, snapshotPrefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return names, nil
		}
		names = append(names, page...)
		after = page[len(page)-1]
	}
}

func (l *Log) readSnapshot(ctx context.Context, name string) (Snapshot, error) {
	data, err := l.objects.Get(ctx, name)
	if err != nil {
		return Snapshot{}, err
	}
	s, err := decodeSnapshot(name, data)
	if err != nil {
		return Snapshot{}, err
	}
	change, err := l.changeAt(ctx, s.Head.Revision)
	if err != nil {
		return Snapshot{}, err
	}
	if change.Hash != s.Head.Hash || HashOf(change) != change.Hash {
		return Snapshot{}, fmt.Errorf("object %q: %w: hash is not in the log", name, ErrSnapshotDamaged)
	}
	return s, nil
}

func decodeSnapshot(name string, data []byte) (Snapshot, error) {
	var o snapshotObject
	if err := json.Unmarshal(data, &o); err != nil {
		return Snapshot{}, errors.Join(fmt.Errorf("object %q: %w", name, ErrSnapshotDamaged), err)
	}
	s := Snapshot{Head: o.Head, State: o.State}
	revision, err := strconv.ParseInt(strings.TrimPrefix(name, snapshotPrefix), 10, 64)
	if err != nil || revision != s.Head.Revision || checksum(s) != o.Checksum {
		return Snapshot{}, fmt.Errorf("object %q: %w", name, ErrSnapshotDamaged)
	}
	return s, nil
}
