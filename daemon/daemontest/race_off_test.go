//go:build !race

package daemontest_test

import "time"

const (
	// longOutage is how long the platform is down in TestPlatformDownForAnHour.
	longOutage = time.Hour
	// pairSeeds is the number of schedules that TestPairsOfFailures runs.
	pairSeeds = 24
)
