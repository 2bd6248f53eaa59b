package clientlimit

import (
	"net"
	"sync"
	"time"
)

// NewPeerListener returns a listener that keeps at most a number of connections, whatever their
// protocol. A further one closes the one that has been silent longest: a peer connects again
// with its next message, while a connection that nothing uses stays silent.
func NewPeerListener(of net.Listener, most int) *PeerListener {
	return &PeerListener{Listener: of, most: max(1, most), conns: map[*peerConn]time.Time{}}
}

// PeerListener is a listener for peers.
type PeerListener struct {
	net.Listener

	mu   sync.Mutex
	most int
	// conns holds the time of the last bytes of each connection.
	conns map[*peerConn]time.Time
}

// Accept implements net.Listener.
func (l *PeerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &peerConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.most {
		silent := l.silent()
		delete(l.conns, silent)
		_ = silent.Conn.Close()
	}
	l.conns[c] = time.Now()
	return c, nil
}

// SetMost replaces the number of connections.
func (l *PeerListener) SetMost(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = max(1, most)
}

// silent returns the connection that has been silent longest. The caller must hold l.mu.
func (l *PeerListener) silent() (found *peerConn) {
	for c, last := range l.conns {
		if found == nil || last.Before(l.conns[found]) {
			found = c
		}
	}
	return found
}

// peerConn is a connection of a PeerListener.
type peerConn struct {
	net.Conn
	listener *PeerListener
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if _, open := c.listener.conns[c]; open {
			c.listener.conns[c] = time.Now()
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
