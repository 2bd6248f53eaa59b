package faultlink

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// copyBuffer is the size in bytes of the copy buffer of each direction.
const copyBuffer = 16 << 10

// Fault is the fault that a Link injects into its connections. The zero value
// is no fault.
type Fault struct {
	// Delay is added before each chunk of data is forwarded, in both directions.
	Delay time.Duration
	// HoldForward holds data from the client and HoldBack data from the target until
	// the fault ends.
	HoldForward, HoldBack bool
	// Refuse closes new connections at once after they are accepted.
	Refuse bool
}

// Link is a TCP proxy on the loopback address that injects faults. It is safe for
// concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when fault changes
	// conns holds the open connections; those that map to true deliver nothing more.
	conns map[*net.TCPConn]bool
	wg    sync.WaitGroup
}

// New starts a proxy that forwards connections to a target address.
func New(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address on which the proxy listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault of the link.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0) // makes Close send a reset
		_ = c.Close()
	}
}

// Silence makes all open connections deliver nothing more, without closing them. New
// connections work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.conns[c] = true
	}
}

// silenced reports whether a connection delivers nothing.
func (l *Link) silenced(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[c]
}

// Close stops the proxy and closes its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetFault(Fault{})
	l.Reset()
	l.wg.Wait()
}

// current returns the fault and a channel that is closed when the fault changes.
func (l *Link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		if fault, _ := l.current(); fault.Refuse {
			_ = c.Close()
			continue
		}
		l.wg.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve forwards one connection in both directions.
func (l *Link) serve(from *net.TCPConn) {
	defer l.track(from)()
	c, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = from.SetLinger(0) // the client sees the refusal as a reset
		return
	}
	to := c.(*net.TCPConn)
	defer l.track(to)()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(from, to, func(f Fault) bool { return f.HoldForward }) })
	directions.Go(func() { l.copyDirection(to, from, func(f Fault) bool { return f.HoldBack }) })
	directions.Wait()
}

// track adds c to the connections that Reset closes. The returned function removes
// and closes it.
func (l *Link) track(c *net.TCPConn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = false
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
		_ = c.Close()
	}
}

// copyDirection copies data in one direction until that direction is closed. When
// writing fails, it resets the connection from which it reads.
func (l *Link) copyDirection(from, to *net.TCPConn, held func(Fault) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		l.applyFault(held)
		if l.silenced(from) && err == nil {
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				// The sender must learn that its data is no longer delivered.
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			// A receiver of an HTTP response without framing takes a close for its end.
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// applyFault waits for the delay of the fault and for as long as held is true of it.
func (l *Link) applyFault(held func(Fault) bool) {
	fault, changed := l.current()
	time.Sleep(fault.Delay)
	for held(fault) {
		<-changed
		fault, changed = l.current()
	}
}
