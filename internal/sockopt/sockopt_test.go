package sockopt

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are delivered long after the connection that carried them
// was closed.
func TestBytesOutliveTheirConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	const unacked = 500 * time.Millisecond
	dialer := net.Dialer{Timeout: time.Second, Control: LimitUnacked(unacked)}
	conn, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	assert.NilError(t, err)
	receiver, err := listener.Accept()
	assert.NilError(t, err)
	defer receiver.Close()
	// The receiver does not read, so most bytes wait at the sender.
	const sent = 1 << 20
	assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, _ = conn.Write(make([]byte, sent))
	assert.NilError(t, conn.Close())
	time.Sleep(4 * unacked)
	assert.NilError(t, receiver.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := io.Copy(io.Discard, receiver)
	assert.Assert(t, err != nil && n < sent, "%d bytes, %v", n, err)
}
