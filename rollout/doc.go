// Package rollout moves the traffic of a service to a new release: first a small
// share of the sessions, later all of them. It rolls back if the new release
// fails more often or answers more slowly than the old one. Every VM applies the
// same schedule and uses the outcomes of calls on all VMs; the store holds the
// state of each rollout.
//
// The package neither reads a clock nor uses the network.
package rollout
