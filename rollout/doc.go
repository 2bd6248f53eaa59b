// Package rollout moves the traffic of a service to a new release: few sessions
// first, all of them later, and back when the new release fails more often or
// answers more slowly than the old one. Every VM decides by the same schedule
// and by the outcomes of all VMs; the store keeps how far a rollout has come.
//
// The package has no clock and no network.
package rollout
