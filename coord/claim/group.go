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

// patienceFactor times the usual latency is what a commit may take before it
// counts as hanging.
const patienceFactor = 2

// write is one pending change of a row.
type write struct {
	key  string
	next step
	done chan error // receives exactly one result unless abandoned; capacity 1

	mu        sync.Mutex
	abandoned bool
	flying    bool // a commit is in flight or took effect
	unknown   bool // a commit ended with an unknown outcome

	// Owned by the goroutine that commits the group.
	row   store.Row
	known bool
}

// newWrite returns a write that assumes an absent row, or one that reads the
// row first.
func newWrite(key string, next step, assumeAbsent bool) *write {
	return &write{key: key, next: next, done: make(chan error, 1), row: store.Row{Key: key}, known: assumeAbsent}
}

// start marks the write as in flight, unless its submitter has left.
func (w *write) start() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.flying = true
	return true
}

// land notes the end of a commit. A commit that took effect keeps the write
// unsettled, because its submitter may leave before it receives the result.
func (w *write) land(err error, noEffect bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if noEffect {
		w.flying = false
	}
	w.unknown = w.unknown || err != nil && !noEffect
}

// abandon makes sure that no further commit is sent. It reports whether an
// earlier commit may have taken effect or may still do so.
func (w *write) abandon() (unsettled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	return w.flying || w.unknown
}

// grouper collects writes and commits them in groups of distinct keys.
type grouper struct {
	table       store.Table
	window      time.Duration
	maxGroup    int
	callTimeout time.Duration
	patience    time.Duration
	turn        chan struct{} // held by a group in flight; capacity 1
	extra       chan struct{} // held by groups that passed a slow one
	wake        chan struct{} // capacity 1

	mu      sync.Mutex
	pending []*write
	stopped bool
	latency atomic.Int64 // of the last commit with a reply, in nanoseconds
	flights sync.WaitGroup
}

func newGrouper(o Options) *grouper {
	return &grouper{
		table:       o.Table,
		window:      o.GroupWindow,
		maxGroup:    o.MaxGroup,
		callTimeout: o.CallTimeout,
		patience:    o.SlotPatience,
		turn:        make(chan struct{}, 1),
		extra:       make(chan struct{}, o.MaxInFlight-1),
		wake:        make(chan struct{}, 1),
	}
}

// submit queues w and waits for its result. When ctx ends first, the write is
// abandoned; unsettled says whether a commit of it may still take effect.
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
		return w.unknown, err
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

// run commits groups until ctx ends, then fails what is pending and waits for
// the groups in flight.
func (g *grouper) run(ctx context.Context) {
	defer g.flights.Wait()
	defer g.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if !g.pause(ctx) {
			return
		}
		for g.waiting() {
			slot := g.slot(ctx)
			if slot == nil {
				return
			}
			group := g.take()
			g.flights.Go(func() {
				defer func() { <-slot }()
				g.commit(group)
			})
		}
	}
}

// slot waits until a group may start. While the table is slow, one group is in
// flight and the next one grows, so that a process does not fill the queue of
// the table. A group that hangs is passed after the patience, which grows with
// the latency of the table, because a slow commit does not hang.
func (g *grouper) slot(ctx context.Context) chan struct{} {
	patience := max(g.patience, patienceFactor*time.Duration(g.latency.Load()))
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case g.turn <- struct{}{}:
		return g.turn
	case <-timer.C:
	case <-ctx.Done():
		return nil
	}
	select {
	case g.turn <- struct{}{}:
		return g.turn
	case g.extra <- struct{}{}:
		return g.extra
	case <-ctx.Done():
		return nil
	}
}

func (g *grouper) waiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending) > 0
}

// pause lets a group collect for the length of the window.
func (g *grouper) pause(ctx context.Context) bool {
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

func (g *grouper) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	finish(g.pending, ErrClosed)
	g.pending = nil
}

// take removes up to maxGroup writes with distinct keys from the queue. Two
// conditions on one key in one transaction would both be checked against the
// row before the transaction, so that two attempts could win.
func (g *grouper) take() []*write {
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

// commit drives one group until every write has a result.
func (g *grouper) commit(group []*write) {
	ctx, cancel := context.WithTimeout(context.Background(), g.callTimeout)
	defer cancel()
	for range maxRounds {
		if err := g.read(ctx, group); err != nil {
			finish(group, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
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
			g.latency.Store(int64(time.Since(sent)))
		}
		group, err = settle(group, err)
		if err != nil || len(group) == 0 {
			finish(group, err)
			return
		}
	}
	finish(group, store.ErrUnavailable)
}

// read fetches the rows that are not known with one call.
func (g *grouper) read(ctx context.Context, group []*write) error {
	var keys []string
	var missing []*write
	for _, w := range group {
		if !w.known {
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
		w.row, w.known = rows[i], true
	}
	return nil
}

// plan returns the operations of the writes that still need one.
func plan(group []*write) ([]*write, []store.Op) {
	var rest []*write
	var ops []store.Op
	for _, w := range group {
		value, err := w.next(w.row)
		if err != nil || value == nil {
			w.done <- err
			continue
		}
		if !w.start() {
			continue
		}
		rest = append(rest, w)
		ops = append(ops, store.Op{Key: w.key, Expect: w.row.Version, Value: value})
	}
	return rest, ops
}

// settle applies the result of one commit and returns the writes that need
// another round.
func settle(group []*write, err error) ([]*write, error) {
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	noEffect := isConflict || errors.Is(err, store.ErrUnavailable)
	for _, w := range group {
		w.land(err, noEffect)
	}
	switch {
	case err == nil:
		finish(group, nil)
		return nil, nil
	case noEffect && !isConflict:
		return group, err
	}
	// After a conflict one read of the whole group costs less than one commit
	// for each further conflict in it.
	for _, w := range group {
		w.known = isConflict && w.key == conflict.Key
		if w.known {
			w.row = conflict.Current
		}
	}
	return group, nil
}

// finish delivers one result to every write.
func finish(group []*write, err error) {
	for _, w := range group {
		w.done <- err
	}
}
