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

// conn is one end of a connection. Its fields are guarded by the network's
// lock.
type conn struct {
	network       *Network
	local, remote *Host
	peer          *conn
	in            bytes.Buffer // written by the peer, not yet read
	ended         bool         // the peer has closed
	closed        bool         // closed here
	broken        bool         // reset
	tainted       bool         // written to by a frozen host
	sentAt        time.Time    // last write of the peer, which a cut may deliver much later
	readBy        time.Time
	writeBy       time.Time
	waiting       chan struct{}
}

// connect returns the two ends of a new connection. n.mu is held.
func (n *Network) connect(from, to *Host) (client, server *conn) {
	client = &conn{network: n, local: from, remote: to, waiting: make(chan struct{})}
	server = &conn{network: n, local: to, remote: from, waiting: make(chan struct{})}
	client.peer, server.peer = server, client
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	return client, server
}

func (c *conn) wake() {
	close(c.waiting)
	c.waiting = make(chan struct{})
}

// reset breaks both ends.
func (c *conn) reset() {
	for _, end := range []*conn{c, c.peer} {
		end.broken = true
		end.wake()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.network.mu.Lock()
		n, err, done := c.tryRead(p)
		waiting, by := c.waiting, c.readBy
		c.network.mu.Unlock()
		if done {
			return n, err
		}
		waitUntil(waiting, by)
	}
}

func (c *conn) tryRead(p []byte) (n int, err error, done bool) {
	switch {
	case c.closed:
		return 0, net.ErrClosed, true
	case c.broken && c.local.dead:
		return 0, resetError("read"), true
	case !c.readBy.IsZero() && !time.Now().Before(c.readBy):
		return 0, os.ErrDeadlineExceeded, true
	case len(p) == 0:
		return 0, nil, true
	case c.network.blocked(c.local, c.remote):
		return 0, nil, false
	case c.in.Len() > 0:
		n, err = c.in.Read(p)
		return n, err, true
	case c.broken:
		return 0, resetError("read"), true
	case c.ended:
		return 0, io.EOF, true
	}
	return 0, nil, false
}

// waitUntil returns when waiting is closed or, unless by is zero, at that time.
func waitUntil(waiting <-chan struct{}, by time.Time) {
	if by.IsZero() {
		<-waiting
		return
	}
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case <-waiting:
	case <-timer.C:
	}
}

func resetError(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Err: syscall.ECONNRESET}
}

// Write implements net.Conn. It never blocks.
func (c *conn) Write(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.broken || n.meet(c.local) || n.meet(c.remote):
		return 0, resetError("write")
	case !c.writeBy.IsZero() && !time.Now().Before(c.writeBy):
		return 0, os.ErrDeadlineExceeded
	case c.local.frozen:
		c.tainted = true
		return len(p), nil
	}
	c.peer.in.Write(p)
	c.peer.sentAt = time.Now()
	c.peer.wake()
	return len(p), nil
}

// lastSent returns when the peer last wrote.
func (c *conn) lastSent() time.Time {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.sentAt
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.peer.ended = true
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
		c.readBy = *read
	}
	if write != nil {
		c.writeBy = *write
	}
	c.wake()
	return nil
}

type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// backlog is how many connections wait to be accepted.
const backlog = 1024

type listener struct {
	host    *Host
	address string
	conns   chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Listen opens a listener at a port of h.
func (h *Host) Listen(port string) net.Listener {
	l := &listener{host: h, address: h.IP + ":" + port, conns: make(chan *conn, backlog), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.listeners[l.address] = l
	return l
}

func (l *listener) offer(ctx context.Context, client, server *conn) (net.Conn, error) {
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
