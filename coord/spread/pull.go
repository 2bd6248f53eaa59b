package spread

import (
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/member"
)

// pull returns a call to a peer that has a later revision, unless a pull of that
// or a later revision was started less than pullRetryAfter ago.
func (n *Node) pull(from string, revision int64, now time.Time) []Call {
	if revision <= n.lastPulled && now.Sub(n.lastPulledAt) < pullRetryAfter {
		return nil
	}
	n.lastPulled, n.lastPulledAt = revision, now
	n.counters.Pulls++
	return []Call{n.newCall(from, false, nil)}
}

// HandleFailure handles a call that failed. The peer is suspected until a message
// of it arrives or the suspicion expires. When a delegate's call to another zone
// fails, another VM of that zone is called instead, once.
func (n *Node) HandleFailure(c Call) Effects {
	n.members.RecordFailure(c.To)
	n.mu.Lock()
	defer n.mu.Unlock()
	zone := member.ZoneOf(c.To)
	if c.isReplacement || zone == n.self.AvailabilityZone() || !n.isDelegate() {
		return Effects{}
	}
	ids := n.members.Delegates(zone, DelegatesPerZone)
	if len(ids) == 0 || ids[len(ids)-1] == c.To {
		return Effects{}
	}
	// The failed peer is suspected, so the last delegate is the VM that has
	// replaced it.
	newCall := n.newCall(ids[len(ids)-1], false, nil)
	newCall.isReplacement = true
	return Effects{Calls: []Call{newCall}}
}

// requestSnapshot returns a call that asks the peer of c for a snapshot. It
// returns nil when c asked for one itself, or when another request for a snapshot
// was made less than a sync period ago.
func (n *Node) requestSnapshot(c Call, now time.Time) []Call {
	if c.Request.Snapshot || now.Sub(n.snapshotRequestedAt) < n.options.SyncEvery {
		return nil
	}
	n.snapshotRequestedAt = now
	newCall := n.newCall(c.To, false, nil)
	newCall.Request.Snapshot = true
	return []Call{newCall}
}

// adoptSnapshot moves the follower to the snapshot in a reply, if c asked for one.
// The chain from the follower's head to the snapshot is not available, so the node
// trusts that the peer, a member of the cluster, has verified it.
func (n *Node) adoptSnapshot(c Call, r SyncReply) {
	s := r.Snapshot
	if s != nil && c.Request.Snapshot && s.Head.Revision == r.Revision && hashPrefix(s.Head.Hash) == r.Check {
		n.follower.Adopt(*s)
	}
}

// snapshotFor returns the state for a requester that asks for it and gets no
// changes. It returns nil when the state is larger than maxStateBytes.
func (n *Node) snapshotFor(r SyncRequest, changes int) *changelog.Snapshot {
	head, state := n.follower.State()
	if !r.Snapshot || changes > 0 || len(state) > maxStateBytes {
		return nil
	}
	return &changelog.Snapshot{Head: head, State: state}
}
