// Package changelog keeps the numbered, hash-chained log of accepted changes in
// the platform's table. The log defines the total order of configuration
// changes and is their audit trail.
//
// Log appends and reads entries. Follower replays entries from any source and
// holds the highest revision that it has verified by the hash chain. A Snapshot
// stores the state at a revision in the object store, so that a new node reads
// only the entries after that revision.
package changelog
