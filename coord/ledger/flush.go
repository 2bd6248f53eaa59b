package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// objectPrefix starts the names of all batches.
const objectPrefix = "ledger/"

// maxPutAttempts bounds the Put calls for one batch in one flush.
const maxPutAttempts = 3

// flushLoop runs one tick per flush period.
func (l *Ledger) flushLoop(ctx context.Context) {
	for sleep(ctx, l.opts.FlushPeriod) {
		l.tick(ctx)
	}
}

// tick flushes the own entries and the copies of owners that are gone. When the
// own entries cannot be flushed, it makes sure that every own batch has two
// holders instead.
func (l *Ledger) tick(ctx context.Context) {
	alive := l.reachablePeers()
	if l.flush(ctx) == nil {
		_ = l.flushHeld(ctx, l.goneOwners(alive)) // counted, and retried by the next tick
	} else {
		l.recopy(ctx, alive)
	}
	l.sendReleases(ctx, alive)
}

func (l *Ledger) reachablePeers() map[string]bool {
	alive := make(map[string]bool)
	for _, p := range l.opts.Peers() {
		alive[p.ID] = true
	}
	return alive
}

// flush stores the own batches in order, so that the flushed entries are always
// a prefix of the sequence. While closed batches wait, the open one is left to
// grow, which keeps the number of objects after an outage small.
func (l *Ledger) flush(ctx context.Context) error {
	if err := l.beginFlush(ctx); err != nil {
		return err
	}
	defer l.endFlush()
	for {
		waiting, last := l.sealedOwn()
		for _, s := range waiting {
			if err := l.putBatch(ctx, s); err != nil {
				return err
			}
			l.stats.flushed.Add(1)
			l.dropFlushed(s)
		}
		if last {
			return nil
		}
	}
}

// sealedOwn returns the closed own batches. When there is at most one batch, it
// closes that one too and reports that this is the last round of the flush.
func (l *Ledger) sealedOwn() (waiting []*segment, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own.segments) <= 1 {
		l.usedBytes += l.own.seal()
		last = true
	}
	for _, s := range l.own.segments {
		if s.data != nil {
			waiting = append(waiting, s)
		}
	}
	return waiting, last
}

// dropFlushed removes an own batch that was stored.
func (l *Ledger) dropFlushed(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushedThrough = s.last
	l.usedBytes -= l.own.remove(s)
}

// putBatch stores one closed batch. The name is fixed before the first call, so
// that a repeat after a lost reply is harmless.
func (l *Ledger) putBatch(ctx context.Context, s *segment) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.PutTimeout)
	defer cancel()
	var err error
	for range maxPutAttempts {
		err = l.opts.Objects.Put(ctx, l.batchName(s), s.data)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrExists):
			l.stats.nameTaken.Add(1)
			l.clearName(s)
		case !errors.Is(err, store.ErrUnknown):
			l.stats.flushFailures.Add(1)
			return err
		}
	}
	l.stats.flushFailures.Add(1)
	return err
}

// batchName returns the object name of a batch, and chooses it in the first call.
func (l *Ledger) batchName(s *segment) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.name == "" {
		l.lastBatchNumber++
		s.name = fmt.Sprintf("%s%s/%s/%020d", objectPrefix, s.day, l.opts.Self.ID, l.lastBatchNumber)
	}
	return s.name
}

// clearName discards the name of a batch, so that the next attempt uses a new
// one.
func (l *Ledger) clearName(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.name = ""
}

// goneOwners returns the owners of held copies that have not been among the
// peers for OwnerTimeout.
func (l *Ledger) goneOwners(alive map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone []string
	now := time.Now()
	for owner, h := range l.held {
		switch {
		case alive[owner]:
			h.lastSeen = now
		case now.Sub(h.lastSeen) >= l.opts.OwnerTimeout:
			gone = append(gone, owner)
		}
	}
	return gone
}

