package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// RowPrefix starts the keys of all claim rows.
const RowPrefix = "claim/"

var (
	// ErrNotRun reports that the attempt has not dispatched its call and never
	// will.
	ErrNotRun = errors.New("not run")
	// ErrFingerprintMismatch reports an idempotency key that was used for
	// another request.
	ErrFingerprintMismatch = errors.New("idempotency key was used for another request")
	// ErrOutcomeUnknown reports a deadline that passed before the outcome of
	// the attempt in flight was known.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrReleased reports a claim that was released without a dispatch. A new
	// attempt can win the key.
	ErrReleased = errors.New("claim released")
	// ErrDispatched reports a second dispatch, or a release after a dispatch.
	ErrDispatched = errors.New("call was dispatched")
	// ErrNotWon reports an operation that only the winner of a claim may do.
	ErrNotWon = errors.New("claim not won")
	// ErrExpired reports a dispatch so late that the row may have been removed.
	ErrExpired = errors.New("claim too old to dispatch")
	// ErrDeferred reports a write that is retried in the background.
	ErrDeferred = errors.New("write deferred to the background")
	// ErrBacklogFull reports a write that was dropped because too many writes
	// are waiting for the table.
	ErrBacklogFull = errors.New("too many deferred writes")
	// ErrClosed reports a Claimer that is shutting down.
	ErrClosed = errors.New("claimer closed")
)

// Key identifies a call that must run at most once.
type Key struct {
	Organisation   string
	IdempotencyKey string
}

func (k Key) rowKey() string {
	sum := sha256.Sum256([]byte(k.IdempotencyKey))
	return RowPrefix + k.Organisation + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint is a hash of a request. It detects an idempotency key that is
// used for different requests.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. The parts are hashed with
// their lengths, so that moving bytes between them changes the result.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Outcome is the answer of a call that ran.
type Outcome struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// AtMs is the time at which the call ended, in Unix milliseconds, or 0 when
	// the winner did not set it. A repeated request can use it to record the
	// call at the same time.
	AtMs int64 `json:"at_ms,omitempty"`
	// Truncated reports an outcome above the size bound, of which only the
	// status was stored.
	Truncated bool `json:"truncated,omitempty"`
}

// size returns the number of bytes that count against the size bound.
func (o Outcome) size() int {
	n := len(o.Body)
	for name, values := range o.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// NotRunError reports an attempt that ended without a claim. It matches
// ErrNotRun. The attempt never dispatches.
type NotRunError struct {
	Key     Key
	Attempt string
	// Settled reports that no claim of this attempt exists or can take effect.
	// When it is false, a commit of the attempt may have taken effect or may
	// still do so, and a background task fences it with a tombstone.
	Settled bool
	// Cause is the last error of the table or the context.
	Cause error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("claim for organisation %q not acquired, not run (settled: %t): %v", e.Key.Organisation, e.Settled, e.Cause)
}

// Unwrap makes the error match ErrNotRun and its cause.
func (e *NotRunError) Unwrap() []error { return []error{ErrNotRun, e.Cause} }
