package ledger

import "sync/atomic"

// Stats counts the operations of a Ledger since New and reports its memory.
type Stats struct {
	// Entries is the number of own entries.
	Entries int64
	// Refused counts reservations that were refused because MaxBytes was
	// reached. CopiesRefused counts entries of other daemons that were refused
	// for the same reason.
	Refused, CopiesRefused int64
	// CopiedToOne and CopiedToNone count entries that got one copy or no copy.
	// An entry without a copy is flushed at once if the store is reachable.
	CopiedToOne, CopiedToNone int64
	// Recopied counts batches that were copied again because too few live peers
	// held them.
	Recopied int64
	// Flushed counts stored batches of own entries, and FlushedForOthers stored
	// batches of copies whose owner is gone. FlushFailures counts batches that
	// could not be stored in one flush.
	Flushed, FlushedForOthers, FlushFailures int64
	// NameTaken counts batch names that were taken by an object with other
	// content.
	NameTaken int64
	// Bytes is the memory of entries and copies. ReservedBytes is the memory
	// that is reserved for running requests.
	Bytes, ReservedBytes int
	// OwnEntries and HeldEntries are the numbers of unflushed own entries and of
	// copies for other daemons.
	OwnEntries, HeldEntries int
}

type counters struct {
	entries, refused, copiesRefused, copiedToOne, copiedToNone atomic.Int64
	recopied, flushed, flushedForOthers, flushFailures         atomic.Int64
	nameTaken                                                  atomic.Int64
}

// Stats returns the counters. It is safe for concurrent use.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{
		Entries: l.stats.entries.Load(), Refused: l.stats.refused.Load(), CopiesRefused: l.stats.copiesRefused.Load(),
		CopiedToOne: l.stats.copiedToOne.Load(), CopiedToNone: l.stats.copiedToNone.Load(), Recopied: l.stats.recopied.Load(),
		Flushed: l.stats.flushed.Load(), FlushedForOthers: l.stats.flushedForOthers.Load(),
		FlushFailures: l.stats.flushFailures.Load(), NameTaken: l.stats.nameTaken.Load(),
		Bytes: l.usedBytes, ReservedBytes: l.reservedBytes, OwnEntries: l.own.entries(),
	}
	for _, h := range l.held {
		s.HeldEntries += h.entries()
	}
	return s
}
