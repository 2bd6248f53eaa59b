// Package bench measures routing decisions in a discrete-event simulation on
// virtual time.
//
// A run takes a workload file (see examples/workloads), a level, a fault and a
// seed, and drives the arrivals through one router per entry daemon, with three
// zones of two daemons by default. The router under test calls package policy;
// the baselines are simple fixed rules. All randomness comes from the seed, and
// every router sees the same arrivals and the same answers for the same
// (request, model) pair.
package bench
