//go:build !race

package spread_test

// fleetNodes is the number of nodes in the convergence tests, scheduleChecks the
// number of random schedules in TestSchedules, and changeSamples the number of
// changes in one latency experiment.
const (
	fleetNodes     = 320
	scheduleChecks = 1200
	changeSamples  = 50
)
