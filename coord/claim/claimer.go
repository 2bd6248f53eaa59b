package claim

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Defaults of Options.
const (
	DefaultGroupWindow         = 5 * time.Millisecond
	DefaultMaxGroup            = 128
	DefaultMaxInFlight         = 4
	DefaultSlowCommitThreshold = 500 * time.Millisecond
	DefaultCallTimeout         = 2 * time.Second
	DefaultDispatchMargin      = 50 * time.Millisecond
	DefaultMaxOutcomeBytes     = 64 << 10
	DefaultMaxBacklog          = 10_000
	DefaultMaxBacklogBytes     = 16 << 20
	DefaultRetryMin            = 20 * time.Millisecond
	DefaultRetryMax            = time.Second
	// DefaultMaxDispatchAge is far below DefaultRetention, so that a claim is
	// never dispatched after the sweeper may have removed its row.
	DefaultMaxDispatchAge = time.Hour
)

// Options configures a Claimer. Zero values mean the defaults.
type Options struct {
	Table store.Table
	// Daemon is the name of this process that is stored in the rows.
	Daemon string
	// GroupWindow is the time for which writes are collected before they are
	// committed in one transaction.
	GroupWindow time.Duration
	// Ungrouped commits each write in a transaction of its own, without a
	// GroupWindow.
	Ungrouped bool
	// MaxGroup is the largest number of writes in one transaction.
	MaxGroup int
	// MaxInFlight is the largest number of transactions in flight.
	MaxInFlight int
	// SlowCommitThreshold is the time for which a transaction waits for the one
	// in flight before it starts next to it. Twice the latency of the last commit
	// applies when that is longer.
	SlowCommitThreshold time.Duration
	// CallTimeout bounds the total time of the table calls of one group.
	CallTimeout time.Duration
	// DispatchMargin is the time before the deadline at which Acquire gives up,
	// because too little time is left to run the call.
	DispatchMargin time.Duration
	// MaxDispatchAge is the largest age of a claim at which BeginDispatch
	// succeeds.
	MaxDispatchAge time.Duration
	// MaxOutcomeBytes bounds the headers and the body of a stored outcome.
	MaxOutcomeBytes int
	// MaxBacklog bounds the number of unfinished background writes, and
	// MaxBacklogBytes the size of their outcomes.
	MaxBacklog      int
	MaxBacklogBytes int
	// RetryMin and RetryMax bound the exponential backoff.
	RetryMin, RetryMax time.Duration
	// Now returns the wall-clock time. The default is time.Now without its
	// monotonic reading, because the monotonic clock stops during a suspend.
	Now func() time.Time
	// NewAttempt returns a unique attempt id. The default has 128 random bits.
	NewAttempt func() string
}

func (o Options) withDefaults() Options {
	o.GroupWindow = cmp.Or(o.GroupWindow, DefaultGroupWindow)
	o.MaxGroup = cmp.Or(o.MaxGroup, DefaultMaxGroup)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	if o.Ungrouped {
		o.GroupWindow, o.MaxGroup = 0, 1
	}
	o.SlowCommitThreshold = cmp.Or(o.SlowCommitThreshold, DefaultSlowCommitThreshold)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.DispatchMargin = cmp.Or(o.DispatchMargin, DefaultDispatchMargin)
	o.MaxDispatchAge = cmp.Or(o.MaxDispatchAge, DefaultMaxDispatchAge)
	o.MaxOutcomeBytes = cmp.Or(o.MaxOutcomeBytes, DefaultMaxOutcomeBytes)
	o.MaxBacklog = cmp.Or(o.MaxBacklog, DefaultMaxBacklog)
	o.MaxBacklogBytes = cmp.Or(o.MaxBacklogBytes, DefaultMaxBacklogBytes)
	o.RetryMin = cmp.Or(o.RetryMin, DefaultRetryMin)
	o.RetryMax = cmp.Or(o.RetryMax, DefaultRetryMax)
	if o.Now == nil {
		o.Now = func() time.Time { return time.Now().Round(0) }
	}
	if o.NewAttempt == nil {
		o.NewAttempt = rand.Text
	}
	return o
}

// Claimer acquires claims for the calls of one process. It is safe for
// concurrent use.
type Claimer struct {
	opts      Options
	group     *grouper
	runCtx    context.Context // ends with the context of Run or when Close returns
	cancelRun context.CancelFunc
	tasks     sync.WaitGroup
	stats     counters

	mu           sync.Mutex
	closing      bool
	backlog      int
	backlogBytes int
	idle         chan struct{} // closed when the backlog is empty; nil unless Close waits
}

// New returns a Claimer. Run must be called for it to make progress.
func New(o Options) *Claimer {
	o = o.withDefaults()
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &Claimer{opts: o, group: newGrouper(o), runCtx: runCtx, cancelRun: cancelRun}
}

// Run commits the writes of the process until ctx ends or Close returns.
func (c *Claimer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.cancelRun)
	defer stop()
	c.group.run(c.runCtx)
	c.tasks.Wait()
	return nil
}

