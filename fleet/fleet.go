package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/mirror"
)

const (
	// exchangeInterval is the interval between exchanges with a peer of the same
	// zone.
	exchangeInterval = 150 * time.Millisecond
	// zoneInterval is the interval between exchanges of a VM with a delegate of its zone in
	// a large fleet, where each VM has two of them and each delegate the whole zone.
	zoneInterval = 200 * time.Millisecond
	// crossZoneFactor extends the interval for a VM in another zone, because
	// traffic between zones is charged.
	crossZoneFactor = 2.5
	// silentAfter is the time without an exchange after which both of two VMs
	// initiate one. Before it, only the VM with the lower address does, unless an
	// exchange is urgent.
	silentAfter = 3 * exchangeInterval
	// readerTrustedFor is how long after its last exchange with a store reader a
	// VM does not read the store itself. It is a small part of the 2 s within
	// which a new configuration must be in force.
	readerTrustedFor = 700 * time.Millisecond
	// forgetAfter is the time without contact after which a peer is removed,
	// unless it is a seed.
	forgetAfter = 20 * time.Second
	// fullDigestInterval is the interval between full digests to one peer. Only
	// full digests hold the members and the evidence on rollouts, which are large.
	fullDigestInterval = 700 * time.Millisecond
	// callTimeout bounds one RPC, dialTimeout the time to open a connection.
	callTimeout = 500 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	// maxBackoff bounds the backoff between calls to a peer that does not answer.
	maxBackoff = 2 * time.Second
	// minAcceptBackoff and maxAcceptBackoff bound the pauses after connections of peers that
	// could not be accepted.
	minAcceptBackoff, maxAcceptBackoff = 5 * time.Millisecond, 100 * time.Millisecond
	// membersInterval is how long the computed list of live members is reused.
	membersInterval = 200 * time.Millisecond
	// topologyInterval is how long the computed topology is reused while a peer fails to
	// answer.
	topologyInterval = exchangeInterval / 3
	// serviceName is the name of the RPC service.
	serviceName = "Fleet"
)

// Node provides the state of this VM and receives the state of its peers.
type Node interface {
	// Report returns the state that this VM reports to peers. It holds the
	// evidence on rollouts, and all leaving upstreams and ends of upstreams instead of the
	// newest, if evidence is true.
	Report(evidence bool) Report
	// Tables returns the states of this VM's copies of the store's tables, by table
	// name.
	Tables() map[string]mirror.State
	// Lost reports whether this VM cannot reach the store.
	Lost() bool
	// ApplyReport replaces the last report of a source: one VM, a zone, or all VMs but
	// this one.
	ApplyReport(source string, r Report, now time.Time)
	// ObserveTables receives the states of a peer's copies of the store's tables: they
	// confirm this VM's copies, or newer copies can be fetched.
	ObserveTables(vm string, tables map[string]mirror.State)
	// Table returns the changes of a table since a revision, or the whole table.
	Table(r TableRequest) TableReply
}

// Options configures a Fleet.
type Options struct {
	// Self is this VM; its Age is ignored.
	Self Member
	// Incarnation identifies the process among those of the VM; it is the start
	// time of the process.
	Incarnation int64
	Seeds       []string
	Node        Node
	Log         *zap.Logger
	// MaxReceived bounds the memory, in bytes, for long messages of peers that are being
	// received. Default: 16 MiB.
	MaxReceived int64
}

// peer is the state of the exchanges with another VM.
type peer struct {
	Member
	// lastExchange is the time of the last exchange in either direction,
	// lastRelayed the latest time at which other VMs had information about the
	// peer, and discovered the time at which its address became known.
	lastExchange, lastRelayed, discovered time.Time
	client                                *rpc.Client
	nextExchange                          time.Time
	backoff                               time.Duration
	inExchange                            bool
	// urgent is set if the next exchange is due at once because of a change.
	urgent bool
	// fullDigest is the time of the last full digest to the peer.
	fullDigest time.Time
	// scope is that of the last digest to the peer, and scopeFrom the position of the uses from
	// which the digests have had it. acknowledged is the position up to which the peer knows
	// the uses, 0 if that is not known, and heard that up to which this VM knows the peer's.
	scope                   Scope
	scopeFrom, acknowledged int64
	heard                   NewsMark
	// listed holds the addresses of the members in the last list of the peer.
	listed map[string]bool
}

