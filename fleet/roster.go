package fleet

import (
	"slices"
	"time"
)

const (
	// rosterLifetime is how long a VM stays in the roster after it was last known to be
	// alive. A partition that is shorter does not change the rosters of its sides.
	rosterLifetime = time.Minute
	// rosterSettleTime is the time after the first contact in which the members that peers
	// know may be missing from the roster. Full digests are exchanged every
	// fullDigestInterval, and pass through up to three VMs.
	rosterSettleTime = 3 * fullDigestInterval
)

// roster holds the VMs that were known recently. The lock of the Fleet guards it.
type roster struct {
	// seen maps the names of the other VMs to the times at which they were last known to be
	// alive. Peers are forgotten sooner.
	seen map[string]time.Time
	// heard is the time of the last exchange with any peer, and contactSince that of the
	// first one after which there was no longer silence than rosterLifetime.
	heard, contactSince time.Time
}

func (r *roster) update(peers map[string]*peer, now time.Time) {
	if r.seen == nil {
		r.seen = map[string]time.Time{}
	}
	for _, p := range peers {
		if at := maxTime(p.lastExchange, p.lastRelayed); p.VM != "" && at.After(r.seen[p.VM]) {
			r.seen[p.VM] = at
		}
		r.heard = maxTime(r.heard, p.lastExchange)
	}
	for vm, at := range r.seen {
		if now.Sub(at) > rosterLifetime {
			delete(r.seen, vm)
		}
	}
	switch {
	case r.heard.IsZero() || now.Sub(r.heard) > rosterLifetime:
		r.contactSince = time.Time{}
	case r.contactSince.IsZero():
		r.contactSince = now
	}
}

// Roster returns the names of all VMs that were known to be alive within the last minute,
// including this one, sorted. It must be called more often than peers are forgotten.
func (f *Fleet) Roster(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.update(f.peers, now)
	names := []string{f.opts.Self.VM}
	for vm := range f.roster.seen {
		if vm != f.opts.Self.VM {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// Contact tells what this VM has heard from its peers.
type Contact int

// Contacts.
const (
	// NoContact: no peer was heard from within the last minute, although addresses of peers
	// are known.
	NoContact Contact = iota
	// NewContact: the first exchange was recent, so that the roster may be incomplete.
	NewContact
	// InContact: the roster is that of the fleet, or no address of a peer is known.
	InContact
)

// Contact returns what this VM has heard from its peers. It is at most as good as the roster
// that a later call of Roster returns.
func (f *Fleet) Contact(now time.Time) Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.update(f.peers, now)
	switch {
	case f.roster.contactSince.IsZero() && len(f.peers) == 0:
		return InContact
	case f.roster.contactSince.IsZero():
		return NoContact
	case now.Sub(f.roster.contactSince) < rosterSettleTime:
		return NewContact
	}
	return InContact
}
