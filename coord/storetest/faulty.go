package storetest

import (
	"context"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Fault is the fault injected into one call.
type Fault int

// Faults of a call. A write whose outcome is unknown to the caller returns
// store.ErrUnknown. A read treats LostRequest, LostReply and LateWrite as None.
const (
	None        Fault = iota
	Unavailable       // no effect; the call returns store.ErrUnavailable
	LostRequest       // no effect; the outcome is unknown to the caller
	LostReply         // takes effect; the outcome is unknown to the caller
	LateWrite         // takes effect after LateWriteDelay; the outcome is unknown to the caller
	CrashBefore       // the daemon crashes before the call
	CrashAfter        // the daemon crashes after the call took effect
)

// LateWriteDelay is the delay until a write with the fault LateWrite takes effect.
const LateWriteDelay = 300 * time.Millisecond

// FaultyStore gives one daemon access to the table and the object store, with faults. It
// is safe for concurrent use.
type FaultyStore struct {
	table   store.Table
	objects store.Objects

	mu          sync.Mutex
	faults      []Fault // consumed from the front, one per call
	partitioned bool
	crashed     bool
}

// NewFaultyStore returns a Node that applies the given faults to its next calls, one per
// call.
func NewFaultyStore(t store.Table, o store.Objects, faults ...Fault) *FaultyStore {
	return &FaultyStore{table: t, objects: o, faults: faults}
}

// SetPartitioned sets whether the daemon is partitioned from the platform. While it is, every
// call returns store.ErrUnavailable.
func (n *FaultyStore) SetPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// Crash crashes the daemon: every later call fails without effect.
func (n *FaultyStore) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed = true
}

// Crashed reports whether the daemon has crashed. Tests ignore what it does after
// that.
func (n *FaultyStore) Crashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

// NextFault consumes and returns the fault of the next call. It is exported for
// other fakes of the same daemon, so that a crash can happen at any of its calls.
func (n *FaultyStore) NextFault() Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashed || n.partitioned {
		return Unavailable
	}
	if len(n.faults) == 0 {
		return None
	}
	f := n.faults[0]
	n.faults = n.faults[1:]
	if f == CrashBefore {
		n.crashed = true
	}
	return f
}

// Do runs one write with the next fault.
func (n *FaultyStore) Do(call func() error) error {
	switch n.NextFault() {
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

// read runs one read with the next fault. It fails after a crash or during an
// outage.
func (n *FaultyStore) read(call func() error) error {
	switch n.NextFault() {
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

// Objects returns the object store with the faults of n.
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
