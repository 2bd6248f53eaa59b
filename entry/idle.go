package entry

import (
	"net"
	"net/http"
	"sync"
)

// idleCloser closes kept connections that wait for a request. net/http's own way
// may close a connection whose request it has just read: the caller then does not
// know whether the request ran. Here the bytes of a request either reach the
// server, and the connection stays, or are never read.
type idleCloser struct {
	mu    sync.Mutex
	conns map[*idleConn]bool
}

func newIdleCloser() *idleCloser { return &idleCloser{conns: map[*idleConn]bool{}} }

// wrap returns a listener whose connections can be closed while they are idle.
func (c *idleCloser) wrap(l net.Listener) net.Listener { return &idleListener{l, c} }

type idleListener struct {
	net.Listener
	closer *idleCloser
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &idleConn{Conn: conn, closer: l.closer}
	l.closer.mu.Lock()
	defer l.closer.mu.Unlock()
	l.closer.conns[c] = true
	return c, nil
}

// state is the hook of the server for changes of a connection's state.
func (c *idleCloser) state(conn net.Conn, state http.ConnState) {
	ic, ok := conn.(*idleConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		ic.mu.Lock()
		ic.idle = true
		ic.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, ic)
		c.mu.Unlock()
	}
}

// CloseIdle closes the connections that wait for a request after an answer.
func (c *idleCloser) CloseIdle() {
	c.mu.Lock()
	list := make([]*idleConn, 0, len(c.conns))
	for ic := range c.conns {
		list = append(list, ic)
	}
	c.mu.Unlock()
	for _, ic := range list {
		ic.closeIdle()
	}
}

// idleConn is a connection that knows whether bytes of the next request have
// been read.
type idleConn struct {
	net.Conn
	closer *idleCloser

	mu     sync.Mutex
	idle   bool
	closed bool
}

// Read implements net.Conn. Bytes that arrive after closeIdle are dropped.
func (c *idleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

func (c *idleConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}
