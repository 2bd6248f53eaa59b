// Package placement chooses the upstream of a call. It keeps what each upstream
// has in flight, by this VM and by its peers, which prompt prefixes upstreams
// hold, how fast they are, and which of them fail. Decisions are pure functions
// of that state and the time passed in; the package has no network and no clock.
package placement
