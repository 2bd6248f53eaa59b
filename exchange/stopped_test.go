package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// dialedAddress is the environment variable that makes the test dial and stop its process.
const dialedAddress = "SAVORYSHIFT_TEST_DIAL"

// stopAfter is the time after which a dialing process stops itself.
const stopAfter = dialTimeout / 5

// Guards against a sound upstream that counts as unreachable because this process did not
// run while the connection was opened.
func TestConnectionOpensWhileTheProcessIsStopped(t *testing.T) {
	if address := os.Getenv(dialedAddress); address != "" {
		dialAndStop(t, address)
		return
	}
	listener := fullListener(t)
	dialer := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	dialer.Env = append(os.Environ(), dialedAddress+"="+listener.Addr().String())
	var output strings.Builder
	dialer.Stdout, dialer.Stderr = &output, &output
	assert.NilError(t, dialer.Start())
	poll.WaitOn(t, func(poll.LogT) poll.Result { return stopped(dialer.Process.Pid) }, poll.WithTimeout(10*time.Second))
	for range 2 {
		conn, err := listener.Accept() // the one that filled the queue, and the one of the dialer
		assert.NilError(t, err)
		defer conn.Close()
	}
	assert.NilError(t, dialer.Process.Signal(syscall.SIGCONT))
	assert.NilError(t, dialer.Wait(), "%s", &output)
}

func dialAndStop(t *testing.T, address string) {
	t.Helper()
	time.AfterFunc(stopAfter, func() { _ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) })
	conn, err := NewPool().connect(t.Context(), address)
	assert.NilError(t, err)
	conn.discard()
}

// fullListener returns a listener that drops each SYN until a connection is accepted.
func fullListener(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	assert.NilError(t, listener.SetDeadline(time.Now().Add(20*time.Second)))
	raw, err := listener.SyscallConn()
	assert.NilError(t, err)
	var listenErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }))
	assert.NilError(t, listenErr)
	filler, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = filler.Close() })
	return listener
}

// stopped succeeds once the process is stopped by a signal.
func stopped(pid int) poll.Result {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return poll.Error(err)
	}
	_, fields, _ := strings.Cut(string(stat), ") ")
	if strings.HasPrefix(fields, "T") {
		return poll.Success()
	}
	return poll.Continue("state %.1s", fields)
}

// Guards against a request that waits for a lost SYN instead of trying another upstream.
func TestLostSYNIsWaitedFor(t *testing.T) {
	start := time.Now()
	_, err := NewPool().connect(t.Context(), fullListener(t).Addr().String())
	assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(start) < time.Second, "given up after %v", time.Since(start))
}
