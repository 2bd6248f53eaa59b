// Package mirror keeps a local copy of a table of the platform's store. The
// revision of the copy never decreases: older answers, from a lagging store or
// from a peer, are ignored.
package mirror
