package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryshift/savoryshift/admission"
)

const (
	// peerLoadLifetime is the age at which the last load report of a peer expires.
	// Peers report every 100 ms to 300 ms.
	peerLoadLifetime = 1500 * time.Millisecond
	// prefillTokensPerSecond is the assumed prefill rate of an engine for the
	// smallest model. The deviation of each engine from it is learned.
	prefillTokensPerSecond = 150_000.0
	// modelCostRatio is the assumed ratio between the engine time per token of a
	// model and that of the next smaller model.
	modelCostRatio = 3.0
	// firstEventFloor is the part of the first-event latency, in seconds, that does
	// not depend on the prompt: network, one decoding step and engine set-up.
	firstEventFloor = 0.03
	// runningSlowdown is the fraction by which each stream that an engine is
	// generating slows down its prefill.
	runningSlowdown = 0.02
)

// Load describes the calls that one VM has in flight at an upstream.
type Load struct {
	// Calls counts calls that have not ended.
	Calls int
	// PrefillSeconds is the predicted prefill time of the calls without a first event, in
	// seconds of an engine with the assumed prefill rate.
	PrefillSeconds float64
	// Running counts the streams that have had their first event, weighted by the
	// engine time of their model.
	Running float64
	// Streams counts the calls that have had their first event. Paused is the sum over them
	// of the level of the upstream's pauses, see admission.Pauses.
	Streams int
	Paused  float64
	// Tokens counts the prompt tokens and the expected generated tokens of the calls, which
	// take memory of the engine.
	Tokens int
}

func (l *Load) add(o Load) {
	l.Calls += o.Calls
	l.PrefillSeconds += o.PrefillSeconds
	l.Running += o.Running
	l.Streams += o.Streams
	l.Paused += o.Paused
	l.Tokens += o.Tokens
}

// subtract takes off a load that was added. Without calls nothing is left, not even what the
// addition of fractions has rounded.
func (l *Load) subtract(o Load) {
	l.add(o.negated())
	if l.Calls == 0 {
		*l = Load{}
	}
}

type upstreamState struct {
	// The first fields are those that each choice reads of all upstreams.
	own   Load
	peers Load
	// held is what the upstream is believed to hold of the prompt of the current query, and
	// hash orders the upstreams for a prompt part.
	held     heldPrompt
	hash     uint64
	slowness slowness
	pauses   admission.Pauses
	health   health
	// notices are those of the registered instance, nil if there are none.
	notices *notices
	cold    *coldState
	// zone is the state of the availability zone.
	zone *zone
	// evacuated is set while the availability zone of the upstream is evacuated.
	evacuated bool
	// dropped is set once another instance has taken the place of the upstream, or its state
	// has been removed.
	dropped bool
	// unregisteredAt is the earliest time at which the registration may have
	// disappeared, zero while the upstream is registered.
	unregisteredAt time.Time
	Upstream
	// since is the time at which this VM learned of the instance, zero if it was in the first
	// list.
	since time.Time
	// lastByteAt is the time at which this VM last received a byte from the
	// upstream.
	lastByteAt time.Time
	// unconnectableAt is the time at which this VM last failed to open a connection to
	// the upstream.
	unconnectableAt time.Time
	// probedAt is the time at which this VM last probed the upstream.
	probedAt time.Time
}

type peerState struct {
	receivedAt time.Time
	loads      map[string]Load
}

// Options configures a Balancer.
type Options struct {
	// AvailabilityZone is the zone of this VM.
	AvailabilityZone string
	// CacheLifetime is the time after its last prefill at which a prompt part is
	// assumed to have left the cache of the upstream. Default: 10 s.
	CacheLifetime time.Duration
	// LapseGrace is how long an upstream whose registration disappeared may still
	// be chosen when no other upstream is left. Registrations that lapsed during
	// an outage of the store return within two seconds. Default:
	// DefaultLapseGrace.
	LapseGrace time.Duration
	// MaxHeld bounds the uses of prompt parts that are known, one for each part and upstream,
	// because clients choose the parts. Default: DefaultMaxHeld.
	MaxHeld int
}

// DefaultMaxHeld is the default of Options.MaxHeld.
const DefaultMaxHeld = 1 << 17

// DefaultLapseGrace is less than the two seconds after deregistration within
// which an upstream may still be sent calls.
const DefaultLapseGrace = 1500 * time.Millisecond

