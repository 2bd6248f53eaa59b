// Package e2e runs the system as separate processes on the loopback address: the
// stand-ins, several daemons and the command-line tool, all built from this
// repository. Its tests stop, pause and kill daemons and check invariants on what the
// stand-ins and the callers observed. Its benchmark measures the latency that one
// daemon adds to a call.
package e2e
