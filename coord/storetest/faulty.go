package storetest

import (
	"context"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Fault is what happens to one call.
type Fault int

// Faults of a call. Reads treat all but None, Unavailable and the deaths as
// None.
const (
	None        Fault = iota
	Unavailable       // no effect, and the caller knows it
	LostRequest       // no effect, and the caller does not know it
	LostReply         // takes effect, and the caller does not know it
	LateWrite         // takes effect after LateBy, and the caller does not know it
	CrashBefore       // the daemon dies before the call
	CrashAfter        // the daemon dies after the call took effect
)

// LateWriteDelay is the delay of a Late commit.
const LateWriteDelay = 300 * time.Millisecond

// FaultyStore is one daemon's access to the platform. It is safe for concurrent use.
type FaultyStore struct {
	table   store.Table
	objects store.Objects

	mu     sync.Mutex
	faults []Fault // consumed from the front, one per call
	cut    bool
	dead   bool
}

// NewFaultyStore returns the access of one daemon with the faults of its next calls.
func NewFaultyStore(t store.Table, o store.Objects, faults ...Fault) *FaultyStore {
	return &FaultyStore{table: t, objects: o, faults: faults}
}

// SetPartitioned sets whether the daemon is cut off from the platform.
func (n *FaultyStore) SetPartitioned(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Crash makes every later call fail without effect.
func (n *FaultyStore) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

// Crashed reports whether the daemon died. What it does afterwards does not count.
func (n *FaultyStore) Crashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// Next consumes the fault of the next call. Other fakes of the same daemon use
// it, so that a death can fall on any of its calls.
func (n *FaultyStore) Next() Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead || n.cut {
		return Unavailable
	}
	if len(n.faults) == 0 {
		return None
	}
	f := n.faults[0]
	n.faults = n.faults[1:]
	if f == CrashBefore {
		n.dead = true
	}
	return f
}

// Do runs one call under the next fault.
func (n *FaultyStore) Do(call func() error) error {
	switch n.Next() {
	case Unavailable, CrashBefore:
		return store.ErrUnavailable
	case LostRequest:
		return store.ErrUnknown
	case LostReply:
		if err := call(); err != nil {
			return err
		}
		return store.ErrUnknown
	case LateWrite:
		time.AfterFunc(LateWriteDelay, func() { _ = call() })
		return store.ErrUnknown
	case CrashAfter:
		_ = call()
		n.Crash()
		return store.ErrUnknown
	}
	return call()
}

// read runs one read. A death or an outage makes it fail.
func (n *FaultyStore) read(call func() error) error {
	switch n.Next() {
	case Unavailable, CrashBefore:
		return store.ErrUnavailable
	case CrashAfter:
		n.Crash()
		return store.ErrUnavailable
	}
	return call()
}

// Get implements store.Table.
func (n *FaultyStore) Get(ctx context.Context, keys ...string) (rows []store.Row, err error) {
	err = n.read(func() error { rows, err = n.table.Get(ctx, keys...); return err })
	return rows, err
}

// Scan implements store.Table.
func (n *FaultyStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []store.Row, err error) {
	err = n.read(func() error { rows, err = n.table.Scan(ctx, prefix, after, limit); return err })
	return rows, err
}

// Commit implements store.Table.
func (n *FaultyStore) Commit(ctx context.Context, ops []store.Op) error {
	return n.Do(func() error { return n.table.Commit(context.WithoutCancel(ctx), ops) })
}

// Objects returns the daemon's access to the object store.
func (n *FaultyStore) Objects() store.Objects { return nodeObjects{n} }

type nodeObjects struct{ n *FaultyStore }

func (o nodeObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.n.Do(func() error { return o.n.objects.Put(context.WithoutCancel(ctx), name, data) })
}

func (o nodeObjects) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.n.read(func() error { data, err = o.n.objects.Get(ctx, name); return err })
	return data, err
}

func (o nodeObjects) List(ctx context.Context, prefix, after string, limit int) (names []string, err error) {
	err = o.n.read(func() error { names, err = o.n.objects.List(ctx, prefix, after, limit); return err })
	return names, err
}
