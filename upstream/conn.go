package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/internal/oldhead"
	"github.com/savoryshift/savoryshift/internal/sockopt"
)

// ErrResent reports that the transport tried to transmit an attempt a second
// time.
var ErrResent = errors.New("attempt was already transmitted once")

// errUploadUnfinished reports a connection that ended before the upstream had received the
// whole request. The end then does not end the body of a response without a length.
var errUploadUnfinished = fmt.Errorf("the connection ended during the upload: %w", io.ErrUnexpectedEOF)

// errAttemptEnded rejects a write for an attempt whose outcome was already
// reported.
var errAttemptEnded = errors.New("attempt has ended")

// gate decides whether an attempt may be written to a connection. It is safe
// for concurrent use, because the transport writes in a goroutine of its own.
type gate struct {
	check      func() error // nil for no check
	repeatable bool
	bodyBytes  int
	cancel     context.CancelCauseFunc

	mu        sync.Mutex
	sent      bool  // bytes may have been transmitted
	checkErr  error // the error of check, if it failed
	closedErr error // if not nil, every further write fails with it
}

// allowWrite is called before the first write of the attempt on each
// connection. A nil error permits the write and marks the attempt as sent.
func (g *gate) allowWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closedErr != nil {
		return g.closedErr
	}
	if g.sent && !g.repeatable {
		return g.close(ErrResent)
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.checkErr = err
			return g.close(err)
		}
	}
	g.sent = true
	return nil
}

// close forbids further writes and cancels the exchange, which ends the retry
// loop of the transport.
func (g *gate) close(err error) error {
	g.closedErr = err
	g.cancel(err)
	return err
}

// undoSent reverts the mark of allowWrite after a write that transmitted
// nothing.
func (g *gate) undoSent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = false
}

// seal forbids further writes. It returns whether bytes may have been
// transmitted, and the error of the check, if it failed.
func (g *gate) seal() (sent bool, checkErr error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closedErr == nil {
		g.closedErr = errAttemptEnded
	}
	return g.sent, g.checkErr
}

// gatedConn is a connection on which the first write of each attempt must pass
// the gate of that attempt.
type gatedConn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex

	mu      sync.Mutex
	pending *gate
	// head scans the header of the response to the last attempt.
	head oldhead.Scanner
	// sent counts what was written of the last attempt.
	sent upload
}

// upload counts what was written of a request with a length.
type upload struct {
	// left is the number of bytes of the body that were not written.
	left int
	// tail holds up to three bytes before the next write until the header has ended.
	tail  []byte
	begun bool
	err   error
}

var headEnd = []byte("\r\n\r\n")

// record records a write.
func (u *upload) record(p []byte, err error) {
	if err != nil {
		u.err = err
	}
	if !u.begun {
		head := append(u.tail, p...)
		i := bytes.Index(head, headEnd)
		if i < 0 {
			u.tail = bytes.Clone(head[max(0, len(head)-len(headEnd)+1):])
			return
		}
		u.begun, u.tail, p = true, nil, head[i+len(headEnd):]
	}
	u.left -= len(p)
}

// setGate sets the gate that the next write on the connection must pass.
func (c *gatedConn) setGate(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = g
}

// takeGate returns the gate that was set, if any, and removes it, so that only
// the first write is checked.
func (c *gatedConn) takeGate() *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.pending
	c.pending = nil
	if g != nil {
		c.head, c.sent = oldhead.Scanner{}, upload{left: g.bodyBytes}
	}
	return g
}

// Read implements net.Conn. A response whose framing the transport would mistake is an
// error, and so is the end of the connection before the upstream has received the request.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if scanErr := c.head.Scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// checkEnd returns io.EOF if the last request was written without an error and all of it is
// acknowledged. The kernel reports a reset once. If a write gets the error, the read gets
// io.EOF, as after an orderly close.
func (c *gatedConn) checkEnd() error {
	// Ends a write that still waits for the upstream.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent.left > 0 || c.sent.err != nil || sockopt.HasUnacked(c.Conn) {
		return errors.Join(errUploadUnfinished, c.sent.err)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.takeGate()
	if g != nil {
		if err := g.allowWrite(); err != nil {
			return 0, err
		}
	}
	n, err := c.write(p)
	if g != nil && n == 0 && err != nil {
		g.undoSent()
	}
	return n, err
}

// write writes p and records what was written.
func (c *gatedConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.record(p[:n], err)
	return n, err
}

// Close implements net.Conn. It resets the connection, so that the bytes of a call that was
// given up are not delivered from the send buffer later.
func (c *gatedConn) Close() error {
	sockopt.ResetOnClose(c.Conn)
	return c.Conn.Close()
}
