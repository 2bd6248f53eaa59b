package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// errRowLost reports a row that no longer belongs to the attempt.
var errRowLost = errors.New("claim row belongs to another attempt")

// maxRounds bounds the number of commits that one group may need. Each conflict
// and each lost reply costs a round.
const maxRounds = 16

// slowLatencyFactor is the multiple of the last commit latency after which a
// commit counts as hanging.
const slowLatencyFactor = 2

// write is one pending change of a row.
type write struct {
	key       string
	nextValue transition
	done      chan error // receives exactly one result unless abandoned; capacity 1

	mu             sync.Mutex
	abandoned      bool
	inFlight       bool // a commit is in flight or has taken effect
	outcomeUnknown bool // the outcome of a commit is unknown

	// row is the last known state of the row, and rowKnown reports that it needs
	// no read. Both belong to the goroutine that commits the group.
	row      store.Row
	rowKnown bool
}

// newWrite returns a write that expects the row to be absent if assumeAbsent is
// set, and one that reads the row first otherwise.
func newWrite(key string, nextValue transition, assumeAbsent bool) *write {
	return &write{key: key, nextValue: nextValue, done: make(chan error, 1), row: store.Row{Key: key}, rowKnown: assumeAbsent}
}

// beginCommit marks the write as in flight. It returns false when the submitter
// has abandoned the write.
func (w *write) beginCommit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.inFlight = true
	return true
}

// endCommit records the result of a commit. After a commit that took effect, the
// write stays in flight, because its submitter may abandon it before it receives
// the result.
func (w *write) endCommit(err error, noEffect bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if noEffect {
		w.inFlight = false
	}
	w.outcomeUnknown = w.outcomeUnknown || err != nil && !noEffect
}

// abandon prevents further commits of the write. It reports whether an earlier
// commit may have taken effect or may still do so.
func (w *write) abandon() (unsettled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	return w.inFlight || w.outcomeUnknown
}

// grouper collects writes and commits them in groups of distinct keys.
type grouper struct {
	table         store.Table
	window        time.Duration
	maxGroup      int
	callTimeout   time.Duration
	slowThreshold time.Duration
	primarySlot   chan struct{} // held by one group in flight; capacity 1
	extraSlots    chan struct{} // held by groups that started next to a slow one
	wake          chan struct{} // signals pending writes; capacity 1

	mu             sync.Mutex
	pending        []*write
	stopped        bool
	lastLatency    atomic.Int64 // latency of the last successful commit, in nanoseconds
	groupsInFlight sync.WaitGroup
}

func newGrouper(o Options) *grouper {
	return &grouper{
		table:         o.Table,
		window:        o.GroupWindow,
		maxGroup:      o.MaxGroup,
		callTimeout:   o.CallTimeout,
		slowThreshold: o.SlowCommitThreshold,
		primarySlot:   make(chan struct{}, 1),
		extraSlots:    make(chan struct{}, o.MaxInFlight-1),
		wake:          make(chan struct{}, 1),
	}
}

// submit queues w and waits for its result. When ctx ends first, the write is
// abandoned. unsettled reports whether a commit with an unknown result may have
// taken effect or may still do so.
func (g *grouper) submit(ctx context.Context, w *write) (unsettled bool, err error) {
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		return w.abandon(), ErrClosed
	}
	g.pending = append(g.pending, w)
	g.mu.Unlock()
	g.signal()
	select {
	case err = <-w.done:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.outcomeUnknown, err
	case <-ctx.Done():
		return w.abandon(), context.Cause(ctx)
	}
}

func (g *grouper) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run commits groups until ctx ends. It then fails the pending writes and waits
// for the groups in flight.
func (g *grouper) run(ctx context.Context) {
	defer g.groupsInFlight.Wait()
	defer g.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if !g.waitWindow(ctx) {
			return
		}
		for g.hasPending() {
			slot := g.acquireSlot(ctx)
			if slot == nil {
				return
			}
			group := g.nextGroup()
			g.groupsInFlight.Go(func() {
				defer func() { <-slot }()
				g.commit(group)
			})
		}
	}
}

