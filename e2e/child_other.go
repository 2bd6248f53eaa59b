//go:build !linux

package e2e

import "os/exec"

// endWithParent does nothing on systems without such a signal.
func endWithParent(*exec.Cmd) {}

// waitStopped does nothing on systems without waitid; tests that pause a
// process can then see calls that it sent before it stopped.
func waitStopped(int) error { return nil }
