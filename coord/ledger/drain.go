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

// Drain prepares a planned stop: it refuses new reservations and copies, waits
// for the open reservations, and flushes the own entries and the copies of owners
// that are not among the peers. When this does not succeed in time, because the
// object store stays unavailable, it hands the unflushed entries over to peers
// before the deadline of ctx. Run must still be running.
func (l *Ledger) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	flushing, cancel := l.flushContext(ctx)
	defer cancel()
	for {
		if l.flushAll(flushing) {
			l.sendReleases(ctx, l.reachablePeers())
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

// flushContext returns a context that ends HandoverMargin before the deadline of
// ctx, so that enough time is left to hand entries over.
func (l *Ledger) flushContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-l.opts.HandoverMargin))
	}
	return context.WithCancel(ctx)
}

// flushAll flushes own entries and the copies of owners that are not among the
// peers. It reports whether all own entries are flushed and no reservation is
// open.
func (l *Ledger) flushAll(ctx context.Context) bool {
	if l.flush(ctx) != nil {
		return false
	}
	if l.flushHeld(ctx, l.absentOwners(l.reachablePeers())) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.own.segments) == 0 && len(l.uncopied) == 0 && l.reservedBytes == 0
}

// absentOwners returns the owners of held copies that are not among the peers at
// present, because a drain does not wait for OwnerTimeout. The copies of live
// owners need no flush: their owner has the entries and finds another holder.
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

// handOver copies the unflushed entries to peers, and returns the number of
// entries that no live peer holds.
func (l *Ledger) handOver(ctx context.Context) (left int) {
	alive := l.reachablePeers()
	for owner, segments := range l.unflushed(alive) {
		for _, s := range segments {
			if l.copySegment(ctx, owner, s, alive) == 0 && !l.heldElsewhere(s, alive) {
				left += s.enc.count
			}
		}
	}
	return left
}

// unflushed returns the closed batches with the own entries and with the copies
// of absent owners, by owner.
func (l *Ledger) unflushed(alive map[string]bool) map[string][]*segment {
	absent := l.absentOwners(alive)
	l.mu.Lock()
	l.usedBytes += l.own.seal()
	logs := map[string][]*segment{l.opts.Self.ID: append([]*segment(nil), l.own.segments...)}
	l.mu.Unlock()
	for _, owner := range absent {
		logs[owner] = l.sealHeld(owner)
	}
	return logs
}

// heldElsewhere reports whether a live peer has confirmed all entries of a batch.
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
