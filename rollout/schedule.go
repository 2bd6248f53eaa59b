package rollout

import "time"

const (
	// initialExposureFraction is the initial share of the sessions on the new release
	// as a fraction of Options.Exposure. The rest of the exposure is reserved for
	// sessions that move before a fault that appears late is detected.
	initialExposureFraction = 0.8
	// defaultExposure is the default of Options.Exposure.
	defaultExposure = 0.15
	// pinnedUntil is the fraction of the duration during which active sessions stay
	// on the old release; only new sessions may get the new release.
	pinnedUntil = 0.5
	// fullTrafficFrom is the fraction of the duration after which all sessions get
	// the new release.
	fullTrafficFrom = 0.68
	// latencyComparedUntil is the fraction of the duration during which latencies
	// are compared. After it most traffic is on the new release, and higher
	// latencies can be caused by that load.
	latencyComparedUntil = 0.58
	// suspicionThreshold is the logarithm of the evidence for failures from which on
	// a release is suspected and no further sessions move to it: about two failures
	// of one route without a success in between. A release that is still suspected
	// after the fraction suspicionDeadline of the duration is rolled back, because
	// delaying a good release costs less than rolling out a bad one.
	suspicionThreshold = 3.0
	suspicionDeadline  = 0.75
	// drainDeadline is the fraction of the duration after which a rollout is done
	// even if calls to the old release are still in flight.
	drainDeadline = 0.9
)

// scheduledShare returns the fraction of the sessions that get the new release
// after a fraction of the duration: initialShare until pinnedUntil, then rising
// linearly to 1 at fullTrafficFrom.
func scheduledShare(elapsedFraction, initialShare float64) float64 {
	switch {
	case elapsedFraction < pinnedUntil:
		return initialShare
	case elapsedFraction >= fullTrafficFrom:
		return 1
	}
	return initialShare + (1-initialShare)*(elapsedFraction-pinnedUntil)/(fullTrafficFrom-pinnedUntil)
}

// Order is an operator's order to move a service to a release.
type Order struct {
	Service  string
	Release  string
	Duration time.Duration
	// Revision is the store revision of the transaction that wrote the order, and Era the
	// era of the store in which it was read.
	Revision, Era int64
	// Base is the revision up to which orders of this era may be older than the era.
	Base int64
}

// id returns what identifies the order while the store is not restored.
func (o *Order) id() orderID { return orderID{o.Era, o.Revision} }

// restored reports whether the order may be one that the store had when it was restored.
func (o *Order) restored() bool { return o.Era > 0 && o.Revision <= o.Base }

// sameContent reports whether two orders ask for the same.
func (o *Order) sameContent(other Order) bool {
	return o.Service == other.Service && o.Release == other.Release && o.Duration == other.Duration
}

// State of a rollout.
type State string

// States of a rollout. Done and RolledBack are final.
const (
	Running    State = "running"
	Done       State = "done"
	RolledBack State = "rolled_back"
)

// Progress is the state of a rollout in the store. A VM that starts during a
// rollout resumes from it.
type Progress struct {
	Service string
	Release string
	State   State
	// Order is the revision of the order that the progress belongs to, and Era its era.
	Order, Era int64
	// Duration is that of the order. Rows of earlier builds lack it.
	Duration time.Duration
	// Started is the start of the rollout by the store's clock.
	Started time.Duration
}
