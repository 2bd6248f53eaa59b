// Package soak runs entry VMs as separate processes on the loopback address,
// injects faults from outside them and checks what callers and upstreams see
// against the promises of the platform. A seed fixes the plan of faults; the
// times at which the processes act on them vary from run to run.
//
// The store and the upstreams are the stand-ins of package platform/standin, in
// the process of the test. Between them, the VMs and the callers lie proxies
// that delay, reset, hold or refuse connections. What VMs say to each other
// goes over no proxy, because they announce the address at which they listen;
// pauses of processes take its place. Clocks are not stepped: the processes
// share that of the machine.
package soak
