//go:build !linux

package e2e

import "os/exec"

// killWithParent does nothing on systems without a parent-death signal.
func killWithParent(*exec.Cmd) {}

// waitStopped does nothing on systems without waitid. Tests that pause a process can
// then observe calls that it sends before it stops.
func waitStopped(int) error { return nil }
