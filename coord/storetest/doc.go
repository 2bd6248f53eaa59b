// Package storetest provides a wrapper of a store that injects a fixed sequence
// of faults into the calls of one daemon: outages, lost requests, lost replies,
// commits that take effect late, and a crash of the daemon before or after a
// call. It also runs a test over many generated fault schedules.
package storetest
