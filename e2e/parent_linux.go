package e2e

import (
	"os/exec"
	"syscall"
)

// endWithParent makes the kernel end the process when the test binary is killed
// before its cleanup.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
