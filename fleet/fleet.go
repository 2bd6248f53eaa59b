package fleet

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// interval is the pause between two exchanges with a peer in a small fleet.
	interval = 150 * time.Millisecond
	// perPeer bounds the exchanges of a VM in a large fleet: the interval grows
	// with the number of peers, so that each VM makes at most about 60 a second.
	perPeer = 16 * time.Millisecond
	// farFactor is how much longer the interval is to a VM in another zone, because
	// bytes between zones are paid for.
	farFactor = 2.5
	// silentAfter is the time without an exchange after which the higher of two
	// VMs also calls the lower one; usually only the lower one calls.
	silentAfter = 5 * interval
	// aliveFor is the time after its last exchange for which a peer counts as alive.
	aliveFor = 1600 * time.Millisecond
	// forgetAfter is the time after which an address that never answers is dropped.
	forgetAfter = 20 * time.Second
	// callTimeout bounds one exchange, dialTimeout a new connection.
	callTimeout = 600 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// maxBackoff bounds the pause between calls to a peer that does not answer.
	maxBackoff = 2 * time.Second
	// serviceName is the name of the calls.
	serviceName = "Fleet"
)

// Node is the VM that takes part.
type Node interface {
	// Digest returns what the VM tells its peers now, with the evidence on
	// rollouts if asked for.
	Digest(evidence bool) Digest
	// Take takes over what a peer told.
	Take(d Digest, now time.Time)
	// Table returns a copy of a table if it is newer.
	Table(r TableRequest) TableReply
}

// Options configures a Fleet.
type Options struct {
	// VM, AvailabilityZone and Address are those of this VM.
	VM, AvailabilityZone, Address string
	Seeds                         []string
	Node                          Node
	Log                           *zap.Logger
}

// peer is what is known of another VM.
type peer struct {
	address  string
	vm, zone string
	// heard is the last exchange in either direction, found when the address
	// was first known.
	heard, found time.Time
	stopping     bool
	client       *rpc.Client
	next         time.Time
	backoff      time.Duration
	busy         bool
	// evidence is when the evidence on rollouts was told last.
	evidence time.Time
}

// Fleet exchanges digests with peers. It is safe for concurrent use.
type Fleet struct {
	o Options

	mu    sync.Mutex
	peers map[string]*peer
	conns map[net.Conn]bool
}

// New returns a fleet that does nothing until Run and Serve.
func New(o Options) *Fleet {
	f := &Fleet{o: o, peers: map[string]*peer{}, conns: map[net.Conn]bool{}}
	now := time.Now()
	for _, seed := range o.Seeds {
		f.find(seed, now)
	}
	return f
}

// find adds an address that is not known yet.
func (f *Fleet) find(address string, now time.Time) *peer {
	if address == f.o.Address {
		return nil
	}
	p := f.peers[address]
	if p == nil {
		p = &peer{address: address, found: now}
		f.peers[address] = p
	}
	return p
}

// handler is the object whose methods peers call.
type handler struct{ f *Fleet }

// Exchange takes the digest of a peer and returns that of this VM.
func (h *handler) Exchange(in Digest, out *Digest) error {
	h.f.take(in)
	*out = h.f.digest(in.Address)
	return nil
}

// Table returns a copy of a table.
func (h *handler) Table(in TableRequest, out *TableReply) error {
	*out = h.f.o.Node.Table(in)
	return nil
}

// Serve answers peers until the listener is closed.
func (f *Fleet) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &handler{f}); err != nil {
		return oops.Wrap(err)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		f.track(conn, true)
		go func() {
			defer f.track(conn, false)
			server.ServeConn(conn)
		}()
	}
}

func (f *Fleet) track(conn net.Conn, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open {
		f.conns[conn] = true
	} else {
		delete(f.conns, conn)
	}
}

// Close ends all connections.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.Close()
	}
	for _, p := range f.peers {
		if p.client != nil {
			_ = p.client.Close()
		}
	}
}

// evidenceEvery is the pause between two digests with evidence on rollouts to
// one peer: evidence is long and is needed within seconds only.
const evidenceEvery = 700 * time.Millisecond

