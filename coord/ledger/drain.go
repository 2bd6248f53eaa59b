package ledger

import (
	"context"
	"fmt"
	"time"
)

// drainRetry is the time between attempts to flush during a drain.
const drainRetry = 200 * time.Millisecond

// LeftBehindError reports entries that a drain could neither flush nor hand
// over.
type LeftBehindError struct {
	Entries int
}

func (e *LeftBehindError) Error() string {
	return fmt.Sprintf("ledger drain left %d entries behind", e.Entries)
}

// Drain prepares a planned stop: it refuses new reservations, waits for those
// that are open, and flushes everything. When the object store stays away, it
// hands the entries over to peers shortly before the deadline of ctx. Run must
// still be running.
func (l *Ledger) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	flushing, cancel := l.flushContext(ctx)
	defer cancel()
	for {
		if l.flushAll(flushing) {
			l.release(ctx, l.alive())
			return nil
		}
		if !sleep(flushing, drainRetry) {
			break
		}
	}
	if left := l.handOver(ctx); left > 0 {
		return &LeftBehindError{Entries: left}
	}
	return nil
}

// flushContext ends early enough to hand over.
func (l *Ledger) flushContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-l.o.HandoverRoom))
	}
	return context.WithCancel(ctx)
}

// flushAll flushes own entries and the copies of owners that are gone. It
// reports whether nothing is left.
func (l *Ledger) flushAll(ctx context.Context) bool {
	if l.flush(ctx) != nil {
		return false
	}
	if l.flushHeld(ctx, l.absentOwners(l.alive())) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own.segments) == 0 && len(l.uncopied) == 0 && l.reserved == 0
}

// absentOwners returns the owners that are not among the peers now. A drain
// does not wait for the owner timeout. The copies of live owners need no
// flush: their owner has the entries and replaces this holder.
func (l *Ledger) absentOwners(alive map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var absent []string
	for owner := range l.held {
		if !alive[owner] {
			absent = append(absent, owner)
		}
	}
	return absent
}

// handOver copies what is not flushed to peers, and returns the number of
// entries that no live peer holds.
func (l *Ledger) handOver(ctx context.Context) (left int) {
	alive := l.alive()
	for owner, segments := range l.unflushed(alive) {
		for _, s := range segments {
			if l.copySegment(ctx, owner, s, alive) == 0 && !l.heldElsewhere(s, alive) {
				left += s.enc.count
			}
		}
	}
	return left
}

func (l *Ledger) unflushed(alive map[string]bool) map[string][]*segment {
	absent := l.absentOwners(alive)
	l.mu.Lock()
	l.used += l.own.seal()
	logs := map[string][]*segment{l.o.Self.ID: append([]*segment(nil), l.own.segments...)}
	l.mu.Unlock()
	for _, owner := range absent {
		logs[owner] = l.sealHeld(owner)
	}
	return logs
}

func (l *Ledger) heldElsewhere(s *segment, alive map[string]bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for peer := range s.acks {
		if alive[peer] && s.holds(peer) {
			return true
		}
	}
	return false
}
