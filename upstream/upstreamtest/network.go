package upstreamtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Network connects clients to servers by address over net.Pipe. It is safe for
// concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without servers.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// Dial connects to the listener at address. It has the signature of
// net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: fmt.Errorf("no listener at %s", address)}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen opens a listener at address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Serve serves h at address until the test ends and returns the base URL.
func (n *Network) Serve(t testing.TB, address string, h http.Handler) string {
	server := &http.Server{Handler: h}
	l := n.Listen(address)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + address
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return pipeAddr(l.address) }

type pipeAddr string

func (a pipeAddr) Network() string { return "pipe" }
func (a pipeAddr) String() string  { return string(a) }
