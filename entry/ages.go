package entry

import (
	"time"

	"github.com/savoryshift/savoryshift/platform"
)

const (
	// confirmShare and maxAgeShare are the ages of copyAges as fractions of the time within
	// which a change must be known everywhere. The rest is for one call to the store. The
	// difference between the two covers the exchanges that carry a confirmation to the
	// other VMs.
	confirmShare = 0.55
	maxAgeShare  = 0.7
	// defaultKnownWithin is the time within which a change must be known if the platform
	// states none; maxKnownWithin bounds it well below the time for which the store keeps
	// its history.
	defaultKnownWithin = 2 * time.Second
	maxKnownWithin     = 5 * time.Second
)

// copyAges are ages of the copies of the orders and the registrations.
type copyAges struct {
	// confirm is the age at which a reader has its copy confirmed by the store, and most
	// the age from which every VM reads the store itself. Whatever happens to the readers,
	// a change is known everywhere within most and the time of one call.
	confirm, most time.Duration
}

// copyAgesFor returns the ages with which a configuration and an evacuation are in force,
// and a draining upstream is known, within the bounds of the platform.
func copyAgesFor(b platform.Bounds) copyAges {
	within := maxKnownWithin
	if b.Evacuation > 0 {
		within = min(within, b.Evacuation)
	}
	for _, bound := range []time.Duration{b.Configuration, b.Drain} {
		if bound <= 0 {
			bound = defaultKnownWithin
		}
		within = min(within, bound)
	}
	return copyAges{
		confirm: time.Duration(confirmShare * float64(within)),
		most:    time.Duration(maxAgeShare * float64(within)),
	}
}
