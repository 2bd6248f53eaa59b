// Package fleet exchanges state between the entry VMs over net/rpc. Several times
// a second, each VM reports to its peers the calls that it has in flight, the
// prompt prefixes and sessions that its upstreams hold, and its evidence on
// rollouts. VMs that cannot reach the store get copies of the store's tables from
// their peers.
//
// VMs discover each other through the seed addresses in their settings and
// through the members that peers report. Correct responses do not depend on this
// package: without peers, a VM decides by its own state.
package fleet
