// Package mirror keeps a local copy of a table of the platform's store. The revision of
// the copy never decreases within an era of the store: older answers, from a lagging
// store or from a peer, are ignored.
//
// A copy has an age, the time since it was last known to be current by the clock of
// the store. Answers of the store and copies of peers that are as new confirm it. Run
// calls the store when the copy becomes too old, whether or not peers read it for this
// VM.
//
// A store that is restored from an older copy begins a new era, in which it gives out
// revisions again. A mirror then reads the whole table. Rows that it knows stay in force
// instead of older ones until their writers have written again (Options.Hold).
package mirror