// cachedReport is the report of this VM at a time.
type cachedReport struct {
	report Report
	at     time.Time
}

// Fleet exchanges digests with the other entry VMs. It is safe for concurrent use.
type Fleet struct {
	opts Options

	mu          sync.Mutex
	peers       map[string]*peer
	conns       map[net.Conn]bool
	reportStore *reportStore
	// own holds the last reports of this VM, without and with evidence.
	own [2]cachedReport
	// received counts the bytes of long messages that are being received, of which there are at
	// most maxReceived.
	received, maxReceived atomic.Int64
	// refused counts the messages that were refused, refusedLoggedAt is the time of the last log
	// line about them in nanoseconds.
	refused         atomic.Uint64
	refusedLoggedAt atomic.Int64
	// wake signals that exchanges are due before the next tick.
	wake chan struct{}
	// members are the VMs that were alive at membersComputedAt, including this one.
	members           []Member
	membersComputedAt time.Time
	// topology is that of the members that were reachable at topologyComputedAt, nil if it
	// is to be computed anew.
	topology           *topology
	topologyComputedAt time.Time
	// peersFail is set if an exchange with one of the members failed last.
	peersFail bool
	roster    roster
	// byName holds the peers by ascending name, nil if they are to be sorted anew.
	byName []*peer
	// partners are the peers with which this VM exchanges digests by the topology partnersIn,
	// which is nil if they are to be found anew.
	partners   []*peer
	partnersIn *topology
}

// New returns a fleet. Run must be called to initiate exchanges, and Serve to
// accept them.
func New(opts Options) *Fleet {
	if opts.MaxReceived == 0 {
		opts.MaxReceived = defaultMaxReceived
	}
	f := &Fleet{opts: opts, peers: map[string]*peer{}, conns: map[net.Conn]bool{}, reportStore: newReportStore(), wake: make(chan struct{}, 1)}
	f.SetMaxReceived(opts.MaxReceived)
	now := time.Now()
	for _, seed := range opts.Seeds {
		f.ensurePeer(seed, now)
	}
	return f
}

// ensurePeer returns the peer at an address, which it adds if it is unknown. It
// returns nil for the address of this VM. The caller must hold f.mu, except in New.
func (f *Fleet) ensurePeer(address string, now time.Time) *peer {
	if address == f.opts.Self.Address {
		return nil
	}
	p := f.peers[address]
	if p == nil {
		p = &peer{Member: Member{Address: address}, discovered: now}
		f.peers[address] = p
		f.byName, f.partnersIn = nil, nil
	}
	return p
}

// handler provides the RPC methods of the service.
type handler struct{ fleet *Fleet }

// Exchange applies the digest of a peer and returns the digest of this VM.
func (h *handler) Exchange(in Digest, out *Digest) error {
	now := time.Now()
	h.fleet.applyDigest(in, now)
	*out = h.fleet.digest(in.From, now)
	return nil
}

// Table returns the changes of a table of this VM, or the whole table.
func (h *handler) Table(in TableRequest, out *TableReply) error {
	*out = h.fleet.opts.Node.Table(in)
	return nil
}

// Serve serves the RPCs of peers until the listener is closed. A connection that cannot be
// accepted, because no descriptor is left or the peer has gone, does not end it.
func (f *Fleet) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &handler{f}); err != nil {
		return oops.Wrap(err)
	}
	backoff := time.Duration(0)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			backoff = min(max(minAcceptBackoff, 2*backoff), maxAcceptBackoff)
			if backoff == minAcceptBackoff {
				f.opts.Log.Warn("peers not accepted", zap.Error(err))
			}
			time.Sleep(backoff)
			continue
		}
		backoff = 0
		f.track(conn, true)
		go func() {
			defer f.track(conn, false)
			server.ServeConn(f.bound(conn))
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

// Close closes all connections.
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

// self returns this VM as a member.
func (f *Fleet) self() Member {
	m := f.opts.Self
	m.Lost = f.opts.Node.Lost()
	return m
}

// SetStopping marks this VM as stopping in all further digests.
func (f *Fleet) SetStopping() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.Self.Stopping = true
}

