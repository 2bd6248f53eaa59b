package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a long request that fails because its sound upstream stops reading for a
// few seconds.
func TestUpstreamPausesInALongRequest(t *testing.T) {
	const size = 16 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		time.Sleep(3200 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		text := fmt.Sprint(n)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}()
	body, err := roundTrip(t, NewPool(), l.Addr().String(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
	assert.NilError(t, err)
	assert.Equal(t, body, fmt.Sprint(size))
}

// Guards against a connection that is dropped because the host of a sound upstream
// acknowledges no probe for a few seconds.
func TestKeepAliveProbesEndAPause(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte { return ok("x") })
	conn, err := dialTCP(t.Context(), address)
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var idle, interval int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		interval, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	}))
	// With a bound on unacknowledged bytes, the kernel drops the connection when one probe
	// is unanswered for the interval.
	assert.Assert(t, idle+interval >= 4 && interval >= 3, "%d s and %d s", idle, interval)
}
