// Package fence provides leases in the platform's table with a fencing number
// that grows with every holder.
//
// No two clocks are compared. A holder measures its lease on its own clock from
// before it sent the renewal. Another daemon measures from after it first read
// the current version of the row, which is later than the renewal, and takes
// the lease over when the version has not changed for the whole duration. The
// take-over is a compare-and-set on that version, so a renewal that was late
// fails. This assumes only that clocks run at rates that differ by less than
// the drift allowance.
//
// A holder checks Held right before each use. A process that is paused between
// the check and the use can still act late; upstreams that refuse old fencing
// numbers stop it. For upstreams that ignore the number, the new holder waits
// for SafeAfter, which covers the lease of the earlier holder and its longest
// call in flight. The earlier holder must limit each call, including the time
// from the check until the send, to Options.MaxCall.
package fence
