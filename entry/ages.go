package entry

import (
	"time"

	"github.com/savoryshift/savoryshift/placement"
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

// knownWithin returns the time within which a change must be known, by a bound of the
// platform.
func knownWithin(bound time.Duration) time.Duration {
	if bound <= 0 {
		bound = defaultKnownWithin
	}
	return min(bound, maxKnownWithin)
}

// copyAgesFor returns the ages with which a configuration and an evacuation are in force,
// and a draining upstream is known, within the bounds of the platform.
func copyAgesFor(b platform.Bounds) copyAges {
	within := min(knownWithin(b.Configuration), knownWithin(b.Drain))
	if b.Evacuation > 0 {
		within = min(within, b.Evacuation)
	}
	return copyAges{
		confirm: time.Duration(confirmShare * float64(within)),
		most:    time.Duration(maxAgeShare * float64(within)),
	}
}

// holdShare is the time for which the operator's rows are held, as a multiple of the time
// within which a change must be known: as much again for the operator to write it a second
// time.
const holdShare = 2

// holdTimes are the longest times for which rows stay in force that a restored store lacks or
// has in an older form.
type holdTimes struct{ orders, registrations time.Duration }

// holdTimesFor returns the hold times within the bounds of the platform. A registration is
// held for as long as one that has lapsed may be used, because the upstream may have left
// while the store was away.
func holdTimesFor(b platform.Bounds) holdTimes {
	return holdTimes{orders: holdShare * knownWithin(b.Configuration), registrations: lapseGrace(b)}
}

// lapseGrace returns the time for which an upstream whose registration has disappeared may be
// used.
func lapseGrace(b platform.Bounds) time.Duration {
	return min(placement.DefaultLapseGrace, b.Drain*3/4)
}