// Balancer holds the load, cache and health state of all upstreams and chooses among
// them. It is safe for concurrent use.
type Balancer struct {
	options Options

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	notices   map[Instance]*notices
	service   map[string][]*upstreamState
	peers     map[string]peerState
	// peersComputedAt is the time at which the loads of all peers were summed, zero if the
	// sums lack an upstream.
	peersComputedAt time.Time
	recentUses      []cacheEvent
	// holders maps prompt parts to the upstreams that are believed to hold them. query counts
	// the queries, and touched holds the upstreams that hold a part of the current one.
	holders map[cacheKey][]holder
	// held is the number of entries of the lists in holders, evicted that of the parts that were
	// forgotten because of MaxHeld.
	held    int
	evicted uint64
	query   uint64
	touched []*upstreamState
	// memory holds what is known of the memory of engines by service.
	memory map[string]*memoryState
	zones  map[string]*zone
	// evacuated is the set of evacuated availability zones.
	evacuated map[string]bool
	// coldLimits holds the limits of cold upstreams by service, colds the cold states of
	// instances, and coldSlow the slowness of cold upstreams by service.
	coldLimits map[string]ColdLimit
	colds      map[Instance]*coldState
	coldSlow   map[string]*slowness
	// roster holds the names of the VMs, of which self is this one. rosterVersion grows with
	// each roster.
	self          string
	roster        []string
	rosterState   Roster
	rosterVersion uint64
	// pauses are the last levels of the pauses at all upstreams of a service.
	pauses map[string]servicePauses
	// listSetAt is the time of the last SetUpstreams call.
	listSetAt time.Time
}

// NewBalancer returns a Balancer without upstreams.
func NewBalancer(options Options) *Balancer {
	if options.CacheLifetime == 0 {
		options.CacheLifetime = 10 * time.Second
	}
	if options.LapseGrace == 0 {
		options.LapseGrace = DefaultLapseGrace
	}
	if options.MaxHeld == 0 {
		options.MaxHeld = DefaultMaxHeld
	}
	return &Balancer{
		options: options, upstreams: map[string]*upstreamState{}, service: map[string][]*upstreamState{},
		notices: map[Instance]*notices{}, peers: map[string]peerState{}, zones: map[string]*zone{}, pauses: map[string]servicePauses{},
		holders: map[cacheKey][]holder{}, colds: map[Instance]*coldState{}, coldSlow: map[string]*slowness{}, rosterVersion: 1,
	}
}

// SetUpstreams replaces the list of registered upstreams. previousAt is the last time
// at which the previous list was known to be current. An upstream whose incarnation
// or address differs from the known one starts with empty state. What an instance has
// said about further calls stays known while its registration comes and goes.
func (b *Balancer) SetUpstreams(list []Upstream, previousAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.listSetAt.IsZero()
	b.listSetAt = now
	registered := make(map[string]bool, len(list))
	for _, u := range list {
		registered[u.ID] = true
		e := b.upstreams[u.ID]
		if e == nil || e.Instance() != u.Instance() {
			if e != nil {
				e.dropped = true
			}
			e = &upstreamState{hash: xxhash.Sum64String(u.ID), notices: b.notices[u.Instance()], cold: b.coldOf(u.Instance())}
			b.upstreams[u.ID] = e
			b.peersComputedAt = time.Time{}
			if !first {
				e.cold.mark(ColdNew, now)
				e.since = now
			}
		}
		if e.Revision != u.Revision || e.ColdLeft != u.ColdLeft {
			e.cold.told(u.ColdLeft, ColdRegistered, now)
		}
		e.zone = b.zone(u.AvailabilityZone)
		e.Upstream, e.unregisteredAt, e.evacuated = u, time.Time{}, b.evacuated[u.AvailabilityZone]
	}
	for id, e := range b.upstreams {
		if registered[id] {
			continue
		}
		if e.unregisteredAt.IsZero() {
			e.unregisteredAt = removalTime(previousAt, now)
		}
		if e.own.Calls == 0 && now.Sub(e.unregisteredAt) > unregisteredRetention {
			e.dropped = true
			delete(b.upstreams, id)
		}
	}
	b.rebuildServiceIndex()
}

// minOutage is the shortest outage of the store during which registrations can lapse:
// an upstream renews its registration several times in it.
const minOutage = 3 * time.Second

// removalTime returns the time from which the grace of a registration that
// disappeared between two times is counted. The upstream may have left right after
// the first one, unless the store was away: then the registration may have lapsed, and
// returns soon after the store.
func removalTime(previousAt, now time.Time) time.Time {
	if now.Sub(previousAt) >= minOutage {
		return now
	}
	return previousAt
}

// unregisteredRetention is how long the state of an unregistered upstream is
// kept. A registration that lapsed returns within seconds.
const unregisteredRetention = 30 * time.Second

func (b *Balancer) rebuildServiceIndex() {
	clear(b.service)
	for _, e := range b.upstreams {
		b.service[e.Service] = append(b.service[e.Service], e)
	}
}

