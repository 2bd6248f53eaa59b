package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Stats counts what a Claimer did since New.
type Stats struct {
	Won, Done, InFlight, Mismatches, NotRun int64
	// Unsettled counts the attempts that ended as not run while a commit of
	// theirs had an unknown outcome.
	Unsettled int64
	// Deferred counts writes that went on in the background, Dropped those
	// that exceeded the bound or were cut short by the end of the process.
	Deferred, Dropped int64
	// RowsLost counts writes that found the row of another attempt.
	RowsLost int64
	// Truncated counts outcomes above the size bound.
	Truncated int64
	// Backlog is the number of writes that wait for the table now.
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

// fence writes the tombstone of an attempt that will never dispatch.
func (c *Claimer) fence(ctx context.Context, key Key, mine record) error {
	tombstone := mine
	tombstone.State = rowReleased
	tombstone.AtMs = c.o.Now().UnixMilli()
	return c.settleInBackground(ctx, key.row(), releaseStep(tombstone), 0)
}

// settleInBackground retries one write until it is in the table, and waits for
// it until ctx ends.
func (c *Claimer) settleInBackground(ctx context.Context, row string, next step, size int) error {
	if !c.enter(size) {
		c.stats.dropped.Add(1)
		return ErrBacklogFull
	}
	result := make(chan error, 1)
	c.tasks.Go(func() {
		defer c.leave(size)
		result <- c.retry(row, next)
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		c.stats.deferred.Add(1)
		return ErrDeferred
	}
}

// enter admits one background write to the bounded backlog.
func (c *Claimer) enter(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backlog >= c.o.MaxBacklog || c.backlogBytes+size > c.o.MaxBacklogBytes {
		return false
	}
	c.backlog++
	c.backlogBytes += size
	return true
}

func (c *Claimer) leave(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlog--
	c.backlogBytes -= size
	if c.backlog == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// retry repeats a write until it succeeds, the row is lost, or the Claimer
// ends.
func (c *Claimer) retry(row string, next step) error {
	for wait := c.o.RetryMin; ; wait = min(2*wait, c.o.RetryMax) {
		_, err := c.group.submit(c.life, newWrite(row, next, false))
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errRowLost):
			c.stats.rowsLost.Add(1)
			return err
		case errors.Is(err, ErrClosed) || !pause(c.life, wait):
			c.stats.dropped.Add(1)
			return ErrClosed
		}
	}
}

// pause waits for a jittered duration and returns false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
