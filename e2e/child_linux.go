package e2e

import (
	"os/exec"
	"syscall"

	"golang.org/x/sys/unix"
)

// killWithParent makes the kernel kill the process when the test binary dies before
// its cleanup.
func killWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// waitStopped waits until all threads of a child have stopped after SIGSTOP. Sending
// the signal returns earlier, when the child may still send calls.
func waitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return err
		}
	}
}
