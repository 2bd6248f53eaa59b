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
	// AllHosts is the label that matches every host, for Cut, Heal and
	// ResetConnections.
	AllHosts = "*"
	// dialTimeout is how long a dial waits for an unreachable host. It is the
	// timeout of the daemon's default dialer.
	dialTimeout = 2 * time.Second
)

// Host is a machine on the network.
type Host struct {
	// Name is unique on the network.
	Name string
	// Zone is the AvailabilityZone of the host, or another label for Cut.
	Zone string
	// IP is the address of the host.
	IP string

	network *Network
	dead    bool
	frozen  bool
	// killCountdown, when set, kills the host at a later message.
	killCountdown *killCountdown
}

// killCountdown kills a host when it has counted down its messages.
type killCountdown struct {
	remaining int
	killed    chan struct{} // closed when the host is killed
}

// Network carries bytes between hosts. Written bytes are buffered: while the
// traffic between two hosts is cut they wait, and they arrive after Heal, as
// with TCP retransmission. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]*Host     // by IP
	listeners map[string]*listener // by IP and port
	conns     map[*conn]struct{}
	cuts      map[[2]string]bool // pairs of labels, in both orders
	changed   chan struct{}      // closed and replaced at each change of the topology
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

// Cut stops the traffic between the hosts of two labels. A label is the name of
// a host, a zone, or AllHosts.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut with the same labels.
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

// ResetConnections resets the open connections between the hosts of two labels.
// New ones can be made.
func (n *Network) ResetConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.matches(a) && c.remote.matches(b) {
			c.reset()
		}
	}
}

// matches reports whether the label stands for the host.
func (h *Host) matches(label string) bool {
	return label == h.Name || label == h.Zone || label == AllHosts
}

// topologyChanged wakes all blocked dials and reads. n.mu is held.
func (n *Network) topologyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		c.wake()
	}
}

// blocked reports whether a cut or a frozen host stops the traffic between two
// hosts. n.mu is held.
func (n *Network) blocked(a, b *Host) bool {
	if a == b {
		return false
	}
	if a.frozen || b.frozen {
		return true
	}
	for pair := range n.cuts {
		if a.matches(pair[0]) && b.matches(pair[1]) {
			return true
		}
	}
	return false
}

// Freeze stops all traffic to and from a host.
func (n *Network) Freeze(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.frozen = true
	n.topologyChanged()
}

// Thaw ends the freeze of a host. The goroutines of the host kept running, while
// a frozen process would have written nothing, so their writes were dropped.
// Thaw resets the connections on which bytes are missing for that reason.
func (n *Network) Thaw(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.frozen = false
	for c := range n.conns {
		if c.wroteWhileFrozen {
			c.reset()
		}
	}
	n.topologyChanged()
}

// Kill crashes a host: its connections are reset and its listeners are closed.
// Replace puts a new host in its place.
func (n *Network) Kill(h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kill(h)
}

// kill crashes a host that is not dead yet. n.mu is held.
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
	if h.killCountdown != nil {
		close(h.killCountdown.killed)
		h.killCountdown = nil
	}
	n.topologyChanged()
}

// Dead reports whether a host was killed.
func (n *Network) Dead(h *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return h.dead
}

// KillAtMessage kills a host at its count-th message from the time of the call,
// which is then lost. Messages that the host writes and messages written to it
// count. The returned channel is closed when the host is killed.
func (n *Network) KillAtMessage(h *Host, count int) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.killCountdown = &killCountdown{remaining: count, killed: make(chan struct{})}
	return h.killCountdown.killed
}

// CancelKill undoes KillAtMessage. It returns false when the host is dead
// already.
func (n *Network) CancelKill(h *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.killCountdown = nil
	return !h.dead
}

// countMessage counts a message down when KillAtMessage was called for the host,
// and reports whether it killed the host. n.mu is held.
func (n *Network) countMessage(h *Host) bool {
	if h.killCountdown == nil {
		return false
	}
	if h.killCountdown.remaining--; h.killCountdown.remaining > 0 {
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
	// Connections of replaced hosts, which n.hosts does not hold, can be left.
	for c := range n.conns {
		c.reset()
	}
}

// Dial connects h to a listener and has the signature of net.Dialer.DialContext.
// It waits at most dialTimeout for a blocked path. While h is frozen the timeout
// does not expire, because the timers of a frozen process fire only after Thaw.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	for {
		n.mu.Lock()
		l, target := n.listeners[address], n.hostAt(address)
		open := target == nil || !n.blocked(h, target)
		frozen, changed := h.frozen, n.changed
		if open && (h.dead || l == nil) {
			n.mu.Unlock()
			return nil, dialError(fmt.Errorf("connection to %s refused", address))
		}
		if open {
			client, server := n.connect(h, target)
			n.mu.Unlock()
			return l.enqueue(ctx, client, server)
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

// hostAt returns the host of an address, nil when there is none. n.mu is held.
func (n *Network) hostAt(address string) *Host {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return n.hosts[ip]
}
