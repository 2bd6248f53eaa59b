package soak

import (
	"net"
	"sync"
	"time"
)

// copyBuffer is the size in bytes of the buffer of one direction.
const copyBuffer = 16 << 10

// Disturbance is what a Link does to the connections over it.
type Disturbance struct {
	// Delay is added to each piece of data, in both directions.
	Delay time.Duration
	// HoldForward and HoldBack keep data from the dialling and from the listening
	// side until the disturbance ends.
	HoldForward, HoldBack bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Link is a proxy on the loopback address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   Disturbance
	changed chan struct{} // closed at each change of state
	open    map[*net.TCPConn]struct{}
	copies  sync.WaitGroup
}

// NewLink returns a proxy to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), open: make(map[*net.TCPConn]struct{})}
	l.copies.Go(l.accept)
	return l, nil
}

// Address is where the proxy listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Disturb replaces the disturbance; its zero value ends any.
func (l *Link) Disturb(d Disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = d
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset breaks all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.SetLinger(0) // the close then sends a reset
		_ = c.Close()
	}
}

// Close ends the proxy and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Disturb(Disturbance{})
	l.Reset()
	l.copies.Wait()
}

func (l *Link) current() (Disturbance, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		if state, _ := l.current(); state.Refuse {
			_ = c.Close()
			continue
		}
		l.copies.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve carries one connection.
func (l *Link) serve(from *net.TCPConn) {
	defer l.track(from)()
	c, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = from.SetLinger(0) // a refused connection is seen as a reset
		return
	}
	to := c.(*net.TCPConn)
	defer l.track(to)()
	var both sync.WaitGroup
	both.Go(func() { l.carry(from, to, func(d Disturbance) bool { return d.HoldForward }) })
	both.Go(func() { l.carry(to, from, func(d Disturbance) bool { return d.HoldBack }) })
	both.Wait()
}

// track lets Reset reach c until the returned function closes it.
func (l *Link) track(c *net.TCPConn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
		_ = c.Close()
	}
}

// carry copies one direction until it ends. A reset of one side breaks the other.
func (l *Link) carry(from, to *net.TCPConn, held func(Disturbance) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		l.pass(held)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				// The reader's side must learn that nobody takes its data.
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits as the disturbance says.
func (l *Link) pass(held func(Disturbance) bool) {
	state, changed := l.current()
	time.Sleep(state.Delay)
	for held(state) {
		<-changed
		state, changed = l.current()
	}
}
