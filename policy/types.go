package policy

import (
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

// Weights are the preferences of an organisation: how much it values low cost,
// low latency and low exposure to new versions. 1 is neutral.
type Weights struct {
	Cost, Latency, Exposure float64
}

// Request describes one request for a decision. All times are on the clock of
// the caller of the package.
type Request struct {
	Organisation string
	// Class groups requests that are alike, for example by service. Quality and
	// output length are learned per class.
	Class string
	// PromptTokens is the length of the prompt.
	PromptTokens float64
	// OutputTokens is the expected length of the answer. If it is 0, the
	// statistics of the class are used.
	OutputTokens float64
	// Deadline is the time at which the answer is due.
	Deadline time.Duration
	// QualityTarget is the share of good answers that the class should reach.
	QualityTarget float64
	// LatencyQuantile is the probability of meeting the deadline that a plan
	// should reach.
	LatencyQuantile float64
	Weights         Weights
	// RetryBudget is the number of retries that each request adds, on average,
	// to the retry budget of its organisation.
	RetryBudget float64
	// Priority is the priority of the organisation, 0 to 9.
	Priority int
	// Share is the weight of the organisation when capacity is short. 0 counts
	// as 1.
	Share float64
	// Versions lists the allowed versions as indices into the view. For a
	// pinned session it holds one version per model.
	Versions []int
	// Prefix identifies the shared prefix of the prompt. 0 means that there is
	// none.
	Prefix uint64
	// PrefixShare is the part of the prompt that the prefix covers.
	PrefixShare float64
	// Seed randomises the choice of upstreams; a hash of the request id is
	// suitable.
	Seed uint64
}

// PlanKind is the kind of a plan.
type PlanKind uint8

// Kinds of plans.
const (
	// OneCall streams the answer of one call to the caller as it arrives.
	OneCall PlanKind = iota
	// Cascade holds the answer back until it is rated. Next decides what
	// follows a bad rating.
	Cascade
	// EarlyCascade is a cascade whose second call starts before the rating of
	// the first answer is known. A good rating cancels the second call.
	EarlyCascade
)

// String returns the name of the kind.
func (k PlanKind) String() string {
	return [...]string{"one-call", "cascade", "early-cascade"}[k]
}

// Call is one upstream call of a plan.
type Call struct {
	// Version and Upstream are indices into the view.
	Version, Upstream int
	// StartAfter is the delay from the decision to the start of the call.
	StartAfter time.Duration
	// Expected is the predicted time from start to the whole answer.
	Expected time.Duration
}

// Plan is a decision: calls to make, delivery of the held answer if there are
// no calls, or a refusal.
type Plan struct {
	Kind PlanKind
	// Calls holds the first call and, for an early cascade, the second one.
	Calls [2]Call
	// N is the number of entries of Calls that are in use.
	N int
	// Priority is the priority to send to the engine, 0 to 9.
	Priority int
	// Quality is the predicted probability of a good answer, and Cost is the
	// predicted cost of all calls.
	Quality, Cost float64
	// OnTime is the predicted probability that the answer meets the deadline.
	OnTime float64
	// Explore is true for a plan that was chosen to improve the quality
	// estimate of its version.
	Explore bool
	// Refusal is the error kind of a refusal. It is empty if the plan is to be
	// carried out.
	Refusal errkind.Kind
}

// Refused reports whether the plan is a refusal.
func (p *Plan) Refused() bool { return p.Refusal != "" }
