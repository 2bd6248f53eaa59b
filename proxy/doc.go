// Package proxy is the caller side of the router: the OpenAI-compatible API for
// model services, and plain services under their path prefixes.
//
// Each request reads one settings snapshot, is checked against it, gets a plan
// from a Router, and is carried out by package upstream. A model answer is
// entered in the ledger before its last part is released; a non-idempotent call
// is dispatched only by the winner of its claim. Handlers run on traffic
// goroutines, hold no lock over a call, and never touch control tables.
package proxy
