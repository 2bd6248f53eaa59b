package changelog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"sync"
)

// defaultKeep is the default number of recent changes that a Follower retains
// in order to serve them to peers that lag behind.
const defaultKeep = 512

// ApplyError reports a change that is part of the chain but that Apply refuses.
// Such a change has no effect on the state. Apply is deterministic, so all nodes
// skip the same changes; a node that stopped at one could never follow the log
// again.
type ApplyError struct {
	Revision int64
	Err      error
}

func (e *ApplyError) Error() string {
	return fmt.Sprintf("change log revision %d has no effect: %v", e.Revision, e.Err)
}

func (e *ApplyError) Unwrap() error { return e.Err }

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	// Apply is the same as Options.Apply.
	Apply func(state, patch []byte) ([]byte, error)
	// SnapshotEvery is the same as Options.SnapshotEvery.
	SnapshotEvery int64
	// Keep is the number of recent changes that Since can return; default 512.
	Keep int
	// Start is the snapshot at which the follower starts; default the empty log.
	Start Snapshot
}

func (o FollowerOptions) snapshotEvery() int64 { return cmp.Or(o.SnapshotEvery, DefaultSnapshotEvery) }

// Rejections counts the batches and changes that a Follower rejected.
type Rejections struct {
	Gaps   int64 // batches in which revisions are missing
	Forged int64 // batches with a wrong hash, a wrong link or a fork
	Apply  int64 // single changes that have no effect because Apply returned an error
}

// Follower holds the highest revision that it has verified by the hash chain.
// The revision never decreases. A Follower is safe for concurrent use.
type Follower struct {
	apply         func(state, patch []byte) ([]byte, error)
	snapshotEvery int64
	maxRecent     int

	mu          sync.Mutex
	head        Head
	state       []byte // replaced, never modified in place
	recent      []Change
	dueSnapshot *Snapshot
	rejected    Rejections
}

// NewFollower returns a follower at o.Start.
func NewFollower(o FollowerOptions) *Follower {
	if o.Apply == nil {
		o.Apply = func(_, patch []byte) ([]byte, error) { return bytes.Clone(patch), nil }
	}
	o.SnapshotEvery = o.snapshotEvery()
	if o.Keep == 0 {
		o.Keep = defaultKeep
	}
	return &Follower{apply: o.Apply, snapshotEvery: o.SnapshotEvery, maxRecent: o.Keep, head: o.Start.Head, state: o.Start.State}
}

// Head returns the newest verified entry.
func (f *Follower) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// State returns the newest verified entry and the state at that revision. The
// caller must not modify the state.
func (f *Follower) State() (Head, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head, f.state
}

// Rejected returns the rejections since the follower was created.
func (f *Follower) Rejected() Rejections {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// Since returns up to limit changes after the given revision. It returns false
// when the follower does not retain them and they must be read from the log.
func (f *Follower) Since(after int64, limit int) ([]Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after >= f.head.Revision {
		return nil, true
	}
	first := f.head.Revision - int64(len(f.recent))
	if after < first {
		return nil, false
	}
	newer := f.recent[after-first:]
	// The capacity is clipped, so that an append by the caller copies the slice
	// instead of sharing array elements with later appends to f.recent.
	return newer[:min(limit, len(newer)):min(limit, len(newer))], true
}

// Offer verifies changes from any source, applies them and returns the head. It
// ignores changes up to the head. A batch with a gap, a forged or a
// forked change has no effect and returns a *ChainError. When Apply refuses a
// change, Offer still accepts the whole batch and returns an *ApplyError that
// names the first refused change.
func (f *Follower) Offer(changes []Change) (Head, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh, err := f.skipKnown(changes)
	if err == nil {
		err = Verify(f.head, fresh)
	}
	if err == nil {
		err = f.extend(fresh)
	}
	f.countRejection(err)
	return f.head, err
}

// skipKnown returns the changes after the head. It returns a *ChainError with
// ErrFork when an earlier change differs from the retained one of the same
// revision.
func (f *Follower) skipKnown(changes []Change) ([]Change, error) {
	first := f.head.Revision - int64(len(f.recent))
	for i, c := range changes {
		if c.Revision > f.head.Revision {
			return changes[i:], nil
		}
		if c.Revision > first && f.recent[c.Revision-first-1].Hash != c.Hash {
			return nil, &ChainError{Revision: c.Revision, Err: ErrFork}
		}
	}
	return nil, nil
}

func (f *Follower) extend(changes []Change) error {
	var refused error
	for _, c := range changes {
		state, err := f.apply(f.state, c.Patch)
		if err == nil {
			f.state = state
		} else {
			f.rejected.Apply++
			refused = firstError(refused, &ApplyError{Revision: c.Revision, Err: err})
		}
		f.head = Head{Revision: c.Revision, Hash: c.Hash}
		f.recent = append(f.recent, c)
		if c.Revision%f.snapshotEvery == 0 {
			f.dueSnapshot = &Snapshot{Head: f.head, State: f.state}
		}
	}
	if excess := len(f.recent) - f.maxRecent; excess > 0 {
		// Copying to a new array lets the old changes be freed and does not
		// modify slices returned by Since.
		f.recent = append(make([]Change, 0, f.maxRecent), f.recent[excess:]...)
	}
	return refused
}

func firstError(first, next error) error {
	if first != nil {
		return first
	}
	return next
}

func (f *Follower) countRejection(err error) {
	if _, broken := errors.AsType[*ChainError](err); !broken {
		return
	}
	if errors.Is(err, ErrGap) {
		f.rejected.Gaps++
		return
	}
	f.rejected.Forged++
}

// Adopt moves the follower to a later snapshot, which Log.NewestSnapshot or a
// trusted peer must have verified. It returns false and does nothing when the
// snapshot is not later.
func (f *Follower) Adopt(s Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Head.Revision <= f.head.Revision {
		return false
	}
	f.head, f.state, f.recent = s.Head, s.State, nil
	return true
}

// DueSnapshot returns the newest periodic snapshot, once; it returns false when
// there is none since the last call. The caller writes the snapshot with
// Log.WriteSnapshot.
func (f *Follower) DueSnapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dueSnapshot == nil {
		return Snapshot{}, false
	}
	s := *f.dueSnapshot
	f.dueSnapshot = nil
	return s, true
}
