package fleet

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/savoryshift/savoryshift/internal/clientlimit"
)

const (
	// maxMessageBytes bounds one message of a peer. The largest ones hold a whole table.
	maxMessageBytes = 8 << 20
	// unbudgetedBytes is the size up to which a message does not count towards
	// Options.MaxReceived, and defaultMaxReceived the default of that.
	unbudgetedBytes    = 64 << 10
	defaultMaxReceived = 16 << 20
)

// errMessageTooLong is returned for a message that exceeds maxMessageBytes, and
// errReceiveBufferFull for one that exceeds Options.MaxReceived with those that are being
// received.
var (
	errMessageTooLong    = errors.New("a message of a peer is too long")
	errReceiveBufferFull = errors.New("the memory for messages of peers is full")
)

// boundedConn is a connection that carries gob messages, each of which has its length in
// front. net/rpc and gob read messages of up to 1 GiB into memory.
type boundedConn struct {
	net.Conn
	// received counts the bytes of long messages that are being received on all
	// connections, up to limit.
	received, limit *atomic.Int64

	// left is the number of bytes until the end of the message, reserved its part of
	// received. While its length is read, sizeLeft is the number of bytes of the length
	// that are to come, and size what is known of it.
	left     uint64
	reserved atomic.Int64
	sizeLeft int
	size     uint64
}

// bound returns a connection whose messages are bounded.
func (f *Fleet) bound(conn net.Conn) *boundedConn {
	return &boundedConn{Conn: conn, received: &f.received, limit: &f.maxReceived}
}

// SetMaxReceived replaces Options.MaxReceived.
func (f *Fleet) SetMaxReceived(bytes int64) { f.maxReceived.Store(bytes) }

// Read reads from the connection. Only one goroutine may call it at a time.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	if err != nil {
		c.release()
	}
	return n, err
}

// Write writes to the connection. A connection to this VM is that of a peer once it is answered.
func (c *boundedConn) Write(b []byte) (int, error) {
	clientlimit.ConfirmPeer(c.Conn)
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// scan follows the lengths of the messages.
func (c *boundedConn) scan(b []byte) error {
	for len(b) > 0 {
		if c.left > 0 {
			n := min(c.left, uint64(len(b)))
			c.left, b = c.left-n, b[n:]
			if c.left == 0 {
				c.release()
			}
			continue
		}
		if err := c.scanLength(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// scanLength reads one byte of the length of a message. Lengths below 128 are one byte;
// others are preceded by the negated number of their bytes.
func (c *boundedConn) scanLength(next byte) error {
	switch {
	case c.sizeLeft > 0:
		c.size, c.sizeLeft = c.size<<8|uint64(next), c.sizeLeft-1
		if c.sizeLeft > 0 {
			return nil
		}
	case next < 128:
		c.size = uint64(next)
	default:
		c.size, c.sizeLeft = 0, -int(int8(next))
		if c.sizeLeft > 8 {
			return errMessageTooLong
		}
		return nil
	}
	return c.begin(c.size)
}

// begin begins a message of a length.
func (c *boundedConn) begin(size uint64) error {
	if size > maxMessageBytes {
		return errMessageTooLong
	}
	c.left = size
	if size <= unbudgetedBytes {
		return nil
	}
	c.reserved.Store(int64(size))
	if c.received.Add(int64(size)) > c.limit.Load() {
		c.release()
		return errReceiveBufferFull
	}
	return nil
}

func (c *boundedConn) release() {
	c.received.Add(-c.reserved.Swap(0))
}
