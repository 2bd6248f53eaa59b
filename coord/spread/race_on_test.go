//go:build race

package spread_test

// The experiments run in one goroutine, so the race detector finds nothing more
// in a large run than in a small one, but takes about ten times as long.
const (
	fleetNodes = 64
	checks     = 40
	changes    = 10
)
