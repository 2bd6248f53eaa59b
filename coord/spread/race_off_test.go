//go:build !race

package spread_test

// fleetNodes is the size of the fleet in the convergence tests, checks the
// number of random schedules, changes the samples of one experiment.
const (
	fleetNodes = 320
	checks     = 1200
	changes    = 50
)