// digest returns the current digest for a peer.
func (f *Fleet) digest(to Member, now time.Time) Digest {
	f.mu.Lock()
	d := Digest{From: f.self(), Incarnation: f.opts.Incarnation}
	p := f.peers[to.Address]
	fullDigest := false
	if p != nil && now.Sub(p.fullDigest) >= fullDigestInterval {
		p.fullDigest, fullDigest = now, true
	}
	members, topology := f.alive(now), f.reachable(now)
	d.Scope = topology.scope(&d.From, &to)
	own := f.ownReport(fullDigest, now)
	switch d.Scope {
	case OwnScope:
		d.Report = own
		d.Report.Uses, d.Report.Sessions = nil, nil
	case ZoneScope:
		d.Report = f.reportStore.zoneSum(own, fullDigest, now)
	case OthersScope:
		d.Report = f.reportStore.othersSum(own, to.VM, fullDigest, now)
	}
	if fullDigest {
		d.Members = p.unlisted(members, topology, &d.From)
	}
	f.addNews(&d, to.VM, p, now)
	f.mu.Unlock()
	d.Tables = f.opts.Node.Tables()
	return d
}

// addNews adds to a digest the uses that the peer may not know of.
func (f *Fleet) addNews(d *Digest, to string, p *peer, now time.Time) {
	after, since := int64(0), now.Add(-newsWindow)
	if p != nil {
		if p.scope != d.Scope {
			// Digests of the previous scope have left out uses. A position of its own tells the
			// acknowledgements of further digests from theirs.
			f.reportStore.position++
			p.scope, p.acknowledged, p.scopeFrom = d.Scope, 0, f.reportStore.position
		}
		if p.acknowledged > 0 {
			after, since = p.acknowledged, now.Add(-newsLifetime)
		}
		d.Heard = p.heard
	}
	f.reportStore.addNews(&d.Report, d.Scope, to, after, since, now)
	d.NewsTo = f.reportStore.position
}

// ownReport returns the report of this VM, which is at most sumsInterval old. The caller must
// hold f.mu, which is released while the report is made.
func (f *Fleet) ownReport(evidence bool, now time.Time) Report {
	cached := &f.own[0]
	if evidence {
		cached = &f.own[1]
	}
	if now.Sub(cached.at) < sumsInterval {
		return cached.report
	}
	f.mu.Unlock()
	r := f.opts.Node.Report(evidence)
	f.mu.Lock()
	r.Leaving = r.Leaving[:min(len(r.Leaving), maxDigestLeaving)]
	f.reportStore.recordUses("", &r, now)
	*cached = cachedReport{report: r, at: now}
	return r
}

// source names the VM or group of VMs whose report a digest holds.
func (d *Digest) source() string {
	switch d.Scope {
	case ZoneScope:
		return zonePrefix + d.From.AvailabilityZone
	case OthersScope:
		return "others"
	}
	return incarnationName(d.From.VM, d.Incarnation)
}

func incarnationName(vm string, incarnation int64) string {
	return vm + "@" + strconv.FormatInt(incarnation, 36)
}

func (f *Fleet) applyDigest(d Digest, now time.Time) {
	f.mu.Lock()
	if p := f.ensurePeer(d.From.Address, now); p != nil {
		if !p.alive(now) {
			f.opts.Log.Info("peer regained", zap.String("peer", d.From.VM), zap.String("address", d.From.Address))
		}
		if p.backoff > 0 {
			f.topology = nil
		}
		f.setMember(p, d.From)
		p.lastExchange, p.backoff = now, 0
		p.setListed(d.Members)
		p.heard = NewsMark{Incarnation: d.Incarnation, To: d.NewsTo}
		switch {
		case d.Heard.Incarnation != f.opts.Incarnation:
			// The peer has not received a digest of this process.
			p.acknowledged = 0
		case d.Heard.To >= p.scopeFrom:
			p.acknowledged = d.Heard.To
		}
	}
	for _, m := range d.Members {
		f.recordRelayed(m, now)
	}
	f.reportStore.record(d, incarnationName(d.From.VM, d.Incarnation), f.opts.Self.AvailabilityZone, now)
	f.mu.Unlock()
	f.opts.Node.ApplyReport(d.source(), d.Report, now)
	f.opts.Node.ObserveTables(d.From.VM, d.Tables)
}
