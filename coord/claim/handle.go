package claim

import (
	"context"
	"sync/atomic"
	"time"
)

// State is the result of an acquisition.
type State int

const (
	// Won means that this attempt alone may dispatch the call.
	Won State = iota + 1
	// Done means that an earlier attempt ran and its outcome is stored.
	Done
	// InFlight means that another attempt holds the key and has no outcome.
	InFlight
)

func (s State) String() string {
	switch s {
	case Won:
		return "won"
	case Done:
		return "done"
	case InFlight:
		return "in flight"
	}
	return "invalid"
}

// Phases of a won claim. Dispatch and release exclude each other.
const (
	phaseWon int32 = iota
	phaseDispatched
	phaseReleased
)

// Claim is the result of Acquire. It is safe for concurrent use.
type Claim struct {
	claimer  *Claimer
	key      Key
	own      record // record of this attempt
	state    State
	outcome  Outcome
	acquired time.Time
	phase    atomic.Int32
}

// State returns the result of the acquisition.
func (c *Claim) State() State { return c.state }

// Attempt returns the id of this attempt.
func (c *Claim) Attempt() string { return c.own.Attempt }

// Outcome returns the stored outcome of a claim in state Done.
func (c *Claim) Outcome() Outcome { return c.outcome }

// BeginDispatch must succeed before the first byte of the call is sent. It
// succeeds at most once per claim and never after Release.
func (c *Claim) BeginDispatch() error {
	if c.state != Won {
		return ErrNotWon
	}
	if c.claimer.opts.Now().Sub(c.acquired) > c.claimer.opts.MaxDispatchAge {
		return ErrExpired
	}
	if c.phase.CompareAndSwap(phaseWon, phaseDispatched) {
		return nil
	}
	if c.phase.Load() == phaseReleased {
		return ErrReleased
	}
	return ErrDispatched
}

// Complete stores the outcome of a dispatched call. When ctx ends before the
// outcome is stored, it returns ErrDeferred and the write is retried in the
// background. The answer can be returned to the caller in either case.
func (c *Claim) Complete(ctx context.Context, o Outcome) error {
	if c.state != Won || c.phase.Load() != phaseDispatched {
		return ErrNotWon
	}
	if o.size() > c.claimer.opts.MaxOutcomeBytes {
		o = Outcome{Status: o.Status, AtMs: o.AtMs, Truncated: true}
		c.claimer.stats.truncated.Add(1)
	}
	done := c.own
	done.State = rowDone
	done.AtMs = c.claimer.opts.Now().UnixMilli()
	done.Outcome = &o
	return c.claimer.writeInBackground(ctx, c.key.rowKey(), completeTransition(done), o.size())
}

// Release frees the key without a dispatch. When ctx ends before the tombstone is
// written, it returns ErrDeferred and the write is retried in the background.
func (c *Claim) Release(ctx context.Context) error {
	if c.state != Won {
		return ErrNotWon
	}
	if !c.phase.CompareAndSwap(phaseWon, phaseReleased) {
		if c.phase.Load() == phaseDispatched {
			return ErrDispatched
		}
		return nil
	}
	return c.claimer.fence(ctx, c.key, c.own)
}
