// Package soak is a fault-injection soak test. It runs entry VMs as separate
// processes on the loopback address, injects faults from outside and checks what
// callers and upstreams observe against the guarantees of the platform. A seed
// determines the plan of faults; the times at which the processes react to them
// vary from run to run.
//
// The store and the upstreams are the stand-ins of package platform/standin, in
// the process of the test. The connections from callers to VMs and from VMs to
// the store and the upstreams go through proxies that delay, reset, hold or refuse
// them. The traffic between VMs goes through no proxy, because a VM announces the
// address on which it listens; its disruption is simulated by pausing processes.
// Clock steps are not simulated: all processes share the clock of the machine.
package soak
