package changelog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"sync"
)

// defaultKeep is the number of recent changes that a Follower keeps for peers
// that lag behind.
const defaultKeep = 512

// ApplyError reports a change that is part of the chain but that Apply refuses.
// The change then has no effect on the state. All nodes skip it alike, because
// Apply is deterministic; stopping at it would isolate every node for good.
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
	// Apply is described at Options.
	Apply func(state, patch []byte) ([]byte, error)
	// SnapshotEvery is described at Options.
	SnapshotEvery int64
	// Keep is the number of recent changes kept; default 512.
	Keep int
	// Start is the revision and state to begin with; default the empty log.
	Start Snapshot
}

func (o FollowerOptions) every() int64 { return cmp.Or(o.SnapshotEvery, DefaultSnapshotEvery) }

// Rejections counts what a Follower rejected: batches of changes, unless said
// otherwise.
type Rejections struct {
	Gaps   int64 // revisions are missing
	Forged int64 // a hash or a link does not match, or the log forked
	Apply  int64 // single changes without effect, because Apply returned an error
}

// Follower holds the highest revision that can be proved by the hash chain. It
// never goes back. It is safe for concurrent use.
type Follower struct {
	apply func(state, patch []byte) ([]byte, error)
	every int64
	keep  int

	mu       sync.Mutex
	head     Head
	state    []byte // replaced, never modified in place
	recent   []Change
	due      *Snapshot
	rejected Rejections
}

// NewFollower returns a follower at o.Start.
func NewFollower(o FollowerOptions) *Follower {
	if o.Apply == nil {
		o.Apply = func(_, patch []byte) ([]byte, error) { return bytes.Clone(patch), nil }
	}
	o.SnapshotEvery = o.every()
	if o.Keep == 0 {
		o.Keep = defaultKeep
	}
	return &Follower{apply: o.Apply, every: o.SnapshotEvery, keep: o.Keep, head: o.Start.Head, state: o.Start.State}
}

// Head returns the newest proven entry.
func (f *Follower) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// State returns the newest proven entry and the state at it. The caller must
// not modify the state.
func (f *Follower) State() (Head, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head, f.state
}

// Rejected returns the rejections so far.
func (f *Follower) Rejected() Rejections {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// Since returns up to limit changes after the given revision, and false when
// they are no longer kept and must be read from the log.
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
	rest := f.recent[after-first:]
	// The clip keeps a later append from writing into the caller's slice.
	return rest[:min(limit, len(rest)):min(limit, len(rest))], true
}

// Offer extends the chain by changes from any source and returns the head. It
// ignores changes that are known already. A batch with a gap, a forged or a
// forked change has no effect and returns a *ChainError. An *ApplyError names
// the first change that Apply refused; the whole batch is taken nevertheless.
func (f *Follower) Offer(changes []Change) (Head, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh, err := f.unknown(changes)
	if err == nil {
		err = Verify(f.head, fresh)
	}
	if err == nil {
		err = f.extend(fresh)
	}
	f.count(err)
	return f.head, err
}

// unknown checks the changes at or below the head against the kept ones and
// returns the rest.
func (f *Follower) unknown(changes []Change) ([]Change, error) {
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
		if c.Revision%f.every == 0 {
			f.due = &Snapshot{Head: f.head, State: f.state}
		}
	}
	if excess := len(f.recent) - f.keep; excess > 0 {
		// A new array lets the old changes be freed and leaves slices handed
		// out by Since intact.
		f.recent = append(make([]Change, 0, f.keep), f.recent[excess:]...)
	}
	return refused
}

func firstError(first, next error) error {
	if first != nil {
		return first
	}
	return next
}

func (f *Follower) count(err error) {
	if _, broken := errors.AsType[*ChainError](err); !broken {
		return
	}
	if errors.Is(err, ErrGap) {
		f.rejected.Gaps++
		return
	}
	f.rejected.Forged++
}

// Adopt moves the follower to a later snapshot that Log.Newest or a trusted peer
// has proved. It returns false and does nothing when the snapshot is not later.
func (f *Follower) Adopt(s Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Head.Revision <= f.head.Revision {
		return false
	}
	f.head, f.state, f.recent = s.Head, s.State, nil
	return true
}

// DueSnapshot returns the newest snapshot that was not returned before. The
// caller writes it with Log.WriteSnapshot.
func (f *Follower) DueSnapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.due == nil {
		return Snapshot{}, false
	}
	s := *f.due
	f.due = nil
	return s, true
}
