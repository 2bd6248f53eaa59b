package clientlimit

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

// NewPeerListener returns a listener that keeps at most a number of connections, whatever their
// protocol. A further one closes the one that has been silent longest, of those that are not
// confirmed if there are any: a peer connects again with its next message, while a connection
// that nothing uses stays silent.
func NewPeerListener(of net.Listener, most int, log *zap.Logger) *PeerListener {
	return &PeerListener{Listener: of, log: log, most: max(1, most), conns: map[*peerConn]time.Time{}}
}

// PeerListener is a listener for peers.
type PeerListener struct {
	net.Listener
	log *zap.Logger

	mu   sync.Mutex
	most int
	// closed counts the connections that were closed for others, confirmed those of peers.
	closed, confirmed uint64
	nextReport        time.Time
	// conns holds the time of the last bytes of each connection.
	conns map[*peerConn]time.Time
}

// ConfirmPeer records that a connection of a PeerListener is one of a peer. It has no effect on
// others.
func ConfirmPeer(of net.Conn) {
	c, ok := of.(*peerConn)
	if !ok {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.confirmed = true
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
		l.report(silent, time.Now())
	}
	l.conns[c] = time.Now()
	return c, nil
}

// report counts and logs a connection that was closed for another one. The caller must hold
// l.mu.
func (l *PeerListener) report(c *peerConn, now time.Time) {
	l.closed++
	if c.confirmed {
		l.confirmed++
	}
	if now.Before(l.nextReport) {
		return
	}
	l.nextReport = now.Add(logInterval)
	l.log.Warn("no room for connections of peers", zap.Uint64("closed", l.closed), zap.Uint64("confirmed", l.confirmed), zap.Int("most", l.most))
}

// PeerUsage is what a PeerListener holds, and what it has closed for others since its start.
type PeerUsage struct {
	Connections       int
	Closed, Confirmed uint64
}

// Usage returns what the listener holds and has closed.
func (l *PeerListener) Usage() PeerUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return PeerUsage{len(l.conns), l.closed, l.confirmed}
}

// SetMost replaces the number of connections.
func (l *PeerListener) SetMost(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = max(1, most)
}

// silent returns the connection that has been silent longest, of those that are not confirmed
// if there are any. The caller must hold l.mu.
func (l *PeerListener) silent() (found *peerConn) {
	for c, last := range l.conns {
		switch {
		case found == nil, found.confirmed && !c.confirmed:
			found = c
		case found.confirmed == c.confirmed && last.Before(l.conns[found]):
			found = c
		}
	}
	return found
}

// peerConn is a connection of a PeerListener.
type peerConn struct {
	net.Conn
	listener *PeerListener
	// confirmed is set once a peer has shown that the connection is its own. It is guarded by
	// the mutex of the listener.
	confirmed bool
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
