package e2e

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// WaitTimeout bounds each wait for a condition. It is far above the usual time, so
	// that no test fails on a slow machine.
	WaitTimeout = 90 * time.Second
	// pollPeriod is the interval between two checks of a condition.
	pollPeriod = 20 * time.Millisecond
)

// Binaries holds the paths of the programs under test.
type Binaries struct{ Daemon, Tool string }

// Build compiles both programs into dir with additional flags for go build. It returns
// their paths and the output of the compiler.
func Build(dir string, flags ...string) (Binaries, []byte, error) {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	cmd := exec.Command("go", append(args, "github.com/savoryshift/savoryshift/cmd/savoryshift", "github.com/savoryshift/savoryshift/cmd/savoryctl")...)
	output, err := cmd.CombinedOutput()
	return Binaries{Daemon: filepath.Join(dir, "savoryshift"), Tool: filepath.Join(dir, "savoryctl")}, output, err
}

// maxOutputBytes bounds the output of a process that is kept. A crowd of clients can make it
// write gigabytes.
const maxOutputBytes = 64 << 20

// output collects the output of a process, of which it keeps the end. It is safe for concurrent
// use.
type output struct {
	// unread is held while the output is not read.
	unread sync.Mutex
	mu     sync.Mutex
	data   bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.unread.Lock()
	defer o.unread.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.data.Len() > maxOutputBytes {
		o.data.Next(maxOutputBytes / 2)
	}
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// Process is a process started by a test.
type Process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	output *output
	done   chan struct{}
}

// Start starts a process and kills it at the end of the test if it still runs.
func Start(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{t: t, name: strings.Join(cmd.Args, " "), cmd: cmd, output: &output{}, done: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	killWithParent(cmd)
	if err := cmd.Start(); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // the result is in cmd.ProcessState
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails when the process has ended
		<-p.done
		if t.Failed() {
			t.Logf("%s printed:\n%s", p.name, tail(p.output.String()))
		}
	})
	return p
}

// tail returns the end of a long text.
func tail(text string) string {
	const maxLength = 3000
	return text[max(0, len(text)-maxLength):]
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// Pause stops the process until Resume and returns when it has stopped. The kernel
// still accepts connections and data for its sockets.
func (p *Process) Pause() {
	p.t.Helper()
	p.Signal(syscall.SIGSTOP)
	if err := waitStopped(p.cmd.Process.Pid); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// Resume continues a paused process.
func (p *Process) Resume() { p.t.Helper(); p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL to the process and waits for its end.
func (p *Process) Kill() {
	p.t.Helper()
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitCode waits for the end of the process and returns its exit code. The test fails
// if the process runs on for longer than WaitTimeout.
func (p *Process) ExitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(WaitTimeout):
		p.t.Fatalf("%s did not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// LeaveOutput stops reading what the process prints, until the returned function is called.
func (p *Process) LeaveOutput() (read func()) {
	p.output.unread.Lock()
	return sync.OnceFunc(p.output.unread.Unlock)
}

// Output returns what the process has printed.
func (p *Process) Output() string { return p.output.String() }

// Eventually waits until a condition holds. The test fails if that takes longer than
// WaitTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", WaitTimeout, what)
		}
		<-ticker.C
	}
}

// environWith returns the environment of the test with variables added.
func environWith(extra ...string) []string { return append(os.Environ(), extra...) }
