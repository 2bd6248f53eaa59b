// Package upstream sends calls to model engines and plain services over net/http
// and checks their responses.
//
// # When a request counts as sent
//
// Every connection is wrapped. The first write of an attempt must pass a gate
// that runs the caller's BeforeWrite check, so that the check happens immediately
// before the first byte reaches the operating system. The gate also records
// whether the attempt may have reached the upstream. It refuses a second
// transmission of the same attempt, which net/http would otherwise make on its
// own when a reused connection breaks; calls marked as repeatable are excepted.
// When an attempt ends without a transmission, the gate is closed permanently.
// The error then says "not run", which is a guarantee.
//
// # Errors
//
// Errors are of package errkind. Ran is "no" when nothing was transmitted, or
// when the engine refused with the header X-Ran: no and the ids of the attempt.
// Ran is "yes" when a response fails a check, when a stream has an error event,
// and when a stream fails after one of its parts has arrived. Otherwise it is
// "unknown".
package upstream
