// Package standin is an in-memory server for the protocol of package infra:
// table, object store, list of VMs, rating service and weight store. It limits
// the rate of calls and can inject faults.
package standin
