package ledger

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Defaults of Options.
const (
	DefaultFlushPeriod    = 5 * time.Second
	DefaultCopyTimeout    = 250 * time.Millisecond
	DefaultPutTimeout     = 2 * time.Second
	DefaultOwnerTimeout   = 15 * time.Second
	DefaultHandoverMargin = 2 * time.Second
	DefaultMaxBytes       = 128 << 20
	DefaultSegmentBytes   = 64 << 10

	copiesPerEntry      = 2   // copies of each entry on other daemons
	maxConcurrentCopies = 16  // groups that are copied at the same time
	maxCopyGroup        = 256 // entries in one group
)

var (
	// ErrFull reports that MaxBytes is reached. A request that is refused with
	// it before its dispatch has not run.
	ErrFull = errors.New("ledger full")
	// ErrDraining reports a ledger that accepts no reservations and no copies,
	// because Drain was called.
	ErrDraining = errors.New("ledger draining")
	// ErrNotCopied reports an entry that is recorded in this daemon, but whose
	// copies were not confirmed before the context of Add or Run ended.
	ErrNotCopied = errors.New("ledger entry not copied yet")
)

// Peer is another daemon.
type Peer struct {
	// ID names the daemon and its incarnation, as "<daemon>/<incarnation>".
	ID               string
	AvailabilityZone string
}

// Copier sends entries to another daemon. The peer package implements it.
type Copier interface {
	// CopyEntries calls Accept of the peer.
	CopyEntries(ctx context.Context, peer string, entries []byte) error
	// ReleaseEntries calls AcceptRelease of the peer.
	ReleaseEntries(ctx context.Context, peer, owner string, through uint64) error
}

// Options configures a Ledger. Zero values mean the defaults.
type Options struct {
	// Self is this daemon. Its ID must be new for each incarnation.
	Self    Peer
	Objects store.Objects
	Copier  Copier
	// Peers returns the other daemons that are reachable at present.
	Peers func() []Peer
	// FlushPeriod is the time between flushes.
	FlushPeriod time.Duration
	// CopyTimeout bounds one call to a peer. PutTimeout bounds all attempts to
	// store one batch.
	CopyTimeout, PutTimeout time.Duration
	// OwnerTimeout is the time after which an owner that is not among the peers
	// counts as gone, so that its holders flush its entries. If the owner is
	// still running, this costs a duplicate flush.
	OwnerTimeout time.Duration
	// HandoverMargin is the time before the deadline of Drain at which it stops
	// flushing and hands entries over to peers.
	HandoverMargin time.Duration
	// MaxBytes bounds the memory for entries, copies and reservations. The
	// growth of the open batches can exceed it by up to SegmentBytes per owner.
	MaxBytes int
	// SegmentBytes is the size at which an open batch is closed when it could
	// not be flushed before, as during an outage of the object store.
	SegmentBytes int
}

func (o Options) withDefaults() Options {
	o.FlushPeriod = cmp.Or(o.FlushPeriod, DefaultFlushPeriod)
	o.CopyTimeout = cmp.Or(o.CopyTimeout, DefaultCopyTimeout)
	o.PutTimeout = cmp.Or(o.PutTimeout, DefaultPutTimeout)
	o.OwnerTimeout = cmp.Or(o.OwnerTimeout, DefaultOwnerTimeout)
	o.HandoverMargin = cmp.Or(o.HandoverMargin, DefaultHandoverMargin)
	o.MaxBytes = cmp.Or(o.MaxBytes, DefaultMaxBytes)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, DefaultSegmentBytes)
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	return o
}

