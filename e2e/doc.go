// Package e2e runs the system as separate processes on the loopback address:
// the stand-ins, several daemons and the command-line tool, each built from
// this repository. Its tests stop, pause and kill daemons and check the
// invariants at the stand-ins and at the callers; its benchmark measures what
// one daemon adds to a call.
package e2e
