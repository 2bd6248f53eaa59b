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
	DefaultFlushPeriod  = 5 * time.Second
	DefaultCopyTimeout  = 250 * time.Millisecond
	DefaultPutTimeout   = 2 * time.Second
	DefaultOwnerTimeout = 15 * time.Second
	DefaultHandoverRoom = 2 * time.Second
	DefaultMaxBytes     = 128 << 20
	DefaultSegmentBytes = 64 << 10

	copies         = 2  // of each entry on other daemons
	maxCopyFlights = 16 // groups that are being copied at a time
	maxCopyGroup   = 256
)

var (
	// ErrFull reports that the bound on memory is reached. A request that gets
	// it before its dispatch has not run.
	ErrFull = errors.New("ledger full")
	// ErrDraining reports a ledger that takes no new requests.
	ErrDraining = errors.New("ledger draining")
	// ErrNotCopied reports an entry that is recorded in this daemon, but whose
	// copies were not confirmed before the context or Run ended.
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
	// Peers returns the other daemons that are reachable now.
	Peers func() []Peer
	// FlushPeriod is the time between flushes.
	FlushPeriod time.Duration
	// CopyTimeout bounds one call to a peer, PutTimeout one call to the object
	// store.
	CopyTimeout, PutTimeout time.Duration
	// OwnerTimeout is the time after which an owner that is no longer among the
	// peers counts as gone. A wrong guess costs a duplicate flush.
	OwnerTimeout time.Duration
	// HandoverRoom is the time before the deadline of Drain at which it stops
	// flushing and hands entries over to peers.
	HandoverRoom time.Duration
	// MaxBytes bounds the memory for entries, copies and reservations. It can be
	// exceeded by the growth of the open batches, SegmentBytes per owner.
	MaxBytes int
	// SegmentBytes is the size at which a batch is closed during an outage.
	SegmentBytes int
}

func (o Options) withDefaults() Options {
	o.FlushPeriod = cmp.Or(o.FlushPeriod, DefaultFlushPeriod)
	o.CopyTimeout = cmp.Or(o.CopyTimeout, DefaultCopyTimeout)
	o.PutTimeout = cmp.Or(o.PutTimeout, DefaultPutTimeout)
	o.OwnerTimeout = cmp.Or(o.OwnerTimeout, DefaultOwnerTimeout)
	o.HandoverRoom = cmp.Or(o.HandoverRoom, DefaultHandoverRoom)
	o.MaxBytes = cmp.Or(o.MaxBytes, DefaultMaxBytes)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, DefaultSegmentBytes)
	if o.Peers == nil {
		o.Peers = func() []Peer { return nil }
	}
	return o
}

// Ledger holds the entries of one daemon and copies for others. It is safe for
// concurrent use.
type Ledger struct {
	o       Options
	stats   counters
	wake    chan struct{} // capacity 1; signals uncopied entries
	stopped chan struct{} // closed when Run ends
	flights sync.WaitGroup
	slots   chan struct{} // one per group that is being copied
	flushes chan struct{} // capacity 1; one flush at a time, so that batches go in order

	mu       sync.Mutex
	draining bool
	number   uint64 // of the last own entry
	flushed  uint64 // last own entry of the flushed prefix
	sequence uint64 // of the last named batch
	own      entryLog
	held     map[string]*heldLog // by owner
	reserved int                 // bytes
	used     int                 // bytes of all logs
	uncopied []*pending
	released map[string]uint64 // holder -> flushed prefix that it confirmed
}

// pending is an entry that waits for its copies.
type pending struct {
	number uint64
	entry  Entry
	done   chan struct{}
}

// New returns a Ledger. Run must be called for it to make progress.
func New(o Options) *Ledger {
	return &Ledger{
		o:        o.withDefaults(),
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		flushes:  make(chan struct{}, 1),
		slots:    make(chan struct{}, maxCopyFlights),
		held:     make(map[string]*heldLog),
		released: make(map[string]uint64),
	}
}

// Run copies and flushes until ctx ends. Call Drain before. It is called once.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.stopped)
	var loops sync.WaitGroup
	loops.Go(func() { l.copyLoop(ctx) })
	loops.Go(func() { l.flushLoop(ctx) })
	loops.Wait()
	l.flights.Wait()
	return nil
}

// Reservation is room for the entry of one running request.
type Reservation struct {
	l    *Ledger
	done atomic.Bool
}

// Reserve takes room for one entry. It is called before the request starts, so
// that a request that ran can always be recorded.
func (l *Ledger) Reserve() (*Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, ErrDraining
	}
	if l.used+l.reserved+maxEntryBytes > l.o.MaxBytes {
		l.stats.refused.Add(1)
		return nil, ErrFull
	}
	l.reserved += maxEntryBytes
	return &Reservation{l: l}, nil
}

// Cancel gives the room back. It does nothing after Add or Cancel, so it can
// be deferred.
func (r *Reservation) Cancel() {
	if r.done.CompareAndSwap(false, true) {
		r.l.mu.Lock()
		defer r.l.mu.Unlock()
		r.l.reserved -= maxEntryBytes
	}
}

// Add records the entry in the reserved room and waits until its copies are
// confirmed. The last part of the answer may be released when it returns nil.
// ErrNotCopied means that the entry is recorded and is still being copied.
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

// Add reserves room and records an entry.
func (l *Ledger) Add(ctx context.Context, e Entry) error {
	r, err := l.Reserve()
	if err != nil {
		return err
	}
	defer r.Cancel()
	return r.Add(ctx, e)
}

// append records an entry in memory and queues it for the copies. The reserved
// room is exchanged for the entry under one lock, so that nothing else takes it.
func (l *Ledger) append(r *Reservation, e Entry) *pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.done.CompareAndSwap(false, true) {
		l.reserved -= maxEntryBytes
	}
	l.number++
	l.used += l.own.add(l.number, e, l.o.SegmentBytes)
	p := &pending{number: l.number, entry: e, done: make(chan struct{})}
	l.uncopied = append(l.uncopied, p)
	l.stats.entries.Add(1)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return p
}
