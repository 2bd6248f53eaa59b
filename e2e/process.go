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
	// Limit bounds each wait for a condition. It is far above the usual time,
	// so that a slow machine fails no test.
	Limit = 90 * time.Second
	// pollPeriod is the time between two looks at a condition.
	pollPeriod = 20 * time.Millisecond
)

// Binaries holds the paths of the programs under test.
type Binaries struct{ Daemon, Tool string }

// Build compiles both programs into dir, with further flags for the compiler.
func Build(dir string, flags ...string) (Binaries, []byte, error) {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, flags...)
	cmd := exec.Command("go", append(args, "github.com/savoryshift/savoryshift/cmd/savoryshift", "github.com/savoryshift/savoryshift/cmd/savoryctl")...)
	output, err := cmd.CombinedOutput()
	return Binaries{Daemon: filepath.Join(dir, "savoryshift"), Tool: filepath.Join(dir, "savoryctl")}, output, err
}

// output collects what a process prints. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// Process is a process that a test started.
type Process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	output *output
	done   chan struct{}
}

// Start starts a process, which ends with the test at the latest.
func Start(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{t: t, name: strings.Join(cmd.Args, " "), cmd: cmd, output: &output{}, done: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	endWithParent(cmd)
	if err := cmd.Start(); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // the state is read from cmd.ProcessState
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

// tail keeps the end of a long text.
func tail(text string) string {
	const most = 3000
	return text[max(0, len(text)-most):]
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// Pause stops the process until Resume and returns when it has stopped; its
// sockets go on accepting data.
func (p *Process) Pause() {
	p.t.Helper()
	p.Signal(syscall.SIGSTOP)
	if err := waitStopped(p.cmd.Process.Pid); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// Resume continues a paused process.
func (p *Process) Resume() { p.t.Helper(); p.Signal(syscall.SIGCONT) }

// Kill ends the process without warning and waits for its end.
func (p *Process) Kill() {
	p.t.Helper()
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitCode waits for the end of the process.
func (p *Process) ExitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(Limit):
		p.t.Fatalf("%s did not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Output returns what the process has printed.
func (p *Process) Output() string { return p.output.String() }

// Eventually waits until a condition holds.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(Limit)
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", Limit, what)
		}
		<-ticker.C
	}
}

// environ returns the environment with variables added.
func environ(extra ...string) []string { return append(os.Environ(), extra...) }
