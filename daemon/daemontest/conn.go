package daemontest

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection. Network.mu guards its fields.
type conn struct {
	network          *Network
	local, remote    *Host
	peer             *conn
	received         bytes.Buffer  // written by the peer, not yet read
	peerClosed       bool          // the peer has closed its end
	closed           bool          // this end is closed
	wasReset         bool          // both ends fail with ECONNRESET
	wroteWhileFrozen bool          // the local host wrote while frozen, and the bytes were dropped
	peerWroteAt      time.Time     // last write of the peer; during a cut the bytes arrive much later
	readDeadline     time.Time     // zero means none
	writeDeadline    time.Time     // zero means none
	changed          chan struct{} // closed and replaced at each change of the state
}

// connect returns the two ends of a new connection. n.mu is held.
func (n *Network) connect(from, to *Host) (client, server *conn) {
	client = &conn{network: n, local: from, remote: to, changed: make(chan struct{})}
	server = &conn{network: n, local: to, remote: from, changed: make(chan struct{})}
	client.peer, server.peer = server, client
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	return client, server
}

// wake makes blocked reads check the state of the connection again.
func (c *conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// reset marks both ends as reset by the peer.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.wasReset = true
		end.wake()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.network.mu.Lock()
		n, err, done := c.tryRead(p)
		changed, deadline := c.changed, c.readDeadline
		c.network.mu.Unlock()
		if done {
			return n, err
		}
		waitUntil(changed, deadline)
	}
}

// tryRead reads without blocking. done is false when the caller must wait until
// the connection changes.
func (c *conn) tryRead(p []byte) (n int, err error, done bool) {
	switch {
	case c.closed:
		return 0, net.ErrClosed, true
	case c.wasReset && c.local.dead:
		return 0, resetError("read"), true
	case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
		return 0, os.ErrDeadlineExceeded, true
	case len(p) == 0:
		return 0, nil, true
	case c.network.blocked(c.local, c.remote):
		return 0, nil, false
	case c.received.Len() > 0:
		n, err = c.received.Read(p)
		return n, err, true
	case c.wasReset:
		return 0, resetError("read"), true
	case c.peerClosed:
		return 0, io.EOF, true
	}
	return 0, nil, false
}

// waitUntil returns when changed is closed or, unless deadline is zero, at the
// deadline.
func waitUntil(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func resetError(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Err: syscall.ECONNRESET}
}

// Write implements net.Conn. It never blocks. What a frozen host writes is
// dropped.
func (c *conn) Write(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.wasReset || n.countMessage(c.local) || n.countMessage(c.remote):
		return 0, resetError("write")
	case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
		return 0, os.ErrDeadlineExceeded
	case c.local.frozen:
		c.wroteWhileFrozen = true
		return len(p), nil
	}
	c.peer.received.Write(p)
	c.peer.peerWroteAt = time.Now()
	c.peer.wake()
	return len(p), nil
}

func (c *conn) lastPeerWrite() time.Time {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.peerWroteAt
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.peer.peerClosed = true
	delete(c.network.conns, c)
	c.wake()
	c.peer.wake()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local.IP + ":0") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote.IP + ":0") }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.setDeadlines(&t, &t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.setDeadlines(&t, nil) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(nil, &t) }

func (c *conn) setDeadlines(read, write *time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if read != nil {
		c.readDeadline = *read
	}
	if write != nil {
		c.writeDeadline = *write
	}
	c.wake()
	return nil
}

type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// backlog is the maximum number of connections that wait in a listener's accept
// queue.
const backlog = 1024

type listener struct {
	host    *Host
	address string
	conns   chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Listen opens a listener on a port of h.
func (h *Host) Listen(port string) net.Listener {
	l := &listener{host: h, address: h.IP + ":" + port, conns: make(chan *conn, backlog), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.listeners[l.address] = l
	return l
}

// enqueue puts the server end into the accept queue and returns the client end.
func (l *listener) enqueue(ctx context.Context, client, server *conn) (net.Conn, error) {
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		_, _ = client.Close(), server.Close()
		return nil, dialError(net.ErrClosed)
	case <-ctx.Done():
		_, _ = client.Close(), server.Close()
		return nil, dialError(ctx.Err())
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	if l.host.network.listeners[l.address] == l {
		delete(l.host.network.listeners, l.address)
	}
	l.close()
	return nil
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }
