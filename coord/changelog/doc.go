// Package changelog keeps the numbered, hash-chained log of accepted changes in
// the platform's table. The log is the total order of configuration and the
// audit trail.
//
// Log appends and reads entries. Follower holds the highest revision that a
// node can prove by the hash chain, whatever the source of the entries. A
// Snapshot stores the state at a revision in the object store, so that a new
// node reads only the entries after it.
package changelog
