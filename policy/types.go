package policy

import (
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// Weights of the three measures of an organisation. 1 is neutral.
type Weights struct {
	Cost, Latency, Exposure float64
}

// Request is what a decision needs to know about one request. All times are
// on the clock of the caller of the package.
type Request struct {
	Organisation string
	// Class groups requests that are alike, for example by service. Quality and
	// output length are learned per class.
	Class string
	// PromptTokens is the length of the prompt.
	PromptTokens float64
	// OutputTokens is the expected length of the answer; 0 means that it is
	// taken from what was learned for the class.
	OutputTokens float64
	// Deadline is the moment at which the answer is due.
	Deadline time.Duration
	// QualityTarget is the wanted share of good answers of the class.
	QualityTarget float64
	// LatencyQuantile of the predicted time must fit the deadline.
	LatencyQuantile float64
	Weights         Weights
	// RetryBudget is the number of retries that each request adds, on average,
	// to what its organisation may use.
	RetryBudget float64
	// Priority of the organisation, 0 to 9.
	Priority int
	// Share is the weight of the organisation when capacity is short; 0 counts
	// as 1.
	Share float64
	// Versions lists the allowed versions as indices into the view: one per
	// model for a pinned session.
	Versions []int
	// Prefix identifies the shared start of the prompt; 0 means none.
	Prefix uint64
	// PrefixShare is the part of the prompt that the prefix covers.
	PrefixShare float64
	// Seed spreads the choice of upstreams, for example a hash of the id.
	Seed uint64
}

// PlanKind names the kinds of plans.
type PlanKind uint8

// Kinds of plans.
const (
	// OneCall passes the answer of one call on as it arrives.
	OneCall PlanKind = iota
	// Cascade holds the answer back until it is rated; Next decides what
	// follows a bad rating.
	Cascade
	// EarlyCascade is a cascade whose second call starts before the rating of
	// the first answer is known; it is cancelled on a good rating.
	EarlyCascade
)

// String returns the name of the kind.
func (k PlanKind) String() string {
	return [...]string{"one-call", "cascade", "early-cascade"}[k]
}

// Call is one call of a plan.
type Call struct {
	// Version and Upstream are indices into the view.
	Version, Upstream int
	// StartAfter is the delay from the decision to the start of the call.
	StartAfter time.Duration
	// Expected is the predicted time from start to the whole answer.
	Expected time.Duration
}

// Plan is a decision. The zero value of Refusal means that the plan is to be
// carried out.
type Plan struct {
	Kind PlanKind
	// Calls holds the first call and, for an early cascade, the
	// second one.
	Calls [2]Call
	// N is the number of calls in use.
	N int
	// Priority to send to the engine, 0 to 9.
	Priority int
	// Quality is the predicted probability of a good answer and Cost the
	// predicted cost of all calls.
	Quality, Cost float64
	// OnTime is the predicted probability that the answer meets the deadline.
	OnTime float64
	// Explore marks a plan that was chosen to learn about its version.
	Explore bool
	// Refusal is the error kind of an early refusal: nothing has run.
	Refusal errkind.Kind
}

// Refused reports whether the request is to be refused.
func (p *Plan) Refused() bool { return p.Refusal != "" }
