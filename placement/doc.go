// Package placement chooses the upstream for a call. For each upstream it tracks
// the load in flight from this VM and from its peers, the prompt prefixes in the
// upstream's cache, its learned speed and its failures. Decisions depend only on
// that state and on the time passed in: the package neither uses the network nor
// reads a clock.
package placement
