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
	// Effective holds the values in force for the request.
	Effective *tree.Effective
	// Versions lists the versions that may run the request, at most one of
	// each model.
	Versions     []string
	PromptTokens int
	// MaxTokens is the caller's bound on the answer; 0 when absent.
	MaxTokens int
	// PrefixHash names the start of the prompt that other requests share, and
	// PrefixShare is its part of the prompt.
	PrefixHash  uint64
	PrefixShare float64
	Deadline    time.Time
	// Stream says that the caller reads the answer part by part.
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
	// Patience is how long to wait for a part of the answer, or for a whole one,
	// before a second call is made elsewhere; 0 means until the deadline. It
	// counts in plans with one step.
	Patience time.Duration
	// Rated says that the answer is accepted only when the rating service
	// finds it good.
	Rated bool
}

// Plan is one call, or two of which the first accepted answer wins. A plan
// without steps says that the answer at hand is to be delivered.
type Plan struct {
	// Kind names the plan in counters.
	Kind  string
	Steps []Step
	// Priority is sent to the engines.
	Priority int
}

// Progress describes a request that goes on after a call.
type Progress struct {
	// Held is the best answer at hand, which was rated as not good.
	Held *HeldAnswer
	// Tried lists the targets that have answered.
	Tried []Target
	// Failed is the target of the last call, when that call failed.
	Failed *Target
	// KeepVersion is set when parts of an answer of that version were already
	// delivered.
	KeepVersion string
	// Calls counts the calls so far.
	Calls int
}

// HeldAnswer is an answer that is kept back.
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
	// Err is nil for a whole answer.
	Err error
	// Cancelled says that the call was given up because another answer won or
	// the caller left, which says nothing about the upstream.
	Cancelled bool
}

// Router chooses versions and upstreams. Implementations are safe for
// concurrent use.
type Router interface {
	// Plan returns the calls to begin with, or an error whose kind promises
	// that the request was not run.
	Plan(RouteRequest) (Plan, error)
	// Next returns the calls that follow a failure or a bad rating.
	Next(RouteRequest, Progress) (Plan, error)
	// Usable tells whether a target takes new work at this moment; it is asked
	// again right before a request is written.
	Usable(t Target) bool
	// Started is called before a call to the target, Finished after it.
	Started(RouteRequest, Target)
	Finished(Outcome)
	// Rated reports a judgement on an answer of the target.
	Rated(r RouteRequest, t Target, good bool, delay time.Duration)
	// SampleRating tells whether an answer is to be rated for learning, after
	// it was delivered.
	SampleRating(r RouteRequest, t Target) bool
	// ServiceTarget returns an instance of a plain service that was not tried.
	ServiceTarget(service string, tried []string) (Target, error)
	// ServiceFinished reports the end of a call to a plain service.
	ServiceFinished(t Target, err error)
}

// Rater judges answers.
type Rater interface {
	Rate(ctx context.Context, j RatingRequest) (good bool, err error)
}

// RatingRequest is a question to the Rater.
type RatingRequest struct {
	RequestID string
	Model     string
	Version   string
	Class     string
	Prompt    string
	Answer    string
}

// Usage is what one answered request is billed for.
type Usage struct {
	Organisation string
	// RequestKey is the idempotency key when the caller gave one, else the
	// request id.
	RequestKey       string
	Service          string
	Model            string
	Version          string
	PromptTokens     int
	CompletionTokens int
	Cost             float64
	Time             time.Time
}

// Biller enters usage in the ledger.
type Biller interface {
	// Reserve takes room for one entry before a request runs. Its error has
	// kind LedgerFull.
	Reserve() (Reservation, error)
}

// Reservation is room for the entry of one request.
type Reservation interface {
	// Add returns when the entry is as safe as the reachable daemons allow.
	Add(ctx context.Context, u Usage) error
	// Cancel gives the room back; after Add it does nothing.
	Cancel()
}

// Limiter admits requests under the limits of an organisation.
type Limiter interface {
	// Admit returns an error of kind LimitExceeded, or a function to call with
	// the number of generated tokens when the request ends.
	Admit(e *tree.Effective, expectedTokens int) (done func(tokens int), err error)
}

// Evidence tells whether the daemon's configuration is known to be fresh.
type Evidence interface {
	// Covers reports whether a decision by the given revision may be carried
	// out: the evidence is fresh and no later revision is in force.
	Covers(revision int64) bool
}

// Halts tells which candidates are halted. A halt mark belongs to a version
// and a roll-out.
type Halts interface {
	Halted(version, rollout string) bool
}
