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
	// Allowed lists the versions that may run the request now.
	Allowed []string
	// Pinned is the version of the session, or "".
	Pinned       string
	PromptTokens int
	// MaxTokens is the caller's bound on the answer; 0 when absent.
	MaxTokens  int
	PrefixHash uint64
	// Arrival and Deadline bound the time that is left.
	Arrival  time.Time
	Deadline time.Time
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
	// StartAfter starts the step this long after the first one, unless an
	// answer was accepted by then. A step whose predecessors have all failed
	// or were rejected starts at once.
	StartAfter time.Duration
	// Rated says that the answer is accepted only when the rating service
	// finds it good.
	Rated bool
}

// Plan is a sequence of steps; the first accepted answer wins.
type Plan struct {
	// Kind names the plan in counters: single, cascade, early_cascade, hedge.
	Kind  string
	Steps []Step
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
	// Plan returns the calls to make, or an error whose kind promises that the
	// request was not run.
	Plan(RouteRequest) (Plan, error)
	// Alternative returns another target after failed ones. keepVersion is set
	// when a part of the answer was already delivered.
	Alternative(r RouteRequest, failed Target, tried []string, keepVersion bool) (Target, error)
	// Usable tells whether a target takes new work at this moment; it is asked
	// again right before a request is written.
	Usable(t Target) bool
	// Started is called before a call to the target, Finished after it.
	Started(RouteRequest, Target)
	Finished(Outcome)
	// Rated reports a judgement on an answer of the target.
	Rated(r RouteRequest, t Target, good bool)
	// ServiceTarget returns an instance of a plain service that was not tried.
	ServiceTarget(service string, tried []string) (Target, error)
	// ServiceFinished reports the end of a call to a plain service.
	ServiceFinished(t Target, err error)
}

// Rater judges answers.
type Rater interface {
	Rate(ctx context.Context, j Judgement) (good bool, err error)
}

// Judgement is a question to the Rater.
type Judgement struct {
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
	// Reserve returns an error of kind LedgerFull when no further entry can be
	// kept.
	Reserve() error
	// Add returns when the entry is safe, or as safe as reachable daemons allow.
	Add(ctx context.Context, u Usage) error
}

// Limiter admits requests under the limits of an organisation.
type Limiter interface {
	// Admit returns an error of kind LimitExceeded, or a function to call with
	// the number of generated tokens when the request ends.
	Admit(organisation, service string, e *tree.Effective, expectedTokens int) (done func(tokens int), err error)
}

// Evidence tells whether the daemon's configuration is known to be fresh.
type Evidence interface {
	Valid() bool
}

// Halts tells which candidates are halted. A halt mark belongs to a version
// and a roll-out.
type Halts interface {
	Halted(version, rollout string) bool
}
