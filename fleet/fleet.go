package fleet

import (
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// interval is the pause between two exchanges with a peer of the same zone.
	interval = 150 * time.Millisecond
	// farFactor is how much longer the interval is to a VM in another zone, because
	// bytes between zones are paid for.
	farFactor = 2.5
	// silentAfter is the time without an exchange after which the higher of two
	// VMs also calls the lower one; usually only the lower one calls.
	silentAfter = 3 * interval
	// confirmedFor is how long a VM that does not read the store trusts the last
	// exchange with one that does. It is a small part of the time in which a
	// configuration must be in force (2 s).
	confirmedFor = 700 * time.Millisecond
	// forgetAfter is the time after which an address that never answers is dropped.
	forgetAfter = 20 * time.Second
	// fullEvery is the pause between two digests to one peer that also hold the
	// members and the evidence on rollouts, which are long.
	fullEvery = 700 * time.Millisecond
	// callTimeout bounds one exchange, dialTimeout a new connection.
	callTimeout = 500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// maxBackoff bounds the pause between calls to a peer that does not answer.
	maxBackoff = 2 * time.Second
	// membersEvery is the pause between two computations of who talks to whom.
	membersEvery = 200 * time.Millisecond
	// serviceName is the name of the calls.
	serviceName = "Fleet"
)

// Node is the VM that takes part.
type Node interface {
	// Report returns what the VM has in flight and has seen.
	Report(evidence bool) Report
	// Revisions returns those of the copies of the store's tables, by table.
	Revisions() map[string]int64
	// Lost reports whether the VM cannot reach the store.
	Lost() bool
	// ApplyReport takes over the report of a source: a VM, a zone or all others.
	ApplyReport(source string, r Report, now time.Time)
	// ObserveRevisions is told the revisions of a peer.
	ObserveRevisions(vm string, revisions map[string]int64)
	// Table returns what is newer in a table.
	Table(r TableRequest) TableReply
}

// Options configures a Fleet.
type Options struct {
	// Self is this VM; its Age is ignored.
	Self Member
	// Incarnation is the start of the process.
	Incarnation int64
	Seeds       []string
	Node        Node
	Log         *zap.Logger
}

// peer is what is known of another VM.
type peer struct {
	Member
	// heard is the last exchange in either direction, relayed the last time that
	// another VM has heard of it, found when the address was first known.
	heard, relayed, found time.Time
	client                *rpc.Client
	next                  time.Time
	backoff               time.Duration
	busy                  bool
	// kicked says that a change is to be told at once.
	kicked bool
	// full is when a full digest was sent last.
	full time.Time
}

// Fleet exchanges digests with peers. It is safe for concurrent use.
type Fleet struct {
	o Options

	mu    sync.Mutex
	peers map[string]*peer
	conns map[net.Conn]bool
	board *board
	// wake tells that exchanges are due before the next tick.
	wake chan struct{}
	// members are the VMs that are alive, with this one, as of membersAt.
	members   []Member
	membersAt time.Time
}

// New returns a fleet that does nothing until Run and Serve.
func New(o Options) *Fleet {
	f := &Fleet{o: o, peers: map[string]*peer{}, conns: map[net.Conn]bool{}, board: newBoard(), wake: make(chan struct{}, 1)}
	now := time.Now()
	for _, seed := range o.Seeds {
		f.find(seed, now)
	}
	return f
}

// find adds an address that is not known yet.
func (f *Fleet) find(address string, now time.Time) *peer {
	if address == f.o.Self.Address {
		return nil
	}
	p := f.peers[address]
	if p == nil {
		p = &peer{Member: Member{Address: address}, found: now}
		f.peers[address] = p
	}
	return p
}

// handler is the object whose methods peers call.
type handler struct{ f *Fleet }

// Exchange takes the digest of a peer and returns that of this VM.
func (h *handler) Exchange(in Digest, out *Digest) error {
	h.f.take(in)
	*out = h.f.digest(in.From)
	return nil
}

// Table returns what is newer in a table.
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

// self is this VM as peers see it.
func (f *Fleet) self() Member {
	m := f.o.Self
	m.Lost = f.o.Node.Lost()
	return m
}

// SetStopping tells peers that this VM stops.
func (f *Fleet) SetStopping() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.o.Self.Stopping = true
}

// digest is what this VM tells a peer now.
func (f *Fleet) digest(to Member) Digest {
	now := time.Now()
	f.mu.Lock()
	d := Digest{From: f.self(), Incarnation: f.o.Incarnation}
	full := false
	if p := f.peers[to.Address]; p != nil && now.Sub(p.full) >= fullEvery {
		p.full, full = now, true
	}
	members, reachable := f.alive(now), f.reachable(now)
	f.mu.Unlock()
	own := f.o.Node.Report(full)
	d.Revisions = f.o.Node.Revisions()
	d.Scope = scope(reachable, d.From, to)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch d.Scope {
	case OwnScope:
		d.Report = own
	case ZoneScope:
		d.Report = f.board.zoneSum(own, full, now)
	case OthersScope:
		d.Report = f.board.othersSum(own, to.VM, full, now)
	}
	if full {
		d.Members = members
	}
	return d
}

// source names whose report a digest holds.
func (d *Digest) source() string {
	switch d.Scope {
	case ZoneScope:
		return "zone/" + d.From.AvailabilityZone
	case OthersScope:
		return "others"
	}
	return incarnationName(d.From.VM, d.Incarnation)
}

// incarnationName names one incarnation of a VM.
func incarnationName(vm string, incarnation int64) string {
	return vm + "@" + strconv.FormatInt(incarnation, 36)
}

// take takes over the digest of a peer.
func (f *Fleet) take(d Digest) {
	now := time.Now()
	f.mu.Lock()
	if p := f.find(d.From.Address, now); p != nil {
		if !p.alive(now) {
			f.o.Log.Info("peer regained", zap.String("peer", d.From.VM), zap.String("address", d.From.Address))
		}
		p.Member, p.heard, p.backoff = d.From, now, 0
	}
	for _, m := range d.Members {
		f.relay(m, now)
	}
	f.board.put(d, incarnationName(d.From.VM, d.Incarnation), f.o.Self.AvailabilityZone, now)
	f.mu.Unlock()
	f.o.Node.ApplyReport(d.source(), d.Report, now)
	f.o.Node.ObserveRevisions(d.From.VM, d.Revisions)
}