// Ledger holds the unflushed entries of one daemon and the copies that it keeps
// for other daemons. It is safe for concurrent use.
type Ledger struct {
	opts           Options
	stats          counters
	wake           chan struct{} // capacity 1; signals uncopied entries
	stopped        chan struct{} // closed when Run ends
	copiesInFlight sync.WaitGroup
	copySlots      chan struct{} // one element per group that is being copied
	flushLock      chan struct{} // capacity 1; held by a flush, so that batches are stored in order

	mu                sync.Mutex
	draining          bool
	lastEntryNumber   uint64 // number of the last own entry
	flushedThrough    uint64 // number of the last flushed own entry
	lastBatchNumber   uint64 // number in the name of the last batch
	own               entryLog
	held              map[string]*heldLog // by owner
	reservedBytes     int                 // memory of the open reservations
	usedBytes         int                 // memory of all logs
	uncopied          []*pending          // own entries that no copy message contains yet
	confirmedReleases map[string]uint64   // holder -> number up to which it confirmed a release
}

// pending is an entry that waits for its copies.
type pending struct {
	number uint64
	entry  Entry
	done   chan struct{} // closed when the copies are confirmed or were given up
}

// New returns a Ledger. Run must be called for it to make progress.
func New(o Options) *Ledger {
	return &Ledger{
		opts:              o.withDefaults(),
		wake:              make(chan struct{}, 1),
		stopped:           make(chan struct{}),
		flushLock:         make(chan struct{}, 1),
		copySlots:         make(chan struct{}, maxConcurrentCopies),
		held:              make(map[string]*heldLog),
		confirmedReleases: make(map[string]uint64),
	}
}

// Run copies and flushes entries until ctx ends. Call it once, and call Drain
// before ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.stopped)
	var loops sync.WaitGroup
	loops.Go(func() { l.copyLoop(ctx) })
	loops.Go(func() { l.flushLoop(ctx) })
	loops.Wait()
	l.copiesInFlight.Wait()
	return nil
}

// Reservation is memory that is reserved for the entry of one running request.
type Reservation struct {
	l    *Ledger
	done atomic.Bool
}

// Reserve reserves memory for one entry. Call it before the request starts, so
// that a request that ran can always be recorded.
func (l *Ledger) Reserve() (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, ErrDraining
	}
	if l.usedBytes+l.reservedBytes+maxEntryBytes > l.opts.MaxBytes {
		l.stats.refused.Add(1)
		return nil, ErrFull
	}
	l.reservedBytes += maxEntryBytes
	return &Reservation{l: l}, nil
}

// Cancel frees the reserved memory. It does nothing after Add has recorded the
// entry or after another Cancel, so it can be deferred.
func (r *Reservation) Cancel() {
	if r.done.CompareAndSwap(false, true) {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		r.l.reservedBytes -= maxEntryBytes
	}
}

// Add records the entry in the reserved memory and waits until it is copied. An
// entry with fewer copies than two is counted in Stats and is no error. The last
// part of the answer may be sent to the caller when Add returns nil. ErrNotCopied
// means that the entry is recorded, but was not copied before ctx or Run ended.
func (r *Reservation) Add(ctx context.Context, e Entry) error {
	if err := e.check(); err != nil {
		return err
	}
	p := r.l.append(r, e)
	select {
	case <-p.done:
		return nil
	case <-r.l.stopped:
		return ErrNotCopied
	case <-ctx.Done():
		return ErrNotCopied
	}
}

// Add reserves memory for an entry and records it like Reservation.Add.
func (l *Ledger) Add(ctx context.Context, e Entry) error {
	r, err := l.Reserve()
	if err != nil {
		return err
	}
	defer r.Cancel()
	return r.Add(ctx, e)
}

// append records an entry in memory and queues it for the copies. The
// reservation is replaced by the entry under one lock, so that nothing else can
// use its memory.
func (l *Ledger) append(r *Reservation, e Entry) *pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.done.CompareAndSwap(false, true) {
		l.reservedBytes -= maxEntryBytes
	}
	l.lastEntryNumber++
	l.usedBytes += l.own.add(l.lastEntryNumber, e, l.opts.SegmentBytes)
	p := &pending{number: l.lastEntryNumber, entry: e, done: make(chan struct{})}
	l.uncopied = append(l.uncopied, p)
	l.stats.entries.Add(1)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return p
}
