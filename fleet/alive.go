package fleet

import (
	"slices"
	"strings"
	"time"
)

// relay notes what a peer told of another VM.
func (f *Fleet) relay(m Member, now time.Time) {
	p := f.find(m.Address, now)
	if p == nil {
		return
	}
	at := now.Add(-m.Age)
	if at.After(p.relayed) && at.After(p.heard) {
		p.relayed, p.Member = at, m
	}
}

func (p *peer) alive(now time.Time) bool {
	return now.Sub(p.heard) < aliveFor || now.Sub(p.relayed) < relayedFor
}

// alive returns the VMs that are alive, with this one. The caller holds the lock.
func (f *Fleet) alive(now time.Time) []Member {
	if now.Sub(f.membersAt) < membersEvery && f.members != nil {
		return f.members
	}
	list := []Member{f.self()}
	for _, p := range f.peers {
		if !p.alive(now) {
			continue
		}
		m := p.Member
		m.Age = now.Sub(maxTime(p.heard, p.relayed))
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	f.members, f.membersAt = list, now
	f.board.drop(now)
	return list
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Size returns the number of VMs that are alive, with this one.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.alive(now))
}

// AddSeeds adds addresses at which other VMs may be found.
func (f *Fleet) AddSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, seed := range seeds {
		f.find(seed, time.Now())
		if !slices.Contains(f.o.Seeds, seed) {
			f.o.Seeds = append(f.o.Seeds, seed)
		}
	}
}

// OldestPeer is the longest time since a VM that is alive was heard of.
func (f *Fleet) OldestPeer(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := time.Duration(0)
	for _, m := range f.alive(now) {
		oldest = max(oldest, m.Age)
	}
	return oldest
}

// Rank is the place of this VM among those that are alive and not stopping.
func (f *Fleet) Rank(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, m := range f.alive(now) {
		if m.VM < f.o.Self.VM && !m.Stopping && !m.Lost {
			rank++
		}
	}
	return rank
}

// ReadsStore reports whether this VM reads the store itself: it is one of so many
// readers of its zone, or has not heard from any of them for a moment.
func (f *Fleet) ReadsStore(now time.Time, perZone int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.self()
	if self.Lost || self.Stopping {
		return true
	}
	readers := followers(f.reachable(now), self.AvailabilityZone, perZone)
	if slices.Contains(readers, self.VM) {
		return true
	}
	for _, p := range f.peers {
		if slices.Contains(readers, p.VM) && now.Sub(p.heard) < confirmedFor {
			return false
		}
	}
	return true
}

// reachable returns the VMs that are alive but for those that this VM fails to
// reach itself, whatever others tell. The caller holds the lock.
func (f *Fleet) reachable(now time.Time) []Member {
	return slices.DeleteFunc(slices.Clone(f.alive(now)), func(m Member) bool {
		p := f.peers[m.Address]
		return p != nil && p.backoff > 0 && now.Sub(p.heard) > silentAfter
	})
}

// AnnounceTableChange makes the next exchange with the peers of this zone due at once, because
// a table of the store has changed.
func (f *Fleet) AnnounceTableChange() {
	f.kick(func(p *peer) bool { return p.AvailabilityZone == f.o.Self.AvailabilityZone })
}

// AnnounceLoad makes the next exchange with all peers due at once, because this VM
// has sent an engine much work: peers that do not know of it would send theirs
// to the same engine.
func (f *Fleet) AnnounceLoad() {
	f.kick(func(*peer) bool { return true })
}

func (f *Fleet) kick(which func(*peer) bool) {
	f.mu.Lock()
	for _, p := range f.peers {
		if p.backoff == 0 && !p.heard.IsZero() && which(p) {
			p.next, p.kicked = time.Time{}, true
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
