// Package workload reads workload files: a deployment with its arrivals, classes
// of requests, versions, engines and faults. The format is described in
// examples/workloads. The policy experiments need a complete file, load
// generator and engine stand-in only parts of it.
package workload
