// Package load is an open-loop load generator for routers, engines and plain
// services on loopback addresses.
//
// Arrivals do not wait for answers. Each time is measured from the moment at
// which the request was due, not from when it was sent, so a stalled target
// cannot hide its delay (coordinated omission).
package load
