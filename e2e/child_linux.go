package e2e

import (
	"os/exec"
	"syscall"

	"golang.org/x/sys/unix"
)

// endWithParent makes the kernel end the process when the test binary is killed
// before its cleanup.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// waitStopped returns when all threads of a child have stopped after SIGSTOP.
// The signal itself returns earlier, and the child may still send calls then.
func waitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return err
		}
	}
}
