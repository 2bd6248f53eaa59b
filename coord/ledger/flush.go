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

// putTries bounds the calls for one batch in one flush.
const putTries = 3

// flushLoop runs one tick per flush period.
func (l *Ledger) flushLoop(ctx context.Context) {
	for sleep(ctx, l.o.FlushPeriod) {
		l.tick(ctx)
	}
}

// tick flushes what it can. While the store is away it makes sure that every
// batch has two holders.
func (l *Ledger) tick(ctx context.Context) {
	alive := l.alive()
	if l.flush(ctx) == nil {
		_ = l.flushHeld(ctx, l.goneOwners(alive)) // counted, and retried by the next tick
	} else {
		l.recopy(ctx, alive)
	}
	l.release(ctx, alive)
}

func (l *Ledger) alive() map[string]bool {
	alive := make(map[string]bool)
	for _, p := range l.o.Peers() {
		alive[p.ID] = true
	}
	return alive
}

// flush stores the own batches in order, so that the flushed entries are
// always a prefix of the sequence. While batches wait, the open one is left to
// grow, which keeps the number of objects after an outage small.
func (l *Ledger) flush(ctx context.Context) error {
	if err := l.beginFlush(ctx); err != nil {
		return err
	}
	defer l.endFlush()
	for {
		waiting, last := l.sealedOwn()
		for _, s := range waiting {
			if err := l.put(ctx, s); err != nil {
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

// sealedOwn returns the closed own batches. When there are none, it closes the
// open one and reports that this is the last round.
func (l *Ledger) sealedOwn() (waiting []*segment, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own.segments) <= 1 {
		l.used += l.own.seal()
		last = true
	}
	for _, s := range l.own.segments {
		if s.data != nil {
			waiting = append(waiting, s)
		}
	}
	return waiting, last
}

func (l *Ledger) dropFlushed(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flushed = s.last
	l.used -= l.own.remove(s)
}

// put stores one closed batch. The name is fixed before the first call, so
// that a repeat after a lost reply is harmless.
func (l *Ledger) put(ctx context.Context, s *segment) error {
	ctx, cancel := context.WithTimeout(ctx, l.o.PutTimeout)
	defer cancel()
	var err error
	for range putTries {
		err = l.o.Objects.Put(ctx, l.nameOf(s), s.data)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrExists):
			l.stats.nameTaken.Add(1)
			l.rename(s)
		case !errors.Is(err, store.ErrUnknown):
			l.stats.flushFailures.Add(1)
			return err
		}
	}
	l.stats.flushFailures.Add(1)
	return err
}

func (l *Ledger) nameOf(s *segment) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.name == "" {
		l.sequence++
		s.name = fmt.Sprintf("%s%s/%s/%020d", objectPrefix, s.day, l.o.Self.ID, l.sequence)
	}
	return s.name
}

func (l *Ledger) rename(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.name = ""
}

// goneOwners returns the owners of held copies that have not been among the
// peers for the owner timeout.
func (l *Ledger) goneOwners(alive map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone []string
	now := time.Now()
	for owner, h := range l.held {
		switch {
		case alive[owner]:
			h.seen = now
		case now.Sub(h.seen) >= l.o.OwnerTimeout:
			gone = append(gone, owner)
		}
	}
	return gone
}

// beginFlush waits until no other flush runs or ctx ends.
func (l *Ledger) beginFlush(ctx context.Context) error {
	select {
	case l.flushes <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Ledger) endFlush() { <-l.flushes }

// flushHeld stores the copies of owners that are gone under names of its own.
func (l *Ledger) flushHeld(ctx context.Context, owners []string) error {
	if err := l.beginFlush(ctx); err != nil {
		return err
	}
	defer l.endFlush()
	for _, owner := range owners {
		for _, s := range l.sealHeld(owner) {
			if err := l.put(ctx, s); err != nil {
				return err
			}
			l.stats.flushedForOthers.Add(1)
			l.dropHeld(owner, s)
		}
	}
	return nil
}

func (l *Ledger) sealHeld(owner string) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return nil
	}
	l.used += h.seal()
	return append([]*segment(nil), h.segments...)
}

func (l *Ledger) dropHeld(owner string, s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return
	}
	l.used -= h.remove(s)
	if len(h.segments) == 0 {
		delete(l.held, owner)
	}
}

// recopy gives every own batch two holders again after a holder left.
func (l *Ledger) recopy(ctx context.Context, alive map[string]bool) {
	for _, s := range l.underCopied(alive) {
		if l.copySegment(ctx, l.o.Self.ID, s, alive) == 0 {
			return
		}
		l.stats.recopied.Add(1)
	}
}

// underCopied closes and returns the batches that too few live peers hold in
// full. The open batch counts only when a holder left or was missing, because
// the copies of its latest entries are still under way.
func (l *Ledger) underCopied(alive map[string]bool) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*segment
	for _, s := range l.own.segments {
		holders, left := 0, len(s.acks) < copies
		for peer := range s.acks {
			left = left || !alive[peer]
			if alive[peer] && s.holds(peer) {
				holders++
			}
		}
		if holders < copies && (s.data != nil || left) {
			found = append(found, s)
		}
	}
	if n := len(found); n > 0 && found[n-1].data == nil {
		l.used += l.own.seal()
	}
	return found
}

// copySegment sends a closed batch until two live peers hold it, and returns
// the number of new holders.
func (l *Ledger) copySegment(ctx context.Context, owner string, s *segment, alive map[string]bool) int {
	exclude := make(map[string]bool)
	l.mu.Lock()
	for peer := range s.acks {
		exclude[peer] = alive[peer] && s.holds(peer)
	}
	wanted := copies
	for _, full := range exclude {
		if full {
			wanted--
		}
	}
	l.mu.Unlock()
	message := copyMessage{Owner: owner, First: s.first, Batch: s.data}.encode()
	holders := l.send(ctx, message, max(0, wanted), exclude)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, holder := range holders {
		s.acks[holder] = s.enc.count
		if _, known := l.released[holder]; !known && owner == l.o.Self.ID {
			l.released[holder] = 0
		}
	}
	return len(holders)
}

// release tells the live holders how far the own entries are flushed.
func (l *Ledger) release(ctx context.Context, alive map[string]bool) {
	l.mu.Lock()
	through := l.flushed
	var behind []string
	for peer, confirmed := range l.released {
		if alive[peer] && confirmed < through {
			behind = append(behind, peer)
		}
	}
	l.mu.Unlock()
	var senders sync.WaitGroup
	for _, peer := range behind {
		senders.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, l.o.CopyTimeout)
			defer cancel()
			if l.o.Copier.ReleaseEntries(ctx, peer, l.o.Self.ID, through) == nil {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.released[peer] = max(l.released[peer], through)
			}
		})
	}
	senders.Wait()
}
