// Package mirror keeps a local copy of a table of the platform's store. The
// revision of the copy never decreases: older answers, from a lagging store or
// from a peer, are ignored.
//
// A copy has an age, the time since it was last known to be current by the clock of
// the store. Answers of the store and copies of peers that are as new confirm it. Run
// calls the store when the copy becomes too old, whether or not peers read it for this
// VM.
package mirror
