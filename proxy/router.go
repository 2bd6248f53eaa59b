package proxy

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/tree"
)

// RouteRequest describes a model request to a Router.
type RouteRequest struct {
	RequestID    string
	Organisation string
	Service      string
	// Effective holds the settings in force for the request.
	Effective *tree.Effective
	// Versions lists the versions that may run the request, at most one of each
	// model.
	Versions     []string
	PromptTokens int
	// MaxTokens is the caller's limit on the generated tokens; 0 when absent.
	MaxTokens int
	// PrefixHash identifies the prefix of the prompt that other requests may
	// share. PrefixShare is the fraction of the prompt that the prefix makes up.
	PrefixHash  uint64
	PrefixShare float64
	Deadline    time.Time
	// Stream is set when the caller asked for a streamed response.
	Stream bool
}

// Target is one upstream and the version to run on it.
type Target struct {
	Upstream string
	URL      string
	Model    string
	Version  string
}

// Step is one call of a plan.
type Step struct {
	Target
	// StartAfter is the delay from the start of the plan.
	StartAfter time.Duration
	// Patience is how long to wait for the first part of a stream, or for a
	// complete response, before a hedged call is made to another upstream; 0
	// means until the deadline. It applies only to plans with one step.
	Patience time.Duration
	// Rated is set when the response is accepted only if the rating service
	// rates it as good.
	Rated bool
}

// Plan is one call, or two calls of which the first accepted response wins. A
// plan without steps means that the held response is to be delivered.
type Plan struct {
	// Kind is the name under which the plan is counted.
	Kind  string
	Steps []Step
	// Priority is sent to the engines; a higher one is served first.
	Priority int
}

// Progress describes the state of a request when the Router is asked for
// further calls.
type Progress struct {
	// Held is the response that is held back because it was rated as not good.
	Held *HeldAnswer
	// Tried lists the targets whose responses were rated as not good.
	Tried []Target
	// Failed is the target of the last call, when that call failed.
	Failed *Target
	// KeepVersion is set when parts of a response of that version were already
	// delivered.
	KeepVersion string
	// Calls counts the calls so far. A hedged stream counts as one call.
	Calls int
}

// HeldAnswer describes a response that is held back.
type HeldAnswer struct {
	Target           Target
	CompletionTokens int
}

// Outcome reports one finished call to the Router.
type Outcome struct {
	Request          RouteRequest
	Target           Target
	FirstToken       time.Duration
	Total            time.Duration
	PromptTokens     int
	CompletionTokens int
	// Err is nil for a complete response.
	Err error
	// Cancelled is set when the call failed after its context had ended: another
	// response won, the caller disconnected or the deadline passed. The error
	// then says nothing about the upstream.
	Cancelled bool
}

// Router chooses versions and upstreams. Implementations are safe for
// concurrent use.
type Router interface {
	// Plan returns the first calls to make, or an error whose kind guarantees
	// that the request was not run.
	Plan(RouteRequest) (Plan, error)
	// Next returns the calls to make after a failure or a bad rating.
	Next(RouteRequest, Progress) (Plan, error)
	// Usable reports whether a target accepts new requests. It is called again
	// immediately before a request is written.
	Usable(t Target) bool
	// Started is called before a call to the target, Finished after it.
	Started(RouteRequest, Target)
	Finished(Outcome)
	// Rated reports the rating of a response of the target and how long the
	// rating took.
	Rated(r RouteRequest, t Target, good bool, delay time.Duration)
	// SampleRating reports whether a response is to be rated after its delivery,
	// only as data for the Router.
	SampleRating(r RouteRequest, t Target) bool
	// ServiceTarget returns an instance of a plain service that is not in tried.
	ServiceTarget(service string, tried []string) (Target, error)
	// ServiceFinished reports the end of a call to a plain service.
	ServiceFinished(t Target, err error)
}

// Rater rates responses.
type Rater interface {
	Rate(ctx context.Context, r RatingRequest) (good bool, err error)
}

// RatingRequest asks a Rater whether the answer to a prompt is good.
type RatingRequest struct {
	RequestID string
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// Usage is the billing record of one request.
type Usage struct {
	Organisation string
	// RequestKey is derived from the idempotency key when the caller gave one,
	// and is the request id otherwise.
	RequestKey       string
	Service          string
	Model            string
	Version          string
	PromptTokens     int
	CompletionTokens int
	Cost             float64
	Time             time.Time
}

// Biller records usage in the ledger.
type Biller interface {
	// Reserve reserves space for one ledger entry before a request runs. It
	// fails with kind LedgerFull.
	Reserve() (Reservation, error)
}

// Reservation is the reserved space for the ledger entry of one request.
type Reservation interface {
	// Add records the usage. It returns once the entry is replicated as far as
	// the reachable daemons allow.
	Add(ctx context.Context, u Usage) error
	// Cancel frees the space; after Add it does nothing.
	Cancel()
}

// Limiter admits requests under the limits of an organisation.
type Limiter interface {
	// Admit returns an error of kind LimitExceeded, or a function to call with
	// the number of generated tokens when the request ends.
	Admit(e *tree.Effective, expectedTokens int) (done func(tokens int), err error)
}

// Evidence tells whether the configuration of this daemon is known to be fresh.
type Evidence interface {
	// Covers reports whether a decision based on the given revision may be
	// carried out: the evidence of freshness has not expired and no later
	// revision is in force.
	Covers(revision int64) bool
}

// Halts reports which candidates of rollouts are halted. A halt applies to a
// version within a rollout.
type Halts interface {
	Halted(version, rollout string) bool
}
