//go:build race

package spread_test

// The sizes are reduced under the race detector, which makes a run take about ten
// times as long. The experiments run in one goroutine, so the detector finds no
// more races in a large run than in a small one.
const (
	fleetNodes     = 64
	scheduleChecks = 40
	changeSamples  = 10
)
