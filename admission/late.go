package admission

import "time"

// Request is the state of a request that is about to be called for the first time.
type Request struct {
	// Predicted is the predicted time to the first event at the upstream that can serve the
	// request soonest, and Margin the factor of Accuracy for it.
	Predicted time.Duration
	Margin    float64
	// Left is the time after which a first event is of no use: until the deadline, or until
	// the client leaves.
	Left time.Duration
	// IdleRoom is set if an upstream that may serve the request runs fewer calls of all VMs
	// than it has slots.
	IdleRoom bool
	// MayHaveRun is set if a call of the request ran or may have run, or its stream has
	// begun. Such a request must not be refused.
	MayHaveRun bool
}

// Admission is the decision whether a request is called.
type Admission struct {
	Refused bool
	// Expected is the time within which the first event is expected, and Excess by how much
	// it exceeds the time left: the time until a request like this one can be served, as far
	// as is known.
	Expected, Excess time.Duration
}

// Admit decides whether a request is called. It handles load that is beyond what the engines
// can serve: a request that waits for an engine longer than its client does takes engine
// time from those that could be served, and its client learns of it too late to go
// elsewhere.
func Admit(r Request) Admission {
	a := Admission{Expected: time.Duration(r.Margin * float64(r.Predicted))}
	a.Excess = max(0, a.Expected-r.Left)
	a.Refused = a.Excess > 0 && !r.IdleRoom && !r.MayHaveRun
	return a
}
