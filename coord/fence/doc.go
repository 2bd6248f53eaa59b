// Package fence provides leases in the platform's table. Each acquisition of a
// lease gets a higher number, the fencing token that calls carry.
//
// The clocks of different daemons are never compared. The holder measures its
// lease on its own clock, from a reading taken before it sent the renewal.
// Another daemon measures from a reading taken after it first read the current
// version of the row, which is later than the renewal, and takes the lease over
// when the version has not changed for the whole duration. The take-over is a
// compare-and-set on that version, so a late renewal fails. The only assumption
// is that the rates of the clocks differ by less than the drift allowance.
//
// A holder checks Held right before each use. A process that is paused between
// the check and the use can still act late; upstreams that refuse old fencing
// tokens reject its calls. For upstreams that ignore the token, the new holder
// waits for the time returned by SafeAfter, which covers the lease of the earlier
// holder and its longest call in flight. The earlier holder must limit each call,
// including the time from the check until the send, to Options.MaxCall.
package fence
