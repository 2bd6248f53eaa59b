package peer

import (
	"errors"
	"fmt"
	"time"
)

// Names of the RPC methods.
const (
	serviceName   = "Peer"
	methodSync    = serviceName + ".Sync"
	methodNotify  = serviceName + ".Notify"
	methodCopy    = serviceName + ".CopyEntries"
	methodRelease = serviceName + ".ReleaseEntries"
	methodLearned = serviceName + ".Learned"
)

const (
	// DefaultMaxMessageBytes bounds one message with its header. It exceeds the
	// largest reply to a Sync, which contains 1 MiB of changes.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxConnections bounds the connections that a Server keeps.
	DefaultMaxConnections = 1024
	// DefaultCallTimeout bounds one call, including the time to connect.
	DefaultCallTimeout = time.Second
	// handshakeTimeout bounds the authentication of a new connection.
	handshakeTimeout = 2 * time.Second
	// idleTimeout is how long a connection without requests is kept open. Peers
	// that exchange messages do so every second.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds the sending of one message, because a peer may have
	// stopped reading.
	writeTimeout = 5 * time.Second
	// maxInFlight bounds the requests of one connection that are handled at once.
	maxInFlight = 32
)

var (
	// ErrTooLarge reports a message above the size bound.
	ErrTooLarge = errors.New("message exceeds the size bound")
	// ErrReplayed reports a request whose number is not greater than that of
	// the previous one.
	ErrReplayed = errors.New("request number is not greater than the previous one")
	// ErrUnauthenticated reports a peer that proves neither a certificate nor
	// the token of the cluster.
	ErrUnauthenticated = errors.New("peer is not authenticated as a member of the cluster")
	// ErrBackoff reports a call during the backoff after a failed connection.
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
	// Remote is set when the peer answered with an error: it is reachable and
	// has rejected the call.
	Remote bool
	Err    error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("%s to %s: %v", e.Method, e.To, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// CopyRequest asks a peer to keep a copy of ledger entries.
type CopyRequest struct {
	// Holder identifies the incarnation of the peer that is to keep the copy. A
	// later incarnation has lost the earlier copies and must reject the request.
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
// upstreams. A lost request does no harm, because the next one replaces it.
type LearnedRequest struct {
	From        string
	Incarnation int64
	Data        []byte
}

// Nothing is an empty reply.
type Nothing struct{}
