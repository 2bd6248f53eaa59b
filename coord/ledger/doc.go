// Package ledger keeps one billing entry per request.
//
// The ledger is a grow-only set of entries keyed by organisation and request
// key. An entry is appended to the memory of its owner, copied to two other
// daemons before the last part of the answer is sent to the caller, and flushed
// to the object store in batches. The other daemons, its holders, keep a copy
// until the owner reports that the entry is flushed, and flush it themselves when
// the owner is gone. The same entry may therefore be stored several times. Settle
// computes the union, so each key is billed once.
//
// Batches are named by the UTC day of their entries, not by the time of the
// flush, so that all copies of an entry belong to the same day. A batch has an
// immutable name and content, which makes a repeated Put harmless.
//
// All memory (own entries, copies for others, and reservations for running
// requests) is counted against one bound in bytes.
package ledger
