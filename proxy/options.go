package proxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// Bounds limits the resources that callers can occupy in the router.
type Bounds struct {
	// BodyBytes limits the size of a request body.
	BodyBytes int64
	// BodyReadTimeout limits the time to read a request body.
	BodyReadTimeout time.Duration
	// ConcurrentRequests limits the requests in flight in this daemon.
	ConcurrentRequests int64
	// OutcomeBytes limits the stored response body of a non-idempotent call.
	OutcomeBytes int64
}

// Default bounds.
const (
	DefaultBodyBytes          int64 = 4 << 20
	DefaultBodyReadTimeout          = 30 * time.Second
	DefaultConcurrentRequests int64 = 20000
	DefaultOutcomeBytes       int64 = 64 << 10
)

// Options configures a Server. All fields but Quarantine, Bounds and Log are required.
type Options struct {
	// Snapshot returns the settings in force, or nil before the first ones are
	// received.
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
	// Quarantine holds the messages that end upstreams. Default: one without peers.
	Quarantine *quarantine.Tracker
	Bounds     Bounds
	Log        *zap.Logger
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

// StoredOutcome is the response of a non-idempotent call as stored with its
// claim.
type StoredOutcome struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// At is when the call ended. Every replay is billed with this time, so that
	// all ledger entries of the key are identical.
	At time.Time `json:"at"`
	// Truncated is set when the body exceeded Bounds.OutcomeBytes and was not
	// stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Claim is the exclusive right to dispatch one non-idempotent call.
type Claim interface {
	// BeginDispatch must succeed before the call is sent. After it the claim
	// cannot be released.
	BeginDispatch() error
	// Complete stores the outcome, even if the caller has disconnected.
	Complete(StoredOutcome)
	// Release gives up the claim, so that another attempt can claim the key. The
	// call cannot be dispatched afterwards.
	Release()
}

// Claims decides which attempt may dispatch a non-idempotent call.
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

// billingTimeout bounds how long a response waits for its ledger entry.
const billingTimeout = time.Second
