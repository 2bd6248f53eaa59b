// Package mirror keeps a local copy of a table of the platform's store. The
// copy never goes back to an older revision: answers that are older than what
// is known, from a lagging store or from a peer, are ignored.
package mirror
