// Package routing holds one accepted configuration of the entry VMs: routes,
// services, organisations and limits. A Snapshot is immutable; it answers which
// route a request takes and whose key it carries. The package knows neither
// how a configuration is encoded nor where it is stored.
package routing
