package member

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSuspectAfter is the time without a sign that a VM of the own zone is
	// alive after which the VM is suspected. A suspected VM is not a delegate,
	// but is still contacted.
	DefaultSuspectAfter = 2500 * time.Millisecond
	// DefaultForeignSuspectAfter is the time after which a VM of another zone is
	// suspected. It is longer than DefaultSuspectAfter, because news of such a VM
	// mostly arrives through two further exchanges with a period of 1 s each.
	DefaultForeignSuspectAfter = 6 * time.Second
	// failureSuspicion is how long a VM is suspected after a failed call to it,
	// unless a message of the VM itself arrives earlier. Reports of other VMs do
	// not end the suspicion, because the VM may be unreachable only from here.
	failureSuspicion = 3 * time.Second
	// DefaultRemoveAfter is the time without a sign that a VM is alive after which
	// the VM is removed from the view.
	DefaultRemoveAfter = 15 * time.Second
	// MaxMembers bounds both the members of the view and the seeds.
	MaxMembers = 4096
	// maxRemovedIncarnations bounds the removed VMs whose incarnations are kept.
	maxRemovedIncarnations = 4096
)

// Options configures a View.
type Options struct {
	// Self is this VM, which is always live.
	Self VM
	// SuspectAfter, ForeignSuspectAfter and RemoveAfter are described at their
	// defaults, DefaultSuspectAfter, DefaultForeignSuspectAfter and
	// DefaultRemoveAfter.
	SuspectAfter, ForeignSuspectAfter, RemoveAfter time.Duration
	// Now returns the current time; default time.Now.
	Now func() time.Time
}

// Counters counts the events of a View since its creation.
type Counters struct {
	OldIncarnations int64 // messages and reports rejected because of an old or invalid incarnation
	Restarts        int64 // members replaced by a later incarnation
	Suspected       int64 // transitions of a member to suspected, as seen by Sweep
	Removed         int64 // members removed
}

type entry struct {
	vm        VM
	zone      string // zone of vm.ID, cached because every iteration over the view needs it
	lastAlive time.Time
	failedAt  time.Time // time of the last failed call, zero after a message of the VM
	suspected bool
}

// View is the membership view of one VM: the VMs from which or about which it has
// received messages. It is safe for concurrent use.
type View struct {
	options  Options
	selfZone string // zone of options.Self

	mu                  sync.Mutex
	entries             map[string]*entry
	removedIncarnations map[string]int64 // latest incarnations of removed VMs, by id
	seeds               map[string]bool
	rotation            int // rotates the choice of Delegates for a zone without live VMs
	counters            Counters
}

// New returns a view whose only member is options.Self.
func New(options Options) *View {
	options.SuspectAfter = cmp.Or(options.SuspectAfter, DefaultSuspectAfter)
	options.ForeignSuspectAfter = cmp.Or(options.ForeignSuspectAfter, DefaultForeignSuspectAfter)
	options.RemoveAfter = cmp.Or(options.RemoveAfter, DefaultRemoveAfter)
	if options.Now == nil {
		options.Now = time.Now
	}
	return &View{
		options: options, selfZone: options.Self.AvailabilityZone(),
		entries: make(map[string]*entry), removedIncarnations: make(map[string]int64), seeds: make(map[string]bool),
	}
}

// Self returns this VM.
func (v *View) Self() VM { return v.options.Self }

// SetSeeds replaces the seeds: ids of VMs that are contacted even if they are not
// members, such as those on the platform's list. SetSeeds ignores malformed ids and
// ids beyond MaxMembers.
func (v *View) SetSeeds(ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.seeds)
	for _, id := range ids {
		if CheckID(id) == nil && id != v.options.Self.ID && len(v.seeds) < MaxMembers {
			v.seeds[id] = true
		}
	}
}

// Check returns ErrBadID or ErrOldIncarnation when a message of vm must be
// rejected. Old incarnations are counted in Counters.
func (v *View) Check(vm VM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.check(vm)
}

func (v *View) check(vm VM) error {
	if err := CheckID(vm.ID); err != nil {
		return err
	}
	if known := v.incarnation(vm.ID); vm.Incarnation < known || vm.Incarnation <= 0 {
		v.counters.OldIncarnations++
		return fmt.Errorf("%w: %s has %d, known is %d", ErrOldIncarnation, vm.ID, vm.Incarnation, known)
	}
	return nil
}

func (v *View) incarnation(id string) int64 {
	if id == v.options.Self.ID {
		return v.options.Self.Incarnation
	}
	if e, ok := v.entries[id]; ok {
		return e.vm.Incarnation
	}
	return v.removedIncarnations[id]
}

// Incarnation returns the latest known incarnation of a VM, or 0 when the VM is
// unknown.
func (v *View) Incarnation(id string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation(id)
}

// RecordAlive records that vm was alive at the given time, according to its own message
// or to the report of another VM. A later incarnation replaces the earlier one.
// Reports that are older than RemoveAfter are ignored.
func (v *View) RecordAlive(vm VM, at time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.check(vm); err != nil {
		return err
	}
	if vm.ID == v.options.Self.ID || v.options.Now().Sub(at) >= v.options.RemoveAfter {
		return nil
	}
	e, known := v.entries[vm.ID]
	switch {
	case !known && len(v.entries) >= MaxMembers:
		return ErrFull
	case !known:
		v.entries[vm.ID] = &entry{vm: vm, zone: vm.AvailabilityZone(), lastAlive: at}
		delete(v.removedIncarnations, vm.ID)
	case vm.Incarnation > e.vm.Incarnation:
		v.counters.Restarts++
		*e = entry{vm: vm, zone: e.zone, lastAlive: at}
	case at.After(e.lastAlive):
		e.lastAlive = at
	}
	return nil
}

