// Package routing defines the configuration of the entry VMs: routes, services,
// organisations and limits. Compile turns a Configuration into an immutable
// Snapshot, which looks up the route of a request and the organisation of a key.
// The package depends neither on how a configuration is encoded nor on where it
// is stored.
package routing