// beginFlush waits until no other flush runs or ctx ends.
func (l *Ledger) beginFlush(ctx context.Context) error {
	select {
	case l.flushLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) endFlush() { <-l.flushLock }

// flushHeld stores the copies of the given owners under object names of this
// daemon.
func (l *Ledger) flushHeld(ctx context.Context, owners []string) error {
	if err := l.beginFlush(ctx); err != nil {
		return err
	}
	defer l.endFlush()
	for _, owner := range owners {
		for _, s := range l.sealHeld(owner) {
			if err := l.putBatch(ctx, s); err != nil {
				return err
			}
			l.stats.flushedForOthers.Add(1)
			l.dropHeld(owner, s)
		}
	}
	return nil
}

// sealHeld closes the open batch of the copies of one owner and returns all
// batches of these copies.
func (l *Ledger) sealHeld(owner string) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return nil
	}
	l.usedBytes += h.seal()
	return append([]*segment(nil), h.segments...)
}

// dropHeld removes a batch of copies that was stored.
func (l *Ledger) dropHeld(owner string, s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return
	}
	l.usedBytes -= h.remove(s)
	if len(h.segments) == 0 {
		delete(l.held, owner)
	}
}

// recopy copies own batches to further peers until each batch has two live
// holders again. It ends at the first batch that no further peer accepts.
func (l *Ledger) recopy(ctx context.Context, alive map[string]bool) {
	for _, s := range l.underReplicated(alive) {
		if l.copySegment(ctx, l.opts.Self.ID, s, alive) == 0 {
			return
		}
		l.stats.recopied.Add(1)
	}
}

// underReplicated closes and returns the own batches that too few live peers
// hold in full. The open batch is included only when a holder left or was never
// found, because otherwise copies of its latest entries are still in flight.
func (l *Ledger) underReplicated(alive map[string]bool) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*segment
	for _, s := range l.own.segments {
		holders, left := 0, len(s.acks) < copiesPerEntry
		for peer := range s.acks {
			left = left || !alive[peer]
			if alive[peer] && s.holds(peer) {
				holders++
			}
		}
		if holders < copiesPerEntry && (s.data != nil || left) {
			found = append(found, s)
		}
	}
	if n := len(found); n > 0 && found[n-1].data == nil {
		l.usedBytes += l.own.seal()
	}
	return found
}

// copySegment sends a closed batch to peers until two live ones hold it, and
// returns the number of new holders.
func (l *Ledger) copySegment(ctx context.Context, owner string, s *segment, alive map[string]bool) int {
	exclude := make(map[string]bool)
	l.mu.Lock()
	for peer := range s.acks {
		exclude[peer] = alive[peer] && s.holds(peer)
	}
	wanted := copiesPerEntry
	for _, full := range exclude {
		if full {
			wanted--
		}
	}
	l.mu.Unlock()
	message := copyMessage{Owner: owner, First: s.first, Batch: s.data}.encode()
	holders := l.sendCopies(ctx, message, max(0, wanted), exclude)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, holder := range holders {
		s.acks[holder] = s.enc.count
		if _, known := l.confirmedReleases[holder]; !known && owner == l.opts.Self.ID {
			l.confirmedReleases[holder] = 0
		}
	}
	return len(holders)
}

// sendReleases tells the live holders up to which number the own entries are
// flushed, so that they drop their copies.
func (l *Ledger) sendReleases(ctx context.Context, alive map[string]bool) {
	l.mu.Lock()
	through := l.flushedThrough
	var behind []string
	for peer, confirmed := range l.confirmedReleases {
		if alive[peer] && confirmed < through {
			behind = append(behind, peer)
		}
	}
	l.mu.Unlock()
	var senders sync.WaitGroup
	for _, peer := range behind {
		senders.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, l.opts.CopyTimeout)
			defer cancel()
			if l.opts.Copier.ReleaseEntries(ctx, peer, l.opts.Self.ID, through) == nil {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.confirmedReleases[peer] = max(l.confirmedReleases[peer], through)
			}
		})
	}
	senders.Wait()
}
