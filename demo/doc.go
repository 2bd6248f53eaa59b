// Package demo runs the whole product in one process on loopback: the platform
// stand-in, engines, a booking service and six daemons in three availability
// zones. It sends real requests through the daemons and counts what happened at
// the stand-ins and at the caller, never from the daemons' own word.
package demo