// Registered reports whether an upstream is registered and not draining.
func (b *Balancer) Registered(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.upstreams[id]
	return e != nil && e.unregisteredAt.IsZero() && !e.Draining
}

// Releases counts the registered upstreams of a service that are not draining,
// by release.
func (b *Balancer) Releases(service string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, e := range b.service[service] {
		if e.unregisteredAt.IsZero() && !e.Draining {
			out[e.Release]++
		}
	}
	return out
}

// SetPeer replaces the load that a peer VM has in flight, by upstream.
func (b *Balancer) SetPeer(vm string, loads map[string]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.peers[vm].loads
	b.peers[vm] = peerState{receivedAt: now, loads: loads}
	clear(b.pauses)
	if now.Sub(b.peersComputedAt) >= peerLoadsInterval {
		b.recomputePeerLoads(now)
		return
	}
	for id, l := range loads {
		if e := b.upstreams[id]; e != nil {
			e.peers.add(l)
		}
	}
	for id, l := range previous {
		if e := b.upstreams[id]; e != nil {
			e.peers.subtract(l)
		}
	}
}

// peerLoadsInterval is the interval at which the loads of all peers are summed anew. In between
// a report changes only the sums of its upstreams, because a delegate receives several hundred
// reports a second. It is the longest time for which an expired report still counts.
const peerLoadsInterval = 100 * time.Millisecond

// recomputePeerLoads drops expired load reports and sums the remaining ones for
// each upstream.
func (b *Balancer) recomputePeerLoads(now time.Time) {
	b.peersComputedAt = now
	for _, e := range b.upstreams {
		e.peers = Load{}
	}
	for vm, p := range b.peers {
		if now.Sub(p.receivedAt) > peerLoadLifetime {
			delete(b.peers, vm)
			continue
		}
		for id, l := range p.loads {
			if e := b.upstreams[id]; e != nil {
				e.peers.add(l)
			}
		}
	}
}

// Loads returns the load that this VM has in flight, by upstream.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Load{}
	for id, e := range b.upstreams {
		if e.own.Calls > 0 {
			out[id] = e.ownLoad()
		}
	}
	return out
}

// InFlight returns the number of calls from all VMs to the upstreams of a
// service that run the release, or any other release if otherReleases is set.
func (b *Balancer) InFlight(service, release string, otherReleases bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.service[service] {
		if (e.Release == release) != otherReleases {
			n += e.own.Calls + e.peers.Calls
		}
	}
	return n
}

// prefillSeconds returns the time that an engine with the assumed prefill rate
// takes to prefill tokens. rank is the index of the model among the models of the
// service, smallest first.
func prefillSeconds(tokens float64, rank int) float64 {
	return tokens / prefillTokensPerSecond * math.Pow(modelCostRatio, float64(rank))
}

// Usable reports whether a call may still be sent to an instance that Choose
// returned earlier: the instance may since have started to drain, have lost its
// registration, have been replaced, or have said that it wants no calls, and its zone may
// have been evacuated.
func (b *Balancer) Usable(i Instance, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usableInstance(i, now)
}

func (b *Balancer) usableInstance(i Instance, now time.Time) bool {
	e := b.upstreams[i.ID]
	return e != nil && e.Instance() == i && e.acceptsCalls(now) && !b.isGone(e, now)
}

// isGone reports whether the registration of an upstream has been missing for longer than
// a lapse may last.
func (b *Balancer) isGone(e *upstreamState, now time.Time) bool {
	return !e.unregisteredAt.IsZero() && now.Sub(e.unregisteredAt) >= b.options.LapseGrace
}

// acceptsCalls reports whether neither the registration, nor an answer of the upstream, nor
// the evacuation of its zone rules out new calls of this VM.
func (e *upstreamState) acceptsCalls(now time.Time) bool {
	return !e.evacuated && !e.Draining && !e.notices.leaving() && e.notices.pauseLeft(now) == 0
}

// Replaced reports whether another process has the ID or the address of an instance.
func (b *Balancer) Replaced(i Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.upstreams {
		if e.unregisteredAt.IsZero() && e.Instance() != i && (e.ID == i.ID || e.Address == i.Address) {
			return true
		}
	}
	return false
}

// Alternatives counts the upstreams of a service other than exclude that run an
// allowed release, are usable and are not in another zone that is suspected to be cut
// off.
func (b *Balancer) Alternatives(service, exclude string, allow func(string) bool, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &Query{Allow: allow, Now: now}
	n := 0
	for _, e := range b.service[service] {
		if e.ID != exclude && b.usable(e, q, ordinary) && (e.AvailabilityZone == b.options.AvailabilityZone || !b.zones[e.AvailabilityZone].suspected(now)) {
			n++
		}
	}
	return n
}
