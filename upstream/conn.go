package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrResent reports that the transport tried to transmit an attempt again.
var ErrResent = errors.New("attempt was already transmitted once")

// errSealed ends a write of an attempt whose outcome was already reported.
var errSealed = errors.New("attempt has ended")

// gate decides whether an attempt may be written to a connection. It is safe
// for concurrent use: the transport writes in a goroutine of its own.
type gate struct {
	check      func() error // nil: no check
	repeatable bool
	cancel     context.CancelCauseFunc

	mu      sync.Mutex
	sent    bool  // bytes may have been transmitted
	refusal error // the result of check, kept for good
	closed  error // no write is allowed any more
}

// pass is called before the first write of the attempt on each connection.
func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return g.closed
	}
	if g.sent && !g.repeatable {
		return g.close(ErrResent)
	}
	if g.check != nil {
		if err := g.check(); err != nil {
			g.refusal = err
			return g.close(err)
		}
	}
	g.sent = true
	return nil
}

// close forbids further writes and ends the transport's retry loop.
func (g *gate) close(err error) error {
	g.closed = err
	g.cancel(err)
	return err
}

// unsent takes back pass after a write that transmitted nothing.
func (g *gate) unsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = false
}

// seal forbids further writes and returns whether bytes may have been
// transmitted, and the refusal of the check, if any.
func (g *gate) seal() (sent bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = errSealed
	}
	return g.sent, g.refusal
}

// gateConn is a connection whose writes pass the gate of the current attempt.
type gateConn struct {
	net.Conn

	mu    sync.Mutex
	armed *gate
}

// arm sets the gate for the next exchange on the connection.
func (c *gateConn) arm(g *gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = g
}

func (c *gateConn) disarm() *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.armed
	c.armed = nil
	return g
}

// Write implements net.Conn.
func (c *gateConn) Write(p []byte) (int, error) {
	g := c.disarm()
	if g == nil {
		return c.Conn.Write(p)
	}
	if err := g.pass(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		g.unsent()
	}
	return n, err
}
