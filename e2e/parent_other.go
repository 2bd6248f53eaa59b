//go:build !linux

package e2e

import "os/exec"

// endWithParent does nothing on systems without such a signal.
func endWithParent(*exec.Cmd) {}
