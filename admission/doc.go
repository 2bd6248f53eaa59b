// Package admission decides under load which requests are refused, in which order engines
// serve the others, and what a call costs the streams that run beside it.
//
// The package has no network, clock or goroutine: times are arguments. Package gateway
// applies the decisions to requests, package placement those that compare upstreams.
package admission
