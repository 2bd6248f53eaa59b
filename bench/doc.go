// Package bench measures routing decisions in a discrete-event simulation on
// virtual time.
//
// A run takes a workload file (see examples/workloads), a load level, a fault
// and a seed, and feeds the requests to a router with one state per daemon. Each
// AvailabilityZone of the workload has two daemons. The router under test calls
// package policy; the baselines follow simple fixed rules. All randomness comes
// from the seed, and every router sees the same arrivals and the same answers for
// the same (request, model) pair.
package bench
