package ledger

import "sync/atomic"

// Stats counts what a Ledger did since New.
type Stats struct {
	// Entries is the number of own entries.
	Entries int64
	// Refused counts reservations that met the bound on memory, CopiesRefused
	// copies for other daemons that met it.
	Refused, CopiesRefused int64
	// CopiedToOne and CopiedToNone count entries with fewer copies than two.
	// An entry without a copy is flushed at once when the store is reachable.
	CopiedToOne, CopiedToNone int64
	// Recopied counts batches that were copied again after a holder left.
	Recopied int64
	// Flushed counts own batches, FlushedForOthers those of owners that are
	// gone, FlushFailures failed calls of the object store.
	Flushed, FlushedForOthers, FlushFailures int64
	// NameTaken counts batch names that were taken by other content.
	NameTaken int64
	// Bytes is the memory in use, ReservedBytes the room of running requests.
	Bytes, ReservedBytes int
	// OwnEntries and HeldEntries are the unflushed entries in memory.
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
		Bytes: l.used, ReservedBytes: l.reserved, OwnEntries: l.own.entries(),
	}
	for _, h := range l.held {
		s.HeldEntries += h.entries()
	}
	return s
}
