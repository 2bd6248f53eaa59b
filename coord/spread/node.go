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
	// DefaultSyncEvery is the period of the exchange with each peer.
	DefaultSyncEvery = time.Second
	// DefaultHeadEvery is the period at which delegates read the head.
	DefaultHeadEvery = 500 * time.Millisecond
	// DelegatesPerZone is the number of delegates of a zone.
	DelegatesPerZone = 2
	// fallbackAge is the age of evidence from which on every node reads the
	// head itself, in case its zone is cut off from the delegates' evidence.
	fallbackAge = 2500 * time.Millisecond
	// ownReportEvery bounds how often the report of the own zone is rebuilt.
	ownReportEvery = 100 * time.Millisecond
	// pullRetryAfter is the time after which a further notification of the
	// same revision starts another pull.
	pullRetryAfter = 300 * time.Millisecond
)

// Options configures a Node. Members, Follower and Lease are required.
type Options struct {
	Members  *member.View
	Follower *changelog.Follower
	Lease    *evidence.Lease
	// Relevant tells whether a halt mark still matters; marks that do not are
	// dropped and not accepted. It must not call the node. Default: all do.
	Relevant func(key string) bool
	// SyncEvery and HeadEvery default to the constants of the same names.
	SyncEvery, HeadEvery time.Duration
	// Now defaults to time.Now. It paces the messages; evidence is timed by
	// the lease's own clock.
	Now func() time.Time
}

// Counters counts events since New.
type Counters struct {
	BadMessages   int64 // rejected: malformed or out of bounds
	OldMessages   int64 // rejected: old incarnation or bad id
	BadChains     int64 // rejected: gap, forged change or fork
	HaltsRejected int64 // the set of marks is full
	Notifications int64 // sent
	Pulls         int64 // started by a notification or a request
}

// Node is the dissemination state of one VM. It is safe for concurrent use.
type Node struct {
	self     member.VM
	members  *member.View
	follower *changelog.Follower
	lease    *evidence.Lease
	o        Options

	mu       sync.Mutex
	acks     ackTable
	halts    haltSet
	reports  reportTable
	own      ZoneReport // cached report of the own zone
	ownAt    time.Time
	listed   map[string]bool // platform's list
	delisted map[string]bool // members that were on the platform's list
	nextSync time.Time
	nextHead time.Time
	turn     int // selects the peer that is asked for a summary
	pulled   int64
	pulledAt time.Time
	// fetchedAt is when a snapshot was last asked for.
	fetchedAt time.Time
	counters  Counters
}

// New returns a node that knows only itself and what its follower holds.
func New(o Options) *Node {
	o.SyncEvery = cmp.Or(o.SyncEvery, DefaultSyncEvery)
	o.HeadEvery = cmp.Or(o.HeadEvery, DefaultHeadEvery)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Relevant == nil {
		o.Relevant = func(string) bool { return true }
	}
	n := &Node{
		self: o.Members.Self(), members: o.Members, follower: o.Follower, lease: o.Lease, o: o,
		acks: make(ackTable), halts: haltSet{marks: make(map[string]Mark)}, reports: make(reportTable),
		listed: make(map[string]bool), delisted: make(map[string]bool),
	}
	n.acks.merge(n.self, n.lease.Applied())
	return n
}

// Plan is what is due at a tick.
type Plan struct {
	// Calls are the periodic exchanges.
	Calls []Call
	// ReadHead asks the caller to read the head of the log, and the changes
	// after the follower's head, and to pass them to HandleHead.
	ReadHead bool
}

// Tick returns what is due. It is called several times per SyncEvery.
func (n *Node) Tick() Plan {
	now := n.o.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var plan Plan
	syncDue, headDue := !now.Before(n.nextSync), !now.Before(n.nextHead)
	if !syncDue && !headDue {
		return plan
	}
	delegate := n.delegate()
	if syncDue {
		n.nextSync = next(n.nextSync, n.o.SyncEvery, now)
		n.members.Sweep()
		n.forget(now)
		plan.Calls = n.calls(delegate)
	}
	if headDue {
		n.nextHead = next(n.nextHead, n.o.HeadEvery, now)
		plan.ReadHead = delegate || n.lease.Age() > fallbackAge
	}
	return plan
}

// next returns the due time after now, without a burst after a pause.
func next(due time.Time, every time.Duration, now time.Time) time.Time {
	due = due.Add(every)
	if due.After(now) {
		return due
	}
	return now.Add(every)
}

func (n *Node) delegate() bool {
	return slices.Contains(n.members.Delegates(n.self.AvailabilityZone(), DelegatesPerZone), n.self.ID)
}

// Delegate reports whether this node is a delegate of its zone.
func (n *Node) Delegate() bool { return n.delegate() }

// calls returns the periodic exchanges. One of them asks for a summary of the
// other zones: an ordinary node asks a delegate of its zone, a delegate asks
// any other delegate, in turn.
func (n *Node) calls(delegate bool) []Call {
	zone := n.self.AvailabilityZone()
	peers := n.members.Contacts(zone)
	ask := slices.DeleteFunc(n.members.Delegates(zone, DelegatesPerZone), func(id string) bool { return id == n.self.ID })
	n.turn++
	if delegate {
		foreign := n.foreignInTurn()
		peers = append(peers, foreign...)
		ask = append(ask, foreign...)
	}
	calls := make([]Call, len(peers))
	for i, id := range peers {
		summary := len(ask) > 0 && id == ask[n.turn%len(ask)]
		calls[i] = n.call(id, summary, nil)
	}
	return calls
}

// foreignInTurn returns one delegate of each other zone, in turn. Each zone is
// still asked in each period, by half of the messages.
func (n *Node) foreignInTurn() []string {
	var ids []string
	for i, zone := range n.members.Zones() {
		if zone == n.self.AvailabilityZone() {
			continue
		}
		if delegates := n.members.Delegates(zone, DelegatesPerZone); len(delegates) > 0 {
			ids = append(ids, delegates[(n.turn+i)%len(delegates)])
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

// forget drops the acknowledgements of VMs that are neither members nor on the
// platform's list, reports that nobody renews, and marks that do not matter.
func (n *Node) forget(now time.Time) {
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
		if !n.o.Relevant(key) {
			n.halts.remove(key)
		}
	}
}

// Applied says that a revision is in force on this node.
func (n *Node) Applied(revision int64) {
	n.lease.Advance(revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acks.merge(n.self, n.lease.Applied())
	n.ownAt = time.Time{}
}

// SetPlatformList takes the ids of the entry VMs on the platform's list.
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

// Unacknowledged returns the ids of the entry VMs that have not acknowledged
// the revision, sorted. Entry VMs are those on the platform's list and the
// members that have not left that list.
func (n *Node) Unacknowledged(revision int64) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := make(map[string]bool)
	for id := range n.listed {
		entry[id] = true
	}
	for _, vm := range n.members.Members() {
		if !n.delisted[vm.ID] {
			entry[vm.ID] = true
		}
	}
	var missing []string
	for id := range entry {
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

// Halts returns the halt marks by key.
func (n *Node) Halts() []Mark {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.halts.sorted()
}

// Halted reports whether there is a halt mark of the key.
func (n *Node) Halted(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.halts.marks[key]
	return ok
}

// Counters returns the counters.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}
