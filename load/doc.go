// Package load is an open-loop load generator for routers, engines and plain
// services on loopback addresses.
//
// Arrivals do not wait for responses. Latencies are measured from the time at which
// a request was due, not from the time at which it was sent, so that a stalled
// target cannot hide its delay (coordinated omission).
package load
