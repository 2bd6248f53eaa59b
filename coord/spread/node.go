package spread

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
)

const (
	// DefaultSyncEvery is the default period of the calls to each peer.
	DefaultSyncEvery = time.Second
	// DefaultHeadEvery is the default period at which delegates read the head of
	// the change log from the platform.
	DefaultHeadEvery = 500 * time.Millisecond
	// DelegatesPerZone is the number of delegates of a zone.
	DelegatesPerZone = 2
	// fallbackAge is the age of evidence above which every node, not only a
	// delegate, reads the head from the platform, in case the evidence of the
	// delegates does not reach it.
	fallbackAge = 2500 * time.Millisecond
	// ownReportEvery is the minimum time between two rebuilds of the report of
	// the own zone.
	ownReportEvery = 100 * time.Millisecond
	// pullRetryAfter is the minimum time between a pull and another pull of the
	// same or an earlier revision.
	pullRetryAfter = 300 * time.Millisecond
)

// Options configures a Node. Members, Follower and Lease are required.
type Options struct {
	Members  *member.View
	Follower *changelog.Follower
	Lease    *evidence.Lease
	// Relevant reports whether the halt mark with the given key is still needed.
	// The node drops other marks and does not accept them from peers. Relevant
	// must not call the node. By default all marks are relevant.
	Relevant func(key string) bool
	// SyncEvery and HeadEvery are described at their defaults, DefaultSyncEvery
	// and DefaultHeadEvery.
	SyncEvery, HeadEvery time.Duration
	// Now returns the current time; default time.Now. It schedules the messages
	// and dates the reports; the age of evidence is measured by the lease's clock.
	Now func() time.Time
}

// Counters counts the events of a Node since its creation.
type Counters struct {
	BadMessages   int64 // messages rejected as malformed or out of bounds
	OldMessages   int64 // messages rejected because of the sender's incarnation or id
	BadChains     int64 // messages rejected because of a gap, a forged change or a fork
	HaltsRejected int64 // halt marks rejected because the set is full
	Notifications int64 // notifications sent
	Pulls         int64 // pulls started by a notification or a request
}

// Node is the dissemination state of one VM. It is safe for concurrent use.
type Node struct {
	self     member.VM
	members  *member.View
	follower *changelog.Follower
	lease    *evidence.Lease
	options  Options

	mu                sync.Mutex
	acks              ackTable
	halts             haltSet
	reports           reportTable
	cachedOwnReport   ZoneReport // report of the own zone, built at cachedOwnReportAt
	cachedOwnReportAt time.Time
	listed            map[string]bool // ids on the platform's list
	delisted          map[string]bool // members that are no longer on the platform's list
	nextSync          time.Time
	nextHead          time.Time
	rotation          int // rotates the peer that is asked for a summary
	lastPulled        int64
	lastPulledAt      time.Time
	// snapshotRequestedAt is the time of the last request for a snapshot.
	snapshotRequestedAt time.Time
	counters            Counters
}

// New returns a node whose state is that of its follower and its lease, and whose
// only acknowledgement is its own.
func New(options Options) *Node {
	options.SyncEvery = cmp.Or(options.SyncEvery, DefaultSyncEvery)
	options.HeadEvery = cmp.Or(options.HeadEvery, DefaultHeadEvery)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Relevant == nil {
		options.Relevant = func(string) bool { return true }
	}
	n := &Node{
		self: options.Members.Self(), members: options.Members, follower: options.Follower, lease: options.Lease, options: options,
		acks: make(ackTable), halts: haltSet{marks: make(map[string]Mark)}, reports: make(reportTable),
		listed: make(map[string]bool), delisted: make(map[string]bool),
	}
	n.acks.merge(n.self, n.lease.Applied())
	return n
}

// Plan holds the periodic actions that are due at a tick.
type Plan struct {
	// Calls are the periodic calls to peers.
	Calls []Call
	// ReadHead is true when the caller must read the head of the change log and
	// the changes after the follower's head, and pass them to HandleHead.
	ReadHead bool
}

// Tick returns the actions that are due. The caller must call it several times
// per Options.SyncEvery.
func (n *Node) Tick() Plan {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var plan Plan
	syncDue, headDue := !now.Before(n.nextSync), !now.Before(n.nextHead)
	if !syncDue && !headDue {
		return plan
	}
	isDelegate := n.isDelegate()
	if syncDue {
		n.nextSync = nextDue(n.nextSync, n.options.SyncEvery, now)
		n.members.Sweep()
		n.dropStale(now)
		plan.Calls = n.periodicCalls(isDelegate)
	}
	if headDue {
		n.nextHead = nextDue(n.nextHead, n.options.HeadEvery, now)
		plan.ReadHead = isDelegate || n.lease.Age() > fallbackAge
	}
	return plan
}

