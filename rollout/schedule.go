package rollout

import "time"

const (
	// exposureUse is the part of the sessions that try the new release first, as a
	// share of what a bad release may get of all requests; the rest is for sessions
	// that move before a late fault is noticed.
	exposureUse = 0.8
	// defaultExposure is used where no bound is set.
	defaultExposure = 0.15
	// pinnedUntil is the part of the duration in which sessions stay on the
	// release that they have; only new sessions may get the new release.
	pinnedUntil = 0.5
	// movedAt is the part of the duration after which all sessions have moved.
	movedAt = 0.68
	// comparedUntil is the part of the duration in which latencies are compared.
	// Later most traffic is on the new release, whose load explains them.
	comparedUntil = 0.58
	// suspicious is the evidence of failures, as a logarithm, from which no further
	// sessions move: about two failures of one route without a success between. A
	// release that is still suspected after suspectedUntil of the duration is
	// rolled back: a good release that comes later costs less than a bad one.
	suspicious     = 3.0
	suspectedUntil = 0.75
	// drainedBy is the part of the duration at which a rollout is done even if
	// calls to the old release are still running.
	drainedBy = 0.9
)

// share is the part of the sessions that get the new release after a part of
// the duration, first being the part that tries it from the beginning.
func share(part, first float64) float64 {
	switch {
	case part < pinnedUntil:
		return first
	case part >= movedAt:
		return 1
	}
	return first + (1-first)*(part-pinnedUntil)/(movedAt-pinnedUntil)
}

// Order is the operator's order to move a service to a release.
type Order struct {
	Service  string
	Release  string
	Duration time.Duration
	// Revision is the transaction that wrote the order.
	Revision int64
}

// State of a rollout.
type State string

// States. Done and RolledBack are final.
const (
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "rolled_back"
)

// Progress is what the store keeps of a rollout. It is read again by VMs that
// start while the rollout is running.
type Progress struct {
	Service string
	Release string
	State   State
	// Order is the revision of the order that the progress belongs to.
	Order int64
	// Started is the beginning by the store's clock.
	Started time.Duration
}
