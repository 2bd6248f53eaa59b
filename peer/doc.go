// Package peer carries messages between daemons: net/rpc with gob over TCP.
//
// A connection starts with mutual TLS or, without certificates, with a handshake
// in which both sides prove that they know the shared cluster token. No message
// is decoded before that. Each message is sent in a frame whose length is checked
// before the message is read, and request numbers must increase, so a recorded
// stream cannot be replayed. Rejected messages are counted and are passed neither
// to the node nor to the ledger.
package peer
