package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Stats counts the results of a Claimer since New.
type Stats struct {
	// Won, Done and InFlight count acquisitions by the state of the claim,
	// Mismatches those that found another fingerprint under the key, and NotRun
	// those that ended with a NotRunError.
	Won, Done, InFlight, Mismatches, NotRun int64
	// Unsettled counts the attempts that ended as not run while one of their
	// commits could still take effect.
	Unsettled int64
	// Deferred counts writes that continue in the background after the context
	// of their caller has ended. Dropped counts writes that exceeded the bounds
	// of the backlog or were unfinished when the Claimer ended.
	Deferred, Dropped int64
	// RowsLost counts writes that were given up because the row is absent or
	// belongs to another attempt.
	RowsLost int64
	// Truncated counts outcomes above MaxOutcomeBytes, of which only the status
	// and the time were stored.
	Truncated int64
	// Backlog is the number of background writes that are not finished.
	Backlog int64
}

type counters struct {
	won, done, inFlight, mismatches, notRun, unsettled atomic.Int64
	deferred, dropped, rowsLost, truncated             atomic.Int64
}

// Stats returns the counters. It is safe for concurrent use.
func (c *Claimer) Stats() Stats {
	c.mu.Lock()
	backlog := c.backlog
	c.mu.Unlock()
	return Stats{
		Won: c.stats.won.Load(), Done: c.stats.done.Load(), InFlight: c.stats.inFlight.Load(),
		Mismatches: c.stats.mismatches.Load(), NotRun: c.stats.notRun.Load(), Unsettled: c.stats.unsettled.Load(),
		Deferred: c.stats.deferred.Load(), Dropped: c.stats.dropped.Load(), RowsLost: c.stats.rowsLost.Load(),
		Truncated: c.stats.truncated.Load(), Backlog: int64(backlog),
	}
}

// fence writes a tombstone for an attempt that will never dispatch, so that no
// earlier commit of the attempt can take effect.
func (c *Claimer) fence(ctx context.Context, key Key, own record) error {
	tombstone := own
	tombstone.State = rowReleased
	tombstone.AtMs = c.opts.Now().UnixMilli()
	return c.writeInBackground(ctx, key.rowKey(), releaseTransition(tombstone), 0)
}

// writeInBackground retries one write until it is in the table. It waits for the
// write until ctx ends, and then returns ErrDeferred.
func (c *Claimer) writeInBackground(ctx context.Context, row string, nextValue transition, size int) error {
	if !c.reserveBacklog(size) {
		c.stats.dropped.Add(1)
		return ErrBacklogFull
	}
	result := make(chan error, 1)
	c.tasks.Go(func() {
		defer c.releaseBacklog(size)
		result <- c.retry(row, nextValue)
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		c.stats.deferred.Add(1)
		return ErrDeferred
	}
}

// reserveBacklog adds one background write to the backlog, or returns false when
// the backlog is full.
func (c *Claimer) reserveBacklog(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backlog >= c.opts.MaxBacklog || c.backlogBytes+size > c.opts.MaxBacklogBytes {
		return false
	}
	c.backlog++
	c.backlogBytes += size
	return true
}

// releaseBacklog removes a finished background write from the backlog. It wakes
// Close when the backlog is empty.
func (c *Claimer) releaseBacklog(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlog--
	c.backlogBytes -= size
	if c.backlog == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// retry repeats a write with exponential backoff until it succeeds, the row no
// longer belongs to the attempt, or the Claimer ends.
func (c *Claimer) retry(row string, nextValue transition) error {
	for wait := c.opts.RetryMin; ; wait = min(2*wait, c.opts.RetryMax) {
		_, err := c.group.submit(c.runCtx, newWrite(row, nextValue, false))
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errRowLost):
			c.stats.rowsLost.Add(1)
			return err
		case errors.Is(err, ErrClosed) || !sleepJittered(c.runCtx, wait):
			c.stats.dropped.Add(1)
			return ErrClosed
		}
	}
}

// sleepJittered waits for a random time between d/2 and d. It returns false when
// ctx ends first.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
