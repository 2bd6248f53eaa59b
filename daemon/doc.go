// Package daemon builds the process that runs on every entry VM out of its
// parts: configuration, claims, ledger, routing, the caller side and the
// operators' API.
//
// Traffic goroutines read immutable snapshots through atomic pointers. The
// actors of this package own everything else; New connects them and Run starts
// and stops them in order.
package daemon
