// Package workload reads workload files. A workload is a deployment with its
// arrivals, classes of requests, model versions, engines and faults. The format
// is described in examples/workloads. Package bench needs a complete file; the
// load generator and the engine stand-in need only parts of it.
package workload
