package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// recordRelayed records what a peer reported of another VM.
func (f *Fleet) recordRelayed(m Member, now time.Time) {
	p := f.ensurePeer(m.Address, now)
	if p == nil {
		return
	}
	at := now.Add(-m.Age)
	if at.After(p.lastRelayed) && at.After(p.lastExchange) {
		p.lastRelayed = at
		f.setMember(p, m)
	}
}

// setListed records a list of members in a digest of the peer. Most digests hold none.
func (p *peer) setListed(list []Member) {
	if len(list) == 0 {
		return
	}
	p.listed = make(map[string]bool, len(list))
	for i := range list {
		p.listed[list[i].Address] = true
	}
}

// unlisted returns the members to list in a digest from a VM to the peer. A delegate lists all.
// It exchanges digests with the VMs of its zone itself and learns of the others from the
// delegates of their zones, so that a VM lists only those that its delegate did not list.
func (p *peer) unlisted(members []Member, t *topology, from *Member) []Member {
	if t.isMesh() || t.isDelegate(from) || !t.isDelegate(&p.Member) {
		return members
	}
	var list []Member
	for i := range members {
		if m := &members[i]; !p.listed[m.Address] && m.Address != from.Address {
			list = append(list, *m)
		}
	}
	return list
}

// setMember replaces what is known of a peer. The caller must hold f.mu.
func (f *Fleet) setMember(p *peer, m Member) {
	if p.VM != m.VM {
		f.byName = nil
	}
	p.Member = m
}

func (p *peer) alive(now time.Time) bool {
	return now.Sub(p.lastExchange) < livenessTimeout || now.Sub(p.lastRelayed) < relayedLivenessTimeout
}

// alive returns the VMs that are alive, including this one, sorted by name. The
// caller must hold f.mu.
func (f *Fleet) alive(now time.Time) []Member {
	if now.Sub(f.membersComputedAt) < membersInterval && f.members != nil {
		return f.members
	}
	self := f.self()
	list := make([]Member, 0, len(f.peers)+1)
	for _, p := range f.sortedPeers() {
		if !p.alive(now) {
			continue
		}
		m := p.Member
		m.Age = now.Sub(maxTime(p.lastExchange, p.lastRelayed))
		list = append(list, m)
	}
	at, _ := slices.BinarySearchFunc(list, self, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	list = slices.Insert(list, at, self)
	f.members, f.membersComputedAt, f.topology = list, now, nil
	f.reportStore.expire(now)
	return list
}

// sortedPeers returns the peers by ascending name. The caller must hold f.mu.
func (f *Fleet) sortedPeers() []*peer {
	if f.byName == nil {
		f.byName = slices.SortedFunc(maps.Values(f.peers), func(a, b *peer) int { return strings.Compare(a.VM, b.VM) })
	}
	return f.byName
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Size returns the number of VMs that are alive, including this one.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.alive(now))
}

// AddSeeds adds addresses of VMs through which the fleet is discovered.
func (f *Fleet) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		f.ensurePeer(seed, time.Now())
		if !slices.Contains(f.opts.Seeds, seed) {
			f.opts.Seeds = append(f.opts.Seeds, seed)
		}
	}
}

// Heard reports whether this VM has had an exchange with a peer, or knows no address of one.
func (f *Fleet) Heard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if !p.lastExchange.IsZero() {
			return true
		}
	}
	return len(f.peers) == 0
}

// OldestPeer returns the largest age of the information about a VM that is alive.
func (f *Fleet) OldestPeer(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := time.Duration(0)
	for _, m := range f.alive(now) {
		oldest = max(oldest, m.Age)
	}
	return oldest
}

// Rank returns the index of this VM, by name, among the VMs that are alive, are
// not stopping and can reach the store.
func (f *Fleet) Rank(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, m := range f.alive(now) {
		if m.VM < f.opts.Self.VM && !m.Stopping && !m.Lost {
			rank++
		}
	}
	return rank
}

// ReadsStore reports whether this VM must read the store itself: if it is one of the
// perZone readers of its zone, if it has had no exchange with any of them for
// readerTrustedFor, or if it is stopping. VMs that cannot reach the store are no readers.
func (f *Fleet) ReadsStore(now time.Time, perZone int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.self()
	if self.Stopping {
		return true
	}
	readers := f.reachable(now).storeReaders(self.AvailabilityZone, perZone)
	if slices.Contains(readers, self.VM) {
		return true
	}
	for _, vm := range readers {
		if now.Sub(f.lastExchangeWith(vm)) < readerTrustedFor {
			return false
		}
	}
	return true
}

// lastExchangeWith returns the time of the last exchange with a VM at any of its addresses. The
// caller must hold f.mu.
func (f *Fleet) lastExchangeWith(vm string) (last time.Time) {
	peers := f.sortedPeers()
	at, _ := slices.BinarySearchFunc(peers, vm, func(p *peer, name string) int { return strings.Compare(p.VM, name) })
	for ; at < len(peers) && peers[at].VM == vm; at++ {
		last = maxTime(last, peers[at].lastExchange)
	}
	return last
}

// SharedBy returns the number of VMs that share the store calls of one, because all of
// them have lost the store: the alive VMs of the zone that cannot reach it, for each of
// perZone readers.
func (f *Fleet) SharedBy(now time.Time, perZone int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for _, m := range f.reachable(now).members {
		if m.Lost && m.AvailabilityZone == f.opts.Self.AvailabilityZone {
			lost++
		}
	}
	return max(1, float64(lost)/float64(perZone))
}

// reachable returns the topology of the VMs that are alive without those that this VM
// fails to reach, even if peers report them as alive. The caller must hold f.mu.
func (f *Fleet) reachable(now time.Time) *topology {
	members := f.alive(now)
	if f.topology != nil && (!f.peersFail || now.Sub(f.topologyComputedAt) < topologyInterval) {
		return f.topology
	}
	f.topologyComputedAt = now
	failing := func(m Member) *peer {
		if p := f.peers[m.Address]; p != nil && p.backoff > 0 {
			return p
		}
		return nil
	}
	f.peersFail = slices.ContainsFunc(members, func(m Member) bool { return failing(m) != nil })
	if f.peersFail {
		members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
			p := failing(m)
			return p != nil && now.Sub(p.lastExchange) > silentAfter
		})
	}
	f.topology = newTopology(members)
	return f.topology
}

// AnnounceTableChange makes the next exchange with the peers of this zone due at once. It is
// called when a table of the store has changed.
func (f *Fleet) AnnounceTableChange() {
	f.triggerExchanges(func(p *peer) bool { return p.AvailabilityZone == f.opts.Self.AvailabilityZone })
}

// Announce makes the next exchanges due at once with all peers or, in a large fleet, with the
// delegates, so that the cost of an announcement does not grow with the fleet. It is called when
// this VM has sent a long prompt to an engine, because peers that do not know of the load would
// choose the same engine, and when an upstream has ended under a request.
func (f *Fleet) Announce() {
	f.mu.Lock()
	topology := f.reachable(time.Now())
	f.mu.Unlock()
	f.triggerExchanges(func(p *peer) bool { return topology.isMesh() || topology.isDelegate(&p.Member) })
}

func (f *Fleet) triggerExchanges(match func(*peer) bool) {
	f.mu.Lock()
	f.own, f.reportStore.loads = [2]cachedReport{}, nil
	for _, p := range f.peers {
		if p.backoff == 0 && !p.lastExchange.IsZero() && match(p) {
			p.nextExchange, p.urgent = time.Time{}, true
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
