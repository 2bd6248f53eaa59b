// Package standin serves the protocol of package infra from memory: table,
// objects, list of VMs, ratings and weights, with limits and faults.
package standin