// nextDue returns the next due time, which is after now. Periods missed during a
// pause of the process are skipped, not made up for in a burst.
func nextDue(due time.Time, every time.Duration, now time.Time) time.Time {
	due = due.Add(every)
	if due.After(now) {
		return due
	}
	return now.Add(every)
}

func (n *Node) isDelegate() bool {
	return slices.Contains(n.members.Delegates(n.self.AvailabilityZone(), DelegatesPerZone), n.self.ID)
}

// Delegate reports whether this node is a delegate of its zone.
func (n *Node) Delegate() bool { return n.isDelegate() }

// periodicCalls returns the periodic calls to peers. One of them asks for a
// summary of the other zones: a node that is not a delegate asks the delegates of
// its zone in rotation, a delegate asks all other delegates in rotation.
func (n *Node) periodicCalls(isDelegate bool) []Call {
	zone := n.self.AvailabilityZone()
	peers := n.members.Contacts(zone)
	summaryPeers := slices.DeleteFunc(n.members.Delegates(zone, DelegatesPerZone), func(id string) bool { return id == n.self.ID })
	n.rotation++
	if isDelegate {
		foreign := n.nextForeignDelegates()
		peers = append(peers, foreign...)
		summaryPeers = append(summaryPeers, foreign...)
	}
	calls := make([]Call, len(peers))
	for i, id := range peers {
		summary := len(summaryPeers) > 0 && id == summaryPeers[n.rotation%len(summaryPeers)]
		calls[i] = n.newCall(id, summary, nil)
	}
	return calls
}

// nextForeignDelegates returns one delegate of each other zone, in rotation. This
// contacts each zone in every period with 1/DelegatesPerZone of the messages that
// calls to all delegates would take.
func (n *Node) nextForeignDelegates() []string {
	var ids []string
	for i, zone := range n.members.Zones() {
		if zone == n.self.AvailabilityZone() {
			continue
		}
		if delegates := n.members.Delegates(zone, DelegatesPerZone); len(delegates) > 0 {
			ids = append(ids, delegates[(n.rotation+i)%len(delegates)])
		}
	}
	return ids
}

func (n *Node) foreignDelegates() []string {
	var ids []string
	for _, zone := range n.members.Zones() {
		if zone != n.self.AvailabilityZone() {
			ids = append(ids, n.members.Delegates(zone, DelegatesPerZone)...)
		}
	}
	return ids
}

// dropStale drops the acknowledgements of VMs that are neither members nor on the
// platform's list, reports that have not been renewed for
// member.DefaultRemoveAfter, and halt marks that are not relevant.
func (n *Node) dropStale(now time.Time) {
	present := make(map[string]bool)
	for _, vm := range n.members.Members() {
		present[vm.ID] = true
	}
	for id := range n.acks {
		if !present[id] && !n.listed[id] {
			delete(n.acks, id)
		}
	}
	for id := range n.delisted {
		if !present[id] {
			delete(n.delisted, id)
		}
	}
	n.reports.dropBefore(now.Add(-member.DefaultRemoveAfter))
	for key := range n.halts.marks {
		if !n.options.Relevant(key) {
			n.halts.remove(key)
		}
	}
}

// Applied records that a revision is in force on this node.
func (n *Node) Applied(revision int64) {
	n.lease.Advance(revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acks.merge(n.self, n.lease.Applied())
	n.cachedOwnReportAt = time.Time{}
}

// SetPlatformList replaces the platform's list, the ids of the entry VMs that the platform
// reports.
func (n *Node) SetPlatformList(ids []string) {
	n.members.SetSeeds(ids)
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.listed {
		n.delisted[id] = true
	}
	clear(n.listed)
	for _, id := range ids[:min(len(ids), member.MaxMembers)] {
		n.listed[id] = true
		delete(n.delisted, id)
	}
}

// Unacknowledged returns the sorted ids of the entry VMs that have not
// acknowledged the revision. Entry VMs are the VMs on the platform's list and the
// members that have not been removed from that list.
func (n *Node) Unacknowledged(revision int64) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	entryVMs := make(map[string]bool)
	for id := range n.listed {
		entryVMs[id] = true
	}
	for _, vm := range n.members.Members() {
		if !n.delisted[vm.ID] {
			entryVMs[vm.ID] = true
		}
	}
	var missing []string
	for id := range entryVMs {
		a := n.acks[id]
		if a.revision < revision || a.incarnation < n.members.Incarnation(id) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// Peers returns the ids of all other members and of the VMs on the platform's
// list.
func (n *Node) Peers() []string {
	var ids []string
	for _, zone := range n.members.Zones() {
		ids = append(ids, n.members.Contacts(zone)...)
	}
	return ids
}

// Halts returns the halt marks, sorted by key.
func (n *Node) Halts() []Mark {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.halts.sorted()
}

// Halted reports whether the node holds a halt mark with the key.
func (n *Node) Halted(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.halts.marks[key]
	return ok
}

// Counters returns a copy of the counters.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}
