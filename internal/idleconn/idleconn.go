// Package idleconn closes the keep-alive connections of an HTTP server without losing a
// request.
package idleconn

import (
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/savoryshift/savoryshift/internal/sockopt"
)

// Closer closes connections that wait for a request. The methods of
// http.Server that close idle connections may close one from which a request or a
// part of it has been read, and the client does not know whether it was handled.
// With Closer either the bytes of a request reach the server and the connection
// stays open, or the server never sees them.
type Closer struct {
	mu        sync.Mutex
	conns     map[*conn]bool
	listeners []*listener
}

// New returns a Closer without connections.
func New() *Closer { return &Closer{conns: map[*conn]bool{}} }

// Listener returns a listener whose connections can be closed while they are idle.
// TLS, if any, belongs above it.
func (c *Closer) Listener(l net.Listener) net.Listener {
	wrapped := &listener{Listener: l, closer: c, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, wrapped)
	return wrapped
}

// listener wraps accepted connections in conn and registers them with the
// closer.
type listener struct {
	net.Listener
	closer *Closer

	mu       sync.Mutex
	stopped  bool
	isClosed bool
	closed   chan struct{}
}

// Accept implements net.Listener. After stop it waits until the listener is closed,
// because a server whose listener fails ends.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.mu.Lock()
		stopped := l.stopped
		l.mu.Unlock()
		if stopped {
			<-l.closed
		}
		return nil, err
	}
	c := &conn{Conn: accepted, idle: true}
	if limited, ok := accepted.(interface{ SetIdleClose(func() bool) }); ok {
		limited.SetIdleClose(func() bool { return c.closeIdle(false) })
	}
	l.closer.mu.Lock()
	defer l.closer.mu.Unlock()
	l.closer.conns[c] = true
	return c, nil
}

// stop ends the acceptance of connections.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	_ = l.Listener.Close()
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isClosed {
		l.isClosed = true
		close(l.closed)
	}
	if l.stopped {
		return nil
	}
	return l.Listener.Close()
}

// ConnState is the hook of http.Server. It marks a connection as idle when
// the server waits for its next request, and forgets closed connections.
func (c *Closer) ConnState(of net.Conn, state http.ConnState) {
	if secured, ok := of.(*tls.Conn); ok {
		of = secured.NetConn()
	}
	ic, ok := of.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		ic.mu.Lock()
		ic.idle, ic.active = false, true
		ic.mu.Unlock()
	case http.StateIdle:
		ic.mu.Lock()
		ic.idle, ic.active, ic.answered = !ic.readAhead, false, true
		ic.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, ic)
		c.mu.Unlock()
	}
}

// Open returns the number of connections, and of those whose request was read and is
// not answered to the end.
func (c *Closer) Open() (connections, active int) {
	list := c.list()
	for _, ic := range list {
		ic.mu.Lock()
		if ic.active {
			active++
		}
		ic.mu.Unlock()
	}
	return len(list), active
}

// list returns the connections.
func (c *Closer) list() []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.conns))
}

// CloseIdle closes the connections that have been answered and on which no byte of
// the next request has been read. It leaves connections without a first request.
func (c *Closer) CloseIdle() {
	for _, ic := range c.list() {
		ic.closeIdle(false)
	}
}

// Close ends the acceptance of connections and closes those on which no byte of a
// request has been read. It returns the number of connections that are left. The server
// goes on until it is closed.
func (c *Closer) Close() int {
	c.mu.Lock()
	listeners := c.listeners
	c.listeners = nil
	c.mu.Unlock()
	for _, l := range listeners {
		l.stop()
	}
	list := c.list()
	for _, ic := range list {
		ic.closeIdle(true)
	}
	return len(list)
}

// conn is a connection that tracks whether it is idle: the last request is
// finished and no byte of the next one has been read.
type conn struct {
	net.Conn

	mu       sync.Mutex
	idle     bool
	active   bool // a request was read and its answer is not written to the end
	answered bool // a request of the connection has been answered
	closed   bool
	// reading is set while the server waits for bytes: a request that came together with
	// the one before it is handled without a further read.
	reading bool
	// readAhead is set when bytes were read since the last write began. A client sends
	// its next request after it has got the end of the answer, and the server may read
	// from it, to notice that the client leaves, before the connection counts as idle.
	readAhead bool
	// readError is the error of the last read, nil if it succeeded.
	readError error
}

// Read implements net.Conn. It discards bytes that were read while closeIdle closed
// the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readError = false, err
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle, c.readAhead = false, true
	}
	return n, err
}

// ReadError returns the error of the last read, nil if it succeeded.
func (c *conn) ReadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readError
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.readAhead = false
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// closeIdle closes the connection if it is idle and no bytes have arrived on it. It leaves a
// connection without a first request unless unused is set. It reports whether it has closed
// the connection.
func (c *conn) closeIdle(unused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || !c.reading || c.closed || !c.answered && !unused || sockopt.HasUnread(c.Conn) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}

// CloseWrite ends the sending side, which http.Server does before it closes a connection
// whose request it has not read to its end.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// NetConn returns the connection that c wraps, for package cutoff.
func (c *conn) NetConn() net.Conn { return c.Conn }