// digest is the node's digest for a peer, with the addresses of the peers that
// are alive.
func (f *Fleet) digest(address string) Digest {
	now := time.Now()
	f.mu.Lock()
	var peers []string
	for _, p := range f.peers {
		if p.alive(now) {
			peers = append(peers, p.address)
		}
	}
	p := f.peers[address]
	evidence := p != nil && now.Sub(p.evidence) >= evidenceEvery
	if evidence {
		p.evidence = now
	} else {
		peers = nil
	}
	f.mu.Unlock()
	d := f.o.Node.Digest(evidence)
	d.VM, d.AvailabilityZone, d.Address, d.Peers = f.o.VM, f.o.AvailabilityZone, f.o.Address, peers
	return d
}

func (p *peer) alive(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < aliveFor
}

// take notes that a peer is alive and hands its digest to the node.
func (f *Fleet) take(d Digest) {
	now := time.Now()
	f.mu.Lock()
	if p := f.find(d.Address, now); p != nil {
		if !p.alive(now) {
			f.o.Log.Info("peer regained", zap.String("peer", d.VM), zap.String("address", d.Address))
		}
		p.vm, p.zone, p.heard, p.stopping, p.backoff = d.VM, d.AvailabilityZone, now, d.Stopping, 0
	}
	for _, address := range d.Peers {
		f.find(address, now)
	}
	f.mu.Unlock()
	f.o.Node.Take(d, now)
}

// Alive returns the names of the VMs that are alive and not stopping, with this
// one, in order.
func (f *Fleet) Alive(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{f.o.VM}
	for _, p := range f.peers {
		if p.alive(now) && !p.stopping {
			names = append(names, p.vm)
		}
	}
	slices.Sort(names)
	return names
}

// Run calls peers until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(interval / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			f.Close()
			return
		case now := <-tick.C:
			for _, p := range f.due(now) {
				go f.exchange(p)
			}
		}
	}
}

// due returns the peers to be called now and marks them as busy.
func (f *Fleet) due(now time.Time) []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := max(interval, time.Duration(len(f.peers))*perPeer)
	var list []*peer
	for address, p := range f.peers {
		if p.busy || now.Before(p.next) {
			continue
		}
		if p.heard.IsZero() && now.Sub(p.found) > forgetAfter || !p.heard.IsZero() && now.Sub(p.heard) > forgetAfter {
			if !slices.Contains(f.o.Seeds, address) {
				delete(f.peers, address)
				continue
			}
		}
		if f.o.Address > address && now.Sub(p.heard) < silentAfter {
			continue
		}
		wait := pause
		if p.zone != f.o.AvailabilityZone {
			wait = time.Duration(farFactor * float64(pause))
		}
		p.busy, p.next = true, now.Add(max(wait, p.backoff))
		list = append(list, p)
	}
	return list
}

// exchange makes one exchange with a peer.
func (f *Fleet) exchange(p *peer) {
	var reply Digest
	err := f.call(p, "Exchange", f.digest(p.address), &reply)
	if err == nil {
		f.take(reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.busy = false
	if err == nil {
		return
	}
	if p.backoff == 0 {
		f.o.Log.Info("peer lost", zap.String("peer", p.vm), zap.String("address", p.address), zap.Error(err))
	}
	p.backoff = min(maxBackoff, max(interval, 2*p.backoff))
	p.next = time.Now().Add(p.backoff)
}

// errNoAnswer says that a peer did not answer in time.
var errNoAnswer = errors.New("peer did not answer in time")

// call makes one call over the kept connection and drops it on failure.
func (f *Fleet) call(p *peer, method string, in, out any) error {
	client, err := f.client(p)
	if err != nil {
		return err
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	done := client.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1)).Done
	select {
	case c := <-done:
		err = c.Error
	case <-timer.C:
		err = errNoAnswer
	}
	if err != nil {
		f.mu.Lock()
		if p.client == client {
			p.client = nil
		}
		f.mu.Unlock()
		_ = client.Close()
	}
	return err
}

func (f *Fleet) client(p *peer) (*rpc.Client, error) {
	f.mu.Lock()
	client := p.client
	f.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := net.DialTimeout("tcp4", p.address, dialTimeout)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	client = rpc.NewClient(conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.client = client
	return client, nil
}

// FetchTable asks a peer that is alive for a copy of a table.
func (f *Fleet) FetchTable(vm string, r TableRequest) (TableReply, error) {
	f.mu.Lock()
	var from *peer
	for _, p := range f.peers {
		if p.vm == vm && p.alive(time.Now()) {
			from = p
		}
	}
	f.mu.Unlock()
	if from == nil {
		return TableReply{}, oops.Errorf("peer %q is not alive", vm)
	}
	var reply TableReply
	err := f.call(from, "Table", r, &reply)
	return reply, err
}
