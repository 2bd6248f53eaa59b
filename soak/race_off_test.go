//go:build !race

package soak

// raceEnabled reports whether the test runs under the race detector. The VMs are then
// built with it too.
const raceEnabled = false
