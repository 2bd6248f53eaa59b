// Package upstream is the upstream side of the router: it sends calls to model
// engines and plain services over net/http and checks their answers.
//
// # When a request counts as sent
//
// Every connection is wrapped. The first write of an attempt passes a gate that
// runs the caller's BeforeWrite check, so the check happens immediately before
// the first byte reaches the operating system. The gate also records whether an
// attempt may have reached the upstream and refuses a second transmission of
// the same attempt, which net/http would otherwise make on its own when a
// reused connection breaks. When an attempt ends without a transmission the
// gate is closed for good; the error then says "not run" and this is a promise.
//
// # Errors
//
// Errors are of package errkind. Ran is "no" when nothing was transmitted or
// when the engine refused with the header X-Ran: no under the ids of the
// attempt, "yes" when an answer fails a check, and "unknown" otherwise.
package upstream