// Close refuses new claims, waits for the background writes until ctx ends,
// and ends Run. It returns an error when some writes are unfinished.
func (c *Claimer) Close(ctx context.Context) error {
	defer c.cancelRun()
	c.mu.Lock()
	c.closing = true
	if c.backlog == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-c.runCtx.Done():
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Acquire tries to claim key for a new attempt. While the table is unavailable,
// it retries until DispatchMargin before the deadline of ctx. Its errors are
// *NotRunError and ErrFingerprintMismatch; in both cases the attempt never
// dispatches its call.
func (c *Claimer) Acquire(ctx context.Context, key Key, f Fingerprint) (*Claim, error) {
	own := record{
		State:       rowClaimed,
		Attempt:     c.opts.NewAttempt(),
		Daemon:      c.opts.Daemon,
		Fingerprint: f,
		AtMs:        c.opts.Now().UnixMilli(),
	}
	if c.isClosing() {
		return nil, c.notRun(key, own, false, ErrClosed)
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-c.opts.DispatchMargin))
		defer cancel()
	}
	found, unsettled, err := c.acquire(ctx, key, own)
	if err != nil {
		return nil, c.notRun(key, own, unsettled, err)
	}
	return c.claimFromRecord(key, own, found)
}

func (c *Claimer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// acquire returns the record that the row holds after the attempt. unsettled
// reports whether a commit of the attempt may have taken effect or may still
// do so.
func (c *Claimer) acquire(ctx context.Context, key Key, own record) (found record, unsettled bool, err error) {
	if ctx.Err() != nil {
		return record{}, false, context.Cause(ctx)
	}
	for wait := c.opts.RetryMin; ; wait = min(2*wait, c.opts.RetryMax) {
		// Only the goroutine that commits the group writes row, and row is read
		// only after submit has received the result.
		row := new(record)
		mayTakeEffect, err := c.group.submit(ctx, newWrite(key.rowKey(), acquireTransition(own, row), !unsettled))
		unsettled = unsettled || mayTakeEffect
		if err == nil {
			return *row, unsettled, nil
		}
		if !retryable(err) || !sleepJittered(ctx, wait) {
			return record{}, unsettled, err
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

// claimFromRecord converts the record that was found in the row into the result
// of the attempt.
func (c *Claimer) claimFromRecord(key Key, own, found record) (*Claim, error) {
	claim := &Claim{claimer: c, key: key, own: own, acquired: time.UnixMilli(own.AtMs)}
	switch {
	case found.Attempt == own.Attempt:
		claim.state = Won
		c.stats.won.Add(1)
	case found.Fingerprint != own.Fingerprint:
		c.stats.mismatches.Add(1)
		return nil, ErrFingerprintMismatch
	case found.State == rowDone && found.Outcome != nil:
		claim.state, claim.outcome = Done, *found.Outcome
		c.stats.done.Add(1)
	default:
		claim.state = InFlight
		c.stats.inFlight.Add(1)
	}
	return claim, nil
}

// notRun ends an attempt without a claim. When a commit of the attempt may have
// taken effect or may still do so, a background write fences it.
func (c *Claimer) notRun(key Key, own record, unsettled bool, cause error) error {
	c.stats.notRun.Add(1)
	if unsettled {
		c.stats.unsettled.Add(1)
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.fence(canceled, key, own) // does not wait; counted as deferred or dropped
	}
	return &NotRunError{Key: key, Attempt: own.Attempt, Settled: !unsettled, Cause: cause}
}

// Wait polls for the outcome of the attempt that holds key until ctx ends. It
// returns ErrReleased when the key is free again, ErrFingerprintMismatch when
// another request claimed it in the meantime, and ErrOutcomeUnknown when ctx
// ends first.
func (c *Claimer) Wait(ctx context.Context, key Key, f Fingerprint) (Outcome, error) {
	for wait := c.opts.RetryMin; ; wait = min(2*wait, c.opts.RetryMax) {
		rows, err := c.opts.Table.Get(ctx, key.rowKey())
		if err == nil {
			o, settled, err := waitResult(rows[0], f)
			if settled {
				return o, err
			}
		}
		if !sleepJittered(ctx, wait) {
			return Outcome{}, ErrOutcomeUnknown
		}
	}
}

// waitResult reports whether a row ends a Wait, and returns the result of the
// Wait in that case.
func waitResult(row store.Row, f Fingerprint) (o Outcome, settled bool, err error) {
	if row.Version == 0 {
		return Outcome{}, true, ErrReleased
	}
	r, err := decode(row)
	switch {
	case err != nil:
		return Outcome{}, false, nil
	case r.State == rowReleased:
		return Outcome{}, true, ErrReleased
	case r.Fingerprint != f:
		return Outcome{}, true, ErrFingerprintMismatch
	case r.State == rowDone && r.Outcome != nil:
		return *r.Outcome, true, nil
	}
	return Outcome{}, false, nil
}
