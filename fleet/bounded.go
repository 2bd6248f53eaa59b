package fleet

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/internal/clientlimit"
)

const (
	// maxMessageBytes bounds one message of a peer. The largest ones hold a whole table.
	maxMessageBytes = 8 << 20
	// unbudgetedBytes is the size up to which a message does not count towards
	// Options.MaxReceived, and defaultMaxReceived the default of that.
	unbudgetedBytes    = 64 << 10
	defaultMaxReceived = 16 << 20
	// entryBytes is the memory for an entry of a list once it is decoded. On the wire an entry
	// takes one byte, a zero, if all of its fields are empty, and ends with one otherwise.
	// unbudgetedEntries is the number of entries of a message that do not count.
	entryBytes        = 128
	unbudgetedEntries = 1024
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
	// refused is called for a message that is not read because of a bound.
	refused func(error)

	// left is the number of bytes until the end of the message, reserved its part of
	// received. While its length is read, sizeLeft is the number of bytes of the length
	// that are to come, and size what is known of it.
	left     uint64
	reserved atomic.Int64
	sizeLeft int
	size     uint64
	// zeros is the number of zero bytes of the message, decoded the part of received for its
	// entries, which is held until the next read: the message is decoded before that.
	zeros   int64
	decoded atomic.Int64
}

// bound returns a connection whose messages are bounded.
func (f *Fleet) bound(conn net.Conn) *boundedConn {
	return &boundedConn{Conn: conn, received: &f.received, limit: &f.maxReceived, refused: f.recordRefused}
}

// SetMaxReceived replaces Options.MaxReceived.
func (f *Fleet) SetMaxReceived(bytes int64) { f.maxReceived.Store(bytes) }

// refusedLogInterval is the least time between two log lines about messages that were refused.
const refusedLogInterval = time.Second

// recordRefused counts and logs a message that was not read because of a bound.
func (f *Fleet) recordRefused(err error) {
	n := f.refused.Add(1)
	now := time.Now().UnixNano()
	if last := f.refusedLoggedAt.Load(); now-last >= int64(refusedLogInterval) && f.refusedLoggedAt.CompareAndSwap(last, now) {
		f.opts.Log.Warn("message of a peer refused", zap.Uint64("refused", n), zap.Error(err))
	}
}

// Refused returns the number of messages that were not read because of a bound.
func (f *Fleet) Refused() uint64 { return f.refused.Load() }

// Read reads from the connection. Only one goroutine may call it at a time.
func (c *boundedConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		c.releaseDecoded()
	}
	n, err := c.Conn.Read(b)
	if scanErr := c.scan(b[:n]); scanErr != nil {
		c.refused(scanErr)
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
			if err := c.countEntries(b[:n]); err != nil {
				return err
			}
			c.left, b = c.left-n, b[n:]
			if c.left == 0 {
				c.releaseBytes()
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
	c.left, c.zeros = size, 0
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

// countEntries takes the memory for the entries in a part of a message.
func (c *boundedConn) countEntries(b []byte) error {
	before := max(c.zeros, unbudgetedEntries)
	c.zeros += int64(bytes.Count(b, []byte{0}))
	more := (max(c.zeros, unbudgetedEntries) - before) * entryBytes
	if more == 0 {
		return nil
	}
	c.decoded.Add(more)
	if c.received.Add(more) > c.limit.Load() {
		c.release()
		return errReceiveBufferFull
	}
	return nil
}

// release gives back all that the connection holds.
func (c *boundedConn) release() {
	c.releaseBytes()
	c.releaseDecoded()
}

func (c *boundedConn) releaseBytes()   { c.received.Add(-c.reserved.Swap(0)) }
func (c *boundedConn) releaseDecoded() { c.received.Add(-c.decoded.Swap(0)) }
