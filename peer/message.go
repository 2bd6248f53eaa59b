package peer

import (
	"errors"
	"fmt"
	"time"
)

// Names of the methods on the wire.
const (
	serviceName   = "Peer"
	methodSync    = serviceName + ".Sync"
	methodNotify  = serviceName + ".Notify"
	methodCopy    = serviceName + ".CopyEntries"
	methodRelease = serviceName + ".ReleaseEntries"
	methodLearned = serviceName + ".Learned"
)

const (
	// DefaultMaxMessageBytes bounds one message with its header. It exceeds
	// the largest reply to a Sync, which carries 1 MiB of changes.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxConnections bounds the connections that a Server keeps.
	DefaultMaxConnections = 1024
	// DefaultCallTimeout bounds one call, including the connection.
	DefaultCallTimeout = time.Second
	// handshakeTimeout bounds the start of a connection.
	handshakeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which no request arrives. Peers that
	// exchange messages do so every second.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds the sending of one message to a peer that does not
	// read.
	writeTimeout = 5 * time.Second
	// maxInFlight bounds the requests of one connection that are being handled.
	maxInFlight = 32
)

var (
	// ErrTooLarge reports a message above the size bound.
	ErrTooLarge = errors.New("message exceeds the size bound")
	// ErrReplayed reports a request whose number does not grow.
	ErrReplayed = errors.New("request number does not grow")
	// ErrStranger reports a peer without the cluster's token.
	ErrStranger = errors.New("peer does not prove the cluster token")
	// ErrBackoff reports a peer that is not dialled again yet.
	ErrBackoff = errors.New("waiting before the next connection attempt")
	// ErrClosed reports a call on a closed Client.
	ErrClosed = errors.New("client is closed")
	// ErrInsecure reports options with neither certificates nor a token.
	ErrInsecure = errors.New("peer connections need TLS certificates or a cluster token")
)

// CallError reports a call that did not succeed.
type CallError struct {
	To     string
	Method string
	// Remote says that the peer answered with an error, so that it is
	// reachable and has rejected the call.
	Remote bool
	Err    error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s to %s: %v", e.Method, e.To, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// CopyRequest asks a peer to keep a copy of ledger entries.
type CopyRequest struct {
	// Holder names the incarnation of the peer that is meant. A later one has
	// lost what the earlier one held, and must not confirm in its place.
	Holder  string
	Entries []byte
}

// ReleaseRequest tells a peer that the owner's entries up to a sequence number
// are stored.
type ReleaseRequest struct {
	Owner string
	UpTo  int64
}

// LearnedRequest carries what a daemon has learned about versions and
// upstreams. Losing one does no harm: the next one replaces it.
type LearnedRequest struct {
	From        string
	Incarnation int64
	Data        []byte
}

// Nothing is an empty reply.
type Nothing struct{}