// acquireSlot waits until a group may start, and returns the slot that the group
// holds until it ends, or nil when ctx ends first. While the table is slow, one
// group is in flight and the next one grows, so that a process does not fill the
// queue of the table. After a threshold the group in flight counts as hanging, and
// another one may start next to it. The threshold grows with the commit latency,
// because the commits of a slow table take long without hanging.
func (g *grouper) acquireSlot(ctx context.Context) chan struct{} {
	slowThreshold := max(g.slowThreshold, slowLatencyFactor*time.Duration(g.lastLatency.Load()))
	timer := time.NewTimer(slowThreshold)
	defer timer.Stop()
	select {
	case g.primarySlot <- struct{}{}:
		return g.primarySlot
	case <-timer.C:
	case <-ctx.Done():
		return nil
	}
	select {
	case g.primarySlot <- struct{}{}:
		return g.primarySlot
	case g.extraSlots <- struct{}{}:
		return g.extraSlots
	case <-ctx.Done():
		return nil
	}
}

func (g *grouper) hasPending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}

// waitWindow waits for the length of the group window while writes are
// collected. It returns false when ctx ends first.
func (g *grouper) waitWindow(ctx context.Context) bool {
	if g.window == 0 {
		return true
	}
	timer := time.NewTimer(g.window)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// stop fails the pending writes and makes submit refuse further ones.
func (g *grouper) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	deliverResult(g.pending, ErrClosed)
	g.pending = nil
}

// nextGroup removes up to maxGroup writes with distinct keys from the queue. The
// versions of two operations on one key in one transaction would both be checked
// against the row as it is before the transaction, so that two attempts could
// win.
func (g *grouper) nextGroup() []*write {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool, min(len(g.pending), g.maxGroup))
	var group, rest []*write
	for _, w := range g.pending {
		if len(group) == g.maxGroup || seen[w.key] {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		group = append(group, w)
	}
	g.pending = rest
	return group
}

// commit commits one group, in several rounds if needed, until every write has a
// result.
func (g *grouper) commit(group []*write) {
	ctx, cancel := context.WithTimeout(context.Background(), g.callTimeout)
	defer cancel()
	for range maxRounds {
		if err := g.readRows(ctx, group); err != nil {
			deliverResult(group, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
			return
		}
		var ops []store.Op
		group, ops = plan(group)
		if len(group) == 0 {
			return
		}
		sent := time.Now()
		err := g.table.Commit(ctx, ops)
		if err == nil {
			g.lastLatency.Store(int64(time.Since(sent)))
		}
		group, err = applyCommitResult(group, err)
		if err != nil || len(group) == 0 {
			deliverResult(group, err)
			return
		}
	}
	deliverResult(group, store.ErrUnavailable)
}

// readRows reads all rows of the group that are not known, in one call.
func (g *grouper) readRows(ctx context.Context, group []*write) error {
	var keys []string
	var missing []*write
	for _, w := range group {
		if !w.rowKnown {
			keys = append(keys, w.key)
			missing = append(missing, w)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	rows, err := g.table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	for i, w := range missing {
		w.row, w.rowKnown = rows[i], true
	}
	return nil
}

// plan returns the writes that need a commit and their operations. It delivers
// the result of the others, and drops writes that were abandoned.
func plan(group []*write) ([]*write, []store.Op) {
	var rest []*write
	var ops []store.Op
	for _, w := range group {
		value, err := w.nextValue(w.row)
		if err != nil || value == nil {
			w.done <- err
			continue
		}
		if !w.beginCommit() {
			continue
		}
		rest = append(rest, w)
		ops = append(ops, store.Op{Key: w.key, Expect: w.row.Version, Value: value})
	}
	return rest, ops
}

// applyCommitResult applies the result of one commit and returns the writes that
// need another round.
func applyCommitResult(group []*write, err error) ([]*write, error) {
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	noEffect := isConflict || errors.Is(err, store.ErrUnavailable)
	for _, w := range group {
		w.endCommit(err, noEffect)
	}
	switch {
	case err == nil:
		deliverResult(group, nil)
		return nil, nil
	case noEffect && !isConflict:
		return group, err
	}
	// All rows but the one in the conflict are read again: one read of the whole
	// group costs less than one commit for each further conflict in it.
	for _, w := range group {
		w.rowKnown = isConflict && w.key == conflict.Key
		if w.rowKnown {
			w.row = conflict.Current
		}
	}
	return group, nil
}

// deliverResult delivers one result to every write of a group.
func deliverResult(group []*write, err error) {
	for _, w := range group {
		w.done <- err
	}
}
