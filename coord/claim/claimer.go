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
	DefaultGroupWindow     = 5 * time.Millisecond
	DefaultMaxGroup        = 128
	DefaultMaxInFlight     = 4
	DefaultSlotPatience    = 500 * time.Millisecond
	DefaultCallTimeout     = 2 * time.Second
	DefaultDispatchRoom    = 50 * time.Millisecond
	DefaultMaxOutcomeBytes = 64 << 10
	DefaultMaxBacklog      = 10_000
	DefaultMaxBacklogBytes = 16 << 20
	DefaultRetryMin        = 20 * time.Millisecond
	DefaultRetryMax        = time.Second
	// DefaultMaxDispatchAge is far below DefaultRetention, so that a claim is
	// never dispatched after the sweeper may have removed its row.
	DefaultMaxDispatchAge = time.Hour
)

// Options configures a Claimer. Zero values mean the defaults.
type Options struct {
	Table store.Table
	// Daemon names this process in the rows.
	Daemon string
	// GroupWindow is the time for which writes are collected into one
	// transaction.
	GroupWindow time.Duration
	// Ungrouped commits every write alone and at once.
	Ungrouped bool
	// MaxGroup is the largest number of writes in one transaction.
	MaxGroup int
	// MaxInFlight is the number of transactions that may be in flight. Another
	// one starts next to a slow one only after SlotPatience.
	MaxInFlight  int
	SlotPatience time.Duration
	// CallTimeout bounds the table calls of one group.
	CallTimeout time.Duration
	// DispatchRoom is the time before the deadline at which Acquire gives up,
	// because too little time is left to run the call.
	DispatchRoom time.Duration
	// MaxDispatchAge is the oldest claim that may still be dispatched.
	MaxDispatchAge time.Duration
	// MaxOutcomeBytes bounds headers and body of a stored outcome.
	MaxOutcomeBytes int
	// MaxBacklog and MaxBacklogBytes bound the writes that wait for the table.
	MaxBacklog      int
	MaxBacklogBytes int
	// RetryMin and RetryMax bound the exponential backoff.
	RetryMin, RetryMax time.Duration
	// Now is the wall clock; default time.Now without its monotonic part, which
	// would stop during a suspend.
	Now func() time.Time
	// NewAttempt returns a unique attempt id; default 128 random bits.
	NewAttempt func() string
}

func (o Options) withDefaults() Options {
	o.GroupWindow = cmp.Or(o.GroupWindow, DefaultGroupWindow)
	o.MaxGroup = cmp.Or(o.MaxGroup, DefaultMaxGroup)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	if o.Ungrouped {
		o.GroupWindow, o.MaxGroup = 0, 1
	}
	o.SlotPatience = cmp.Or(o.SlotPatience, DefaultSlotPatience)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.DispatchRoom = cmp.Or(o.DispatchRoom, DefaultDispatchRoom)
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
	o     Options
	group *grouper
	life  context.Context // ends with Run
	end   context.CancelFunc
	tasks sync.WaitGroup
	stats counters

	mu           sync.Mutex
	closing      bool
	backlog      int
	backlogBytes int
	idle         chan struct{} // closed when the backlog becomes empty
}

// New returns a Claimer. Run must be called for it to make progress.
func New(o Options) *Claimer {
	o = o.withDefaults()
	life, end := context.WithCancel(context.Background())
	return &Claimer{o: o, group: newGrouper(o), life: life, end: end}
}

// Run commits the writes of the process until ctx ends or Close is called.
func (c *Claimer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.end)
	defer stop()
	c.group.run(c.life)
	c.tasks.Wait()
	return nil
}

// Close refuses new claims, waits for the background writes until ctx ends,
// and ends Run. It returns an error when writes were left behind.
func (c *Claimer) Close(ctx context.Context) error {
	defer c.end()
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
	case <-c.life.Done():
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Acquire tries to win key. It retries while the table is unavailable until
// the deadline of ctx leaves no room for a dispatch. Its errors are
// *NotRunError and ErrFingerprintMismatch; with both, this attempt never
// dispatches.
func (c *Claimer) Acquire(ctx context.Context, key Key, f Fingerprint) (*Claim, error) {
	mine := record{
		State:       rowClaimed,
		Attempt:     c.o.NewAttempt(),
		Daemon:      c.o.Daemon,
		Fingerprint: f,
		AtMs:        c.o.Now().UnixMilli(),
	}
	if c.isClosing() {
		return nil, c.notRun(key, mine, false, ErrClosed)
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-c.o.DispatchRoom))
		defer cancel()
	}
	found, unsettled, err := c.acquire(ctx, key, mine)
	if err != nil {
		return nil, c.notRun(key, mine, unsettled, err)
	}
	return c.judge(key, mine, found)
}

func (c *Claimer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// acquire returns the record that the row holds after the attempt.
func (c *Claimer) acquire(ctx context.Context, key Key, mine record) (found record, unsettled bool, err error) {
	if ctx.Err() != nil {
		return record{}, false, context.Cause(ctx)
	}
	for wait := c.o.RetryMin; ; wait = min(2*wait, c.o.RetryMax) {
		// Written by the goroutine of the group only, and read only after the
		// result was received.
		row := new(record)
		open, err := c.group.submit(ctx, newWrite(key.row(), acquireStep(mine, row), !unsettled))
		unsettled = unsettled || open
		if err == nil {
			return *row, unsettled, nil
		}
		if !retryable(err) || !pause(ctx, wait) {
			return record{}, unsettled, err
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}

// judge turns the record in the row into the result of the attempt.
func (c *Claimer) judge(key Key, mine, found record) (*Claim, error) {
	claim := &Claim{claimer: c, key: key, mine: mine, acquired: time.UnixMilli(mine.AtMs)}
	switch {
	case found.Attempt == mine.Attempt:
		claim.state = Won
		c.stats.won.Add(1)
	case found.Fingerprint != mine.Fingerprint:
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

// notRun ends an attempt for good. A commit that may still take effect is
// fenced in the background.
func (c *Claimer) notRun(key Key, mine record, unsettled bool, cause error) error {
	c.stats.notRun.Add(1)
	if unsettled {
		c.stats.unsettled.Add(1)
		left, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.fence(left, key, mine) // counted as deferred or dropped
	}
	return &NotRunError{Key: key, Attempt: mine.Attempt, Settled: !unsettled, Cause: cause}
}

// Wait polls for the outcome of the attempt that holds key until ctx ends. It
// returns ErrReleased when the key is free again, ErrFingerprintMismatch when
// another request took it in the meantime, and ErrOutcomeUnknown otherwise.
func (c *Claimer) Wait(ctx context.Context, key Key, f Fingerprint) (Outcome, error) {
	for wait := c.o.RetryMin; ; wait = min(2*wait, c.o.RetryMax) {
		rows, err := c.o.Table.Get(ctx, key.row())
		if err == nil {
			o, settled, err := waited(rows[0], f)
			if settled {
				return o, err
			}
		}
		if !pause(ctx, wait) {
			return Outcome{}, ErrOutcomeUnknown
		}
	}
}

// waited reports whether a row ends a wait, and with which result.
func waited(row store.Row, f Fingerprint) (o Outcome, settled bool, err error) {
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
