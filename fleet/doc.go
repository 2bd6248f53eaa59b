// Package fleet connects the entry VMs with each other over net/rpc. Each VM
// tells the others several times a second what it has in flight, which prefixes
// and sessions its upstreams hold, and what it has seen of rollouts; and hands
// over its copies of the store's tables to VMs that cannot reach the store.
//
// VMs find each other through the seeds of their settings and through the
// addresses that peers pass on. Nothing here is needed for a correct answer:
// without peers a VM decides on what it knows itself.
package fleet
