// Package daemon assembles the process that runs on every entry VM:
// configuration, idempotency claims, billing ledger, routing, the proxy for
// callers and the operators' API.
//
// Goroutines that serve requests read immutable snapshots through atomic
// pointers. All other state belongs to the actors that Run starts and stops in
// order; New builds and connects them.
package daemon
