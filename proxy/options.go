package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// Bounds on what one caller can make the router hold.
type Bounds struct {
	// BodyBytes bounds a request body.
	BodyBytes int64
	// BodyReadTimeout bounds the time for reading a request body.
	BodyReadTimeout time.Duration
	// ConcurrentRequests bounds the requests in flight in this daemon.
	ConcurrentRequests int64
	// OutcomeBytes bounds the stored answer of a non-idempotent call.
	OutcomeBytes int64
}

// Default bounds.
const (
	DefaultBodyBytes          int64 = 4 << 20
	DefaultBodyReadTimeout          = 30 * time.Second
	DefaultConcurrentRequests int64 = 20000
	DefaultOutcomeBytes       int64 = 64 << 10
)

// Options configures a Server. All fields but Bounds and Log are required.
type Options struct {
	// Snapshot returns the settings in force, or nil before the first ones.
	Snapshot func() *tree.Snapshot
	Evidence Evidence
	Halts    Halts
	Router   Router
	Rater    Rater
	Upstream *upstream.Client
	Sessions Sessions
	Limiter  Limiter
	Biller   Biller
	Claims   Claims
	Bounds   Bounds
	Log      *zap.Logger
}

// SessionPin is the content of a session token.
type SessionPin struct {
	Organisation string
	Service      string
	// ID is unique per session; Name selects a session node of the tree.
	ID   string
	Name string
	// Versions has one version of each model that the session uses.
	Versions []string
}

// Sessions signs and verifies session tokens.
type Sessions interface {
	Sign(SessionPin) (string, error)
	// Verify returns an error of kind BadRequest or Forbidden.
	Verify(token, organisation string) (SessionPin, error)
}

// StoredOutcome is the answer of a non-idempotent call as it is kept with its
// claim.
type StoredOutcome struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// At is when the call ended. Every repeat is billed at this time, so that
	// all entries of the key are the same.
	At time.Time `json:"at"`
	// Truncated says that the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// Claim is the right to dispatch one non-idempotent call.
type Claim interface {
	// BeginDispatch must succeed before the call is sent; it excludes Release.
	BeginDispatch() error
	// Complete stores the outcome, also after the caller has gone.
	Complete(StoredOutcome)
	// Release gives the key back; dispatch becomes impossible.
	Release()
}

// Claims decides which attempt may run a non-idempotent call.
type Claims interface {
	// Acquire returns a claim, or the stored outcome of an earlier attempt, or
	// an error of kind ClaimUnavailable, IdempotencyMismatch or OutcomeUnknown.
	Acquire(ctx context.Context, organisation, key string, fingerprint [32]byte) (Claim, *StoredOutcome, error)
}

func (b *Bounds) setDefaults() {
	if b.BodyBytes == 0 {
		b.BodyBytes = DefaultBodyBytes
	}
	if b.BodyReadTimeout == 0 {
		b.BodyReadTimeout = DefaultBodyReadTimeout
	}
	if b.ConcurrentRequests == 0 {
		b.ConcurrentRequests = DefaultConcurrentRequests
	}
	if b.OutcomeBytes == 0 {
		b.OutcomeBytes = DefaultOutcomeBytes
	}
}

// usageGrace bounds how long an answer waits for its ledger entry.
const usageGrace = time.Second
