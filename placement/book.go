package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// peerLoadLifetime is the age at which what a peer last told is dropped;
	// peers tell every 100 ms to 300 ms.
	peerLoadLifetime = 1500 * time.Millisecond
	// prefillPerSecond is the prior of the prompt tokens that an engine reads in
	// a second with the smallest model. The speed of each engine is learned.
	prefillPerSecond = 150_000.0
	// paceStep is the prior ratio of the engine time of one model to that of the
	// next smaller one.
	paceStep = 3.0
	// firstEventFloor is the part of the first-event latency that does not depend
	// on the prompt: network, one step and the engine's set-up.
	firstEventFloor = 0.03
	// runningDrag is the share by which each stream that an engine generates
	// slows the reading of prompts.
	runningDrag = 0.02
)

// Load is what an upstream has in flight for one VM.
type Load struct {
	// Calls counts calls that have not ended.
	Calls int
	// PrefillSeconds is the predicted engine time, in seconds at the prior speed, of the
	// prompts that have no first event yet.
	PrefillSeconds float64
	// Running counts streams that have their first event, weighted by the engine
	// time of their model.
	Running float64
}

func (l *Load) add(o Load) {
	l.Calls += o.Calls
	l.PrefillSeconds += o.PrefillSeconds
	l.Running += o.Running
}

// entry is the state of one upstream.
type entry struct {
	Upstream
	own    Load
	peers  Load
	speed  speed
	health health
	// cached tells when a prompt part was last read for a model.
	cached map[cacheKey]time.Time
	// unregistered is when the registration disappeared, zero while it stands.
	unregistered time.Time
	// heard is when the last byte came from the upstream.
	heard time.Time
}

type cacheKey struct {
	model string
	part  string
}

type peerState struct {
	at    time.Time
	loads map[string]Load
}

// Options configures a Book.
type Options struct {
	// AvailabilityZone is that of this VM.
	AvailabilityZone string
	// CacheLifetime is the age at which a prefix that was read no longer counts
	// as kept.
	CacheLifetime time.Duration
	// LapseGrace is how long an upstream whose registration disappeared serves as
	// a last resort. Registrations that lapsed during an outage of the store
	// return within two seconds. Default: DefaultLapseGrace.
	LapseGrace time.Duration
}

// DefaultLapseGrace is below the two seconds for which an upstream that left may
// be sent work.
const DefaultLapseGrace = 1500 * time.Millisecond

// Balancer holds the state of all upstreams. It is safe for concurrent use.
type Balancer struct {
	o Options

	mu      sync.Mutex
	entries map[string]*entry
	service map[string][]*entry
	peers   map[string]peerState
	uses    []cacheEvent
	zones   map[string]*zone
	// listed is when the list of upstreams last changed.
	listed time.Time
}

// NewBalancer returns an empty book.
func NewBalancer(o Options) *Balancer {
	if o.CacheLifetime == 0 {
		o.CacheLifetime = 10 * time.Second
	}
	if o.LapseGrace == 0 {
		o.LapseGrace = DefaultLapseGrace
	}
	return &Balancer{
		o: o, entries: map[string]*entry{}, service: map[string][]*entry{},
		peers: map[string]peerState{}, zones: map[string]*zone{},
	}
}

// SetUpstreams replaces the registered upstreams.
func (b *Balancer) SetUpstreams(list []Upstream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = now
	registered := make(map[string]bool, len(list))
	for _, u := range list {
		registered[u.ID] = true
		e := b.entries[u.ID]
		if e == nil || e.Incarnation != u.Incarnation || e.Address != u.Address {
			e = &entry{cached: map[cacheKey]time.Time{}}
			b.entries[u.ID] = e
		}
		e.Upstream, e.unregistered = u, time.Time{}
	}
	for id, e := range b.entries {
		if registered[id] {
			continue
		}
		if e.unregistered.IsZero() {
			e.unregistered = now
		}
		if e.own.Calls == 0 && now.Sub(e.unregistered) > unregisteredKept {
			delete(b.entries, id)
		}
	}
	b.index()
}

// unregisteredKept is how long the state of an upstream that is no longer
// registered is kept; lapsed registrations return within seconds.
const unregisteredKept = 30 * time.Second

func (b *Balancer) index() {
	clear(b.service)
	for _, e := range b.entries {
		b.service[e.Service] = append(b.service[e.Service], e)
	}
}

// Registered reports whether an upstream is registered and takes new work.
func (b *Balancer) Registered(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	return e != nil && e.unregistered.IsZero() && !e.Draining
}

// Releases counts the registered upstreams of a service by release.
func (b *Balancer) Releases(service string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, e := range b.service[service] {
		if e.unregistered.IsZero() && !e.Draining {
			out[e.Release]++
		}
	}
	return out
}

// SetPeer replaces what a peer has in flight.
func (b *Balancer) SetPeer(vm string, loads map[string]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[vm] = peerState{at: now, loads: loads}
	b.sumPeers(now)
}

// sumPeers adds up the loads of the peers that were heard of lately.
func (b *Balancer) sumPeers(now time.Time) {
	for _, e := range b.entries {
		e.peers = Load{}
	}
	for vm, p := range b.peers {
		if now.Sub(p.at) > peerLoadLifetime {
			delete(b.peers, vm)
			continue
		}
		for id, l := range p.loads {
			if e := b.entries[id]; e != nil {
				e.peers.add(l)
			}
		}
	}
}

// Loads returns what this VM has in flight, by upstream.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, e := range b.entries {
		if e.own.Calls > 0 {
			out[id] = e.own
		}
	}
	return out
}

// InFlight returns the calls of all VMs at the upstreams of a service that run
// the release, or any other release when other is set.
func (b *Balancer) InFlight(service, release string, other bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.service[service] {
		if (e.Release == release) != other {
			n += e.own.Calls + e.peers.Calls
		}
	}
	return n
}

// readingSeconds predicts the engine time of reading tokens with a model, at
// the prior speed. rank is the place of the model among those of the service,
// smallest first.
func readingSeconds(tokens float64, rank int) float64 {
	return tokens / prefillPerSecond * math.Pow(paceStep, float64(rank))
}

// Usable reports whether a call may still be sent to an upstream that was
// chosen a moment ago.
func (b *Balancer) Usable(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	return e != nil && !e.Draining && (e.unregistered.IsZero() || now.Sub(e.unregistered) < b.o.LapseGrace)
}

// Alternatives counts the upstreams of a service, other than one, that may take
// a call of an allowed release now.
func (b *Balancer) Alternatives(service, other string, allow func(string) bool, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &Query{Allow: allow, Now: now}
	n := 0
	for _, e := range b.service[service] {
		if e.ID != other && b.usable(e, q, false) && !b.zones[e.AvailabilityZone].suspect(now) {
			n++
		}
	}
	return n
}
