// Package peer carries messages between daemons: net/rpc with gob over TCP.
//
// A connection starts with mutual TLS or, without certificates, with a proof of
// the shared cluster token by both sides. Nothing is decoded before that. Each
// message travels in a frame whose length is checked before the message is
// read, and request numbers must grow, so a recorded stream cannot be repeated.
// What is rejected is counted and reaches neither the node nor the ledger.
package peer
