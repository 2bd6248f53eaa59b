// Package proxy implements the client-facing side of the router: the
// OpenAI-compatible API for model services, and plain services under their path
// prefixes.
//
// Each request is validated against one settings snapshot, gets a plan from a
// Router, and is executed through package upstream. The usage of a model
// response is recorded in the ledger before the end of the response is sent. A
// non-idempotent call is dispatched only by the attempt that holds the claim on
// its idempotency key. Handlers run on the goroutines of the HTTP server, hold no
// lock during an upstream call, and never access the control tables.
package proxy
