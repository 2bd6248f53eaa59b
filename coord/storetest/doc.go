// Package storetest provides a store wrapper that injects a fixed sequence of
// faults into the calls of one daemon: outages, lost requests, lost replies,
// commits that take effect late, and the death of the daemon before or after a
// call.
package storetest
