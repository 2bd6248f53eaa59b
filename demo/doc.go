// Package demo runs the whole system in one process on loopback addresses: the
// platform stand-in, stand-ins of engines and of a booking service, and six daemons
// in three availability zones. It sends requests through the daemons and derives its
// verdict from what the stand-ins and the callers observed, never from what the
// daemons report about themselves.
package demo
