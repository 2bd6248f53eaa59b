package spread

import (
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/member"
)

// pull returns a call to a peer that knows a later revision, unless a pull of
// that revision was started a moment ago.
func (n *Node) pull(from string, revision int64, now time.Time) []Call {
	if revision <= n.pulled && now.Sub(n.pulledAt) < pullRetryAfter {
		return nil
	}
	n.pulled, n.pulledAt = revision, now
	n.counters.Pulls++
	return []Call{n.call(from, false, nil)}
}

// HandleFailure takes a call that had no answer. The peer is suspected until it
// is heard again. When it was to connect this delegate with another zone, the
// next VM of that zone is called in its place.
func (n *Node) HandleFailure(c Call) Effects {
	n.members.RecordFailure(c.To)
	n.mu.Lock()
	defer n.mu.Unlock()
	zone := member.ZoneOf(c.To)
	if c.replaces || zone == n.self.AvailabilityZone() || !n.delegate() {
		return Effects{}
	}
	ids := n.members.Delegates(zone, DelegatesPerZone)
	if len(ids) == 0 || ids[len(ids)-1] == c.To {
		return Effects{}
	}
	// The last one is the one that has moved up.
	call := n.call(ids[len(ids)-1], false, nil)
	call.replaces = true
	return Effects{Calls: []Call{call}}
}

// fetch returns a call for a snapshot, unless one was asked for a moment ago or
// this was the answer to one.
func (n *Node) fetch(c Call, now time.Time) []Call {
	if c.Request.Snapshot || now.Sub(n.fetchedAt) < n.o.SyncEvery {
		return nil
	}
	n.fetchedAt = now
	call := n.call(c.To, false, nil)
	call.Request.Snapshot = true
	return []Call{call}
}

// adopt takes a snapshot that was asked for. The chain from the follower's head
// to the snapshot is not known, so this relies on the peer, which belongs to
// the cluster, having proved it.
func (n *Node) adopt(c Call, r SyncReply) {
	s := r.Snapshot
	if s != nil && c.Request.Snapshot && s.Head.Revision == r.Revision && hashStart(s.Head.Hash) == r.Check {
		n.follower.Adopt(*s)
	}
}

// snapshot returns the state for a requester that asks for it and cannot be
// served with changes.
func (n *Node) snapshot(r SyncRequest, changes int) *changelog.Snapshot {
	head, state := n.follower.State()
	if !r.Snapshot || changes > 0 || len(state) > maxStateBytes {
		return nil
	}
	return &changelog.Snapshot{Head: head, State: state}
}
