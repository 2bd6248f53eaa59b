package placement

import "time"

// Upstream is one registered instance of a service.
type Upstream struct {
	// ID identifies the instance. An instance that restarts may keep its ID.
	ID string
	// Incarnation grows when an instance restarts under the same ID.
	Incarnation int64
	Service     string
	// Address is IP:PORT. Another instance may have used it earlier.
	Address          string
	AvailabilityZone string
	// Release is the version of the software that the instance runs.
	Release string
	// Slots is the number of calls that the instance processes at the same time.
	Slots int
	// ColdLeft is the time for which the instance remained slow after its start when its
	// registration was written, 0 if it does not say so.
	ColdLeft time.Duration
	// Revision is that of the registration. It tells a new statement of ColdLeft from a
	// repeated one.
	Revision int64
	// Draining is set while the instance accepts no new calls.
	Draining bool
}