// RecordMessage records a message of vm itself, which proves that the VM is alive
// and ends a suspicion caused by a failed call.
func (v *View) RecordMessage(vm VM) error {
	if err := v.RecordAlive(vm, v.options.Now()); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.entries[vm.ID]; ok {
		e.failedAt = time.Time{}
	}
	return nil
}

// RecordFailure records that a call to a VM failed. The VM is suspected at once.
func (v *View) RecordFailure(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.entries[id]; ok {
		e.failedAt = v.options.Now()
	}
}

// Sweep updates which members are suspected, removes those without a sign of
// being alive for RemoveAfter, and returns the ids of the removed ones, sorted.
func (v *View) Sweep() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Now()
	var removed []string
	for id, e := range v.entries {
		if v.removable(e, now) {
			removed = append(removed, id)
			v.remove(e)
			continue
		}
		suspected := v.isSuspected(e, now)
		if suspected && !e.suspected {
			v.counters.Suspected++
		}
		e.suspected = suspected
	}
	slices.Sort(removed)
	return removed
}

func (v *View) removable(e *entry, now time.Time) bool {
	return now.Sub(e.lastAlive) >= v.options.RemoveAfter
}

func (v *View) isSuspected(e *entry, now time.Time) bool {
	if !e.failedAt.IsZero() && now.Sub(e.failedAt) < failureSuspicion {
		return true
	}
	limit := v.options.ForeignSuspectAfter
	if e.zone == v.selfZone {
		limit = v.options.SuspectAfter
	}
	return now.Sub(e.lastAlive) >= limit
}

// remove removes e from the view and keeps its incarnation, so that delayed
// messages of earlier incarnations are still rejected.
func (v *View) remove(e *entry) {
	v.counters.Removed++
	delete(v.entries, e.vm.ID)
	if len(v.removedIncarnations) >= maxRemovedIncarnations {
		for id := range v.removedIncarnations { // evict an arbitrary one
			delete(v.removedIncarnations, id)
			break
		}
	}
	v.removedIncarnations[e.vm.ID] = e.vm.Incarnation
}

// Members returns this VM and all members, including suspected ones, sorted by
// id.
func (v *View) Members() []VM {
	return v.list(func(*entry, time.Time) bool { return true })
}

// Live returns this VM and all members that are not suspected, sorted by id.
func (v *View) Live() []VM {
	return v.list(func(e *entry, now time.Time) bool { return !v.isSuspected(e, now) })
}

// LiveIn returns the live VMs of one zone, sorted by id.
func (v *View) LiveIn(zone string) []VM {
	vms := v.list(func(e *entry, now time.Time) bool {
		return e.zone == zone && !v.isSuspected(e, now)
	})
	if v.selfZone == zone {
		return vms
	}
	return slices.DeleteFunc(vms, func(vm VM) bool { return vm.ID == v.options.Self.ID })
}

func (v *View) list(include func(*entry, time.Time) bool) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.options.Now()
	vms := []VM{v.options.Self}
	for _, e := range v.entries {
		if include(e, now) {
			vms = append(vms, e.vm)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// Contacts returns the sorted ids of the other members and the seeds of a zone.
func (v *View) Contacts(zone string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make(map[string]bool)
	for id, e := range v.entries {
		if e.zone == zone {
			ids[id] = true
		}
	}
	for id := range v.seeds {
		if ZoneOf(id) == zone {
			ids[id] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// Zones returns the zones of this VM, of all members and of all seeds, sorted.
func (v *View) Zones() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	zones := map[string]bool{v.selfZone: true}
	for _, e := range v.entries {
		zones[e.zone] = true
	}
	for id := range v.seeds {
		zones[ZoneOf(id)] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// Delegates returns up to n VMs of a zone, chosen by rendezvous hashing among the
// live ones, so that a change of the view changes few choices. When no VM of the
// zone is live, as after a long partition, Delegates returns suspected members
// and seeds, in rotation from call to call, because any of them may not exist.
func (v *View) Delegates(zone string, n int) []string {
	live := v.LiveIn(zone)
	ids := make([]string, len(live))
	for i, vm := range live {
		ids[i] = vm.ID
	}
	if len(ids) == 0 {
		return v.rotate(v.Contacts(zone), n)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b), rendezvousWeight(a)), cmp.Compare(a, b))
	})
	return ids[:min(n, len(ids))]
}

func (v *View) rotate(ids []string, n int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	n = min(n, len(ids))
	chosen := make([]string, n)
	for i := range chosen {
		chosen[i] = ids[v.rotation%len(ids)]
		v.rotation++
	}
	return chosen
}

// rendezvousWeight returns the rendezvous weight of a VM for its zone. The zone is
// part of the id and so of the hash.
func rendezvousWeight(id string) uint64 { return xxhash.Sum64String(id) }

// Counters returns a copy of the counters.
func (v *View) Counters() Counters {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counters
}
