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

// Inputs is what has arrived since the last tick.
type Inputs struct {
	// Tree is the settings tree when it has changed, nil otherwise.
	Tree *tree.Tree
	// VMs is the platform's list when it was read; nil otherwise.
	VMs       []infra.VM
	Probes    []ProbeResult
	Sends     []Send
	Calls     []CallResult
	Transfers []TransferResult
	Orders    []OrderResult
	Advances  []AdvanceResult
	// Halts are halt marks that became known.
	Halts []table.Halt
	// OrderLease is the lease on issuing orders, RolloutLease that on advancing
	// roll-outs, as they are at this tick.
	OrderLease   Lease
	RolloutLease Lease
	// Delegate says that this daemon is a delegate of its zone.
	Delegate bool
}

// ProbeResult is the end of a Probe effect.
type ProbeResult struct {
	Upstream string
	// SentAt is when the probe was sent.
	SentAt time.Time
	Failed bool
	// Report is the load report of an engine.
	Report *upstream.LoadReport
}

// Send is a call that the daemon sent to an upstream.
type Send struct {
	Upstream string
	At       time.Time
}

// CallResult is the end of a call.
type CallResult struct {
	Upstream string
	// SentAt is the At of its Send.
	SentAt time.Time
	// Failed says that the upstream could not be reached or broke the
	// connection. An error that it answered with does not count: judging
	// versions is the task of the roll-out guard.
	Failed bool
	// Leaving says that the upstream refused because it is leaving.
	Leaving bool
}

// Lease is a table lease with a fencing number, with times on this daemon's
// clock.
type Lease struct {
	Held    bool
	Fencing int64
	// AcquiredAt and Expires bound the lease.
	AcquiredAt time.Time
	Expires    time.Time
	// PreviousExpires is when the lease of the holder before lapses, and
	// PreviousCall the bound on its calls. Zero values mean unknown.
	PreviousExpires time.Time
	PreviousCall    time.Duration
}

// Effect is a call to make outside the control goroutine.
type Effect interface{ effect() }

// System is one step of a tick.
type System func(t *table.Tables, now time.Time, in *Inputs) []Effect

// order is the fixed order of the systems of a tick.
var order = []System{Settings, Health, Leaving, LoadReports, Probes, Orders, Rollouts}

// Tick runs every system once.
func Tick(t *table.Tables, now time.Time, in *Inputs) []Effect {
	var effects []Effect
	for _, run := range order {
		effects = append(effects, run(t, now, in)...)
	}
	return effects
}
