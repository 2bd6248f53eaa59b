package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// TickInterval is the time between two runs of the systems.
const TickInterval = 100 * time.Millisecond

// Inputs holds everything that has arrived since the last tick.
type Inputs struct {
	// Tree is the settings tree if it has changed, nil otherwise.
	Tree *tree.Tree
	// VMs is the platform's list of VMs if it was read, nil otherwise.
	VMs       []infra.VM
	Probes    []ProbeResult
	Sends     []Send
	Calls     []CallResult
	Transfers []TransferResult
	Orders    []OrderResult
	Advances  []AdvanceResult
	// Halts holds the halt marks that this daemon has learned of.
	Halts []table.Halt
	// OrderLease permits sending orders, and RolloutLease permits advancing
	// rollouts. Both describe the state at this tick.
	OrderLease   Lease
	RolloutLease Lease
	// Delegate reports whether this daemon is a delegate of its zone. Delegates
	// abort halted rollouts even without the lease.
	Delegate bool
}

// ProbeResult is the result of a Probe effect.
type ProbeResult struct {
	Upstream string
	// SentAt is when the probe was sent.
	SentAt time.Time
	Failed bool
	// Report is the load report of an engine; nil for a plain service.
	Report *upstream.LoadReport
}

// Send is a call that the daemon sent to an upstream.
type Send struct {
	Upstream string
	At       time.Time
}

// CallResult is the result of a call.
type CallResult struct {
	Upstream string
	// SentAt equals At of the Send for this call.
	SentAt time.Time
	// Failed reports whether the upstream was unreachable or broke the
	// connection. A reply that reports an error is not a failure here, because
	// the rollout guard evaluates errors of versions.
	Failed bool
	// Leaving reports whether the upstream refused the call because it is
	// leaving.
	Leaving bool
}

// Lease is the state of a lease with a fencing token. All times are on this
// daemon's clock.
type Lease struct {
	// Held reports whether this daemon holds the lease.
	Held bool
	// Fencing is the fencing token; each new holder has a higher one.
	Fencing int64
	// AcquiredAt and Expires are the start and the end of the lease.
	AcquiredAt time.Time
	Expires    time.Time
	// PreviousExpires is when the previous holder's lease expires, and
	// PreviousCall the timeout of that holder's calls. Zero means unknown.
	PreviousExpires time.Time
	PreviousCall    time.Duration
}

// Effect is a call to be made outside the control goroutine.
type Effect interface{ effect() }

// System is one function of a tick.
type System func(t *table.Tables, now time.Time, in *Inputs) []Effect

// systems lists the systems of a tick in the order in which they run.
var systems = []System{Settings, Health, Leaving, LoadReports, Probes, Orders, Rollouts}

// Tick runs every system once and returns their effects.
func Tick(t *table.Tables, now time.Time, in *Inputs) []Effect {
	var effects []Effect
	for _, run := range systems {
		effects = append(effects, run(t, now, in)...)
	}
	return effects
}
