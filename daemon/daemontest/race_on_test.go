//go:build race

package daemontest_test

import "time"

const (
	// longOutage and pairSeeds are smaller than without the race detector, which
	// makes these tests about ten times slower.
	longOutage = time.Minute
	pairSeeds  = 3
)
