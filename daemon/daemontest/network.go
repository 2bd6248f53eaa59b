package daemontest

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// Everyone stands for all other hosts in Cut and Heal.
	Everyone = "*"
	// dialTimeout is that of the daemon's default dialer.
	dialTimeout = 2 * time.Second
)

// Host is a machine on the network.
type Host struct {
	// Name is unique on the network.
	Name string
	// Zone is its AvailabilityZone, or another label that Cut accepts.
	Zone string
	// IP is its address.
	IP string

	network *Network
	dead    bool
	frozen  bool
	// doom kills the host at a later message.
	doom *doom
}

// doom counts the messages of a host down to its end.
type doom struct {
	left   int
	killed chan struct{}
}

// Network carries bytes between hosts. Written bytes are buffered: while the
// traffic between two hosts is cut they wait, and they arrive when it is
// healed, as with TCP. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]*Host // by IP
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cuts      map[[2]string]bool
	changed   chan struct{} // closed at each change of the topology
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts:     make(map[string]*Host),
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cuts:      make(map[[2]string]bool),
		changed:   make(chan struct{}),
	}
}

// NewHost adds a host.
func (n *Network) NewHost(name, zone string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	number := len(n.hosts) + 1
	h := &Host{Name: name, Zone: zone, IP: fmt.Sprintf("10.0.%d.%d", number/250, number%250+1), network: n}
	n.hosts[h.IP] = h
	return h
}

// Replace adds a host with the name, zone and address of a dead one.
func (n *Network) Replace(old *Host) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{Name: old.Name, Zone: old.Zone, IP: old.IP, network: n}
	n.hosts[h.IP] = h
	return h
}

// Cut stops the traffic between two labels: names of hosts, zones, or Everyone.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	n.topologyChanged()
}

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = true, true
	} else {
		delete(n.cuts, [2]string{a, b})
		delete(n.cuts, [2]string{b, a})
	}
	n.topologyChanged()
}

// Break resets the connections between two labels; new ones can be made.
func (n *Network) Break(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.is(a) && c.remote.is(b) {
			c.reset()
		}
	}
}

// is tells whether the label means the host.
func (h *Host) is(label string) bool {
	return label == h.Name || label == h.Zone || label == Everyone
}

// topologyChanged wakes everything that waits for a path. n.mu is held.
func (n *Network) topologyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		c.wake()
	}
}

// blocked tells whether bytes between two hosts wait. n.mu is held.
func (n *Network) blocked(a, b *Host) bool {
	if a == b {
		return false
	}
	if a.frozen || b.frozen {
		return true
	}
	for pair := range n.cuts {
		if a.is(pair[0]) && b.is(pair[1]) {
			return true
		}
	}
	return false
}

// Freeze stops a host: nothing reaches it and nothing leaves it.
func (n *Network) Freeze(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.frozen = true
	n.topologyChanged()
}

// Thaw lets a frozen host go on. The goroutines of the host have run in the
// meantime, while a frozen process writes nothing; the connections that they
// wrote to are therefore reset without a byte having been transmitted.
func (n *Network) Thaw(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.frozen = false
	for c := range n.conns {
		if c.tainted {
			c.reset()
		}
	}
	n.topologyChanged()
}

// Kill ends a host for good: its connections are reset and its listeners are
// closed.
func (n *Network) Kill(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kill(h)
}

func (n *Network) kill(h *Host) {
	if h.dead {
		return
	}
	h.dead = true
	for c := range n.conns {
		if c.local == h || c.remote == h {
			c.reset()
		}
	}
	for address, l := range n.listeners {
		if l.host == h {
			delete(n.listeners, address)
			l.close()
		}
	}
	if h.doom != nil {
		close(h.doom.killed)
		h.doom = nil
	}
	n.topologyChanged()
}

// Dead tells whether a host was killed.
func (n *Network) Dead(h *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return h.dead
}

// KillAtMessage kills a host instead of letting the message number count from
// now through, counting those that it writes and those written to it. The
// returned channel is closed at its end.
func (n *Network) KillAtMessage(h *Host, count int) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.doom = &doom{left: count, killed: make(chan struct{})}
	return h.doom.killed
}

// Spare undoes KillAtMessage. It reports false when the host is dead.
func (n *Network) Spare(h *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.doom = nil
	return !h.dead
}

// meet counts a message of a doomed host and reports whether that killed it.
// n.mu is held.
func (n *Network) meet(h *Host) bool {
	if h.doom == nil {
		return false
	}
	if h.doom.left--; h.doom.left > 0 {
		return false
	}
	n.kill(h)
	return true
}

// Close resets all connections and closes all listeners.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	for _, h := range n.hosts {
		h.frozen = false
		n.kill(h)
	}
	// Connections can be left of hosts that were replaced.
	for c := range n.conns {
		c.reset()
	}
}

// Dial connects h to a listener; it has the type of net.Dialer.DialContext.
// While the path is cut it waits, at most dialTimeout. The time of a frozen host
// does not count, because its timers expire only after the thaw.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	for {
		n.mu.Lock()
		l, target := n.listeners[address], n.targetOf(address)
		open := target == nil || !n.blocked(h, target)
		frozen, changed := h.frozen, n.changed
		if open && (h.dead || l == nil) {
			n.mu.Unlock()
			return nil, dialError(fmt.Errorf("connection to %s refused", address))
		}
		if open {
			client, server := n.connect(h, target)
			n.mu.Unlock()
			return l.offer(ctx, client, server)
		}
		n.mu.Unlock()
		expired := timeout.C
		if frozen {
			expired = nil
		}
		select {
		case <-changed:
		case <-expired:
			return nil, dialError(os.ErrDeadlineExceeded)
		case <-ctx.Done():
			return nil, dialError(ctx.Err())
		}
	}
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

func (n *Network) targetOf(address string) *Host {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return n.hosts[ip]
}
