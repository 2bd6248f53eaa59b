//go:build race

package soak

// underRace says that the test runs under the race detector; the VMs then do too.
const underRace = true
