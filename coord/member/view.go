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
	// DefaultSuspectAfter is the silence after which a VM of the own zone is
	// suspected: it is then no delegate, but is still contacted.
	DefaultSuspectAfter = 2500 * time.Millisecond
	// DefaultForeignSuspectAfter is the same for other zones, whose VMs are
	// mostly heard of through two further periods of 1 s.
	DefaultForeignSuspectAfter = 6 * time.Second
	// failureHold is how long a failed call makes a VM suspected, unless it is
	// heard before. Reports of other VMs do not count, because the VM may be
	// unreachable from here only.
	failureHold = 3 * time.Second
	// DefaultRemoveAfter is the silence after which a VM is removed.
	DefaultRemoveAfter = 15 * time.Second
	// MaxMembers bounds the view, and also the list of seeds.
	MaxMembers = 4096
	// maxRemembered bounds the incarnations remembered of removed VMs.
	maxRemembered = 4096
)

// Options configures a View.
type Options struct {
	// Self is this VM, which is always live.
	Self VM
	// SuspectAfter, ForeignSuspectAfter and RemoveAfter default to the
	// constants of the same names.
	SuspectAfter, ForeignSuspectAfter, RemoveAfter time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
}

// Counters counts events since New.
type Counters struct {
	OldIncarnations int64 // messages rejected
	Restarts        int64 // VMs replaced by a later incarnation
	Suspected       int64
	Removed         int64
}

type entry struct {
	vm        VM
	zone      string // of the id, kept because every walk over the view needs it
	heard     time.Time
	failed    time.Time // of the last call, zero when a message came since
	suspected bool
}

// View is the membership view of one VM. It is safe for concurrent use.
type View struct {
	o    Options
	home string // zone of o.Self

	mu       sync.Mutex
	entries  map[string]*entry
	removed  map[string]int64 // incarnations of removed VMs
	seeds    map[string]bool
	turn     int // rotates the choice among VMs of which none is live
	counters Counters
}

// New returns a view that holds only o.Self.
func New(o Options) *View {
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.ForeignSuspectAfter = cmp.Or(o.ForeignSuspectAfter, DefaultForeignSuspectAfter)
	o.RemoveAfter = cmp.Or(o.RemoveAfter, DefaultRemoveAfter)
	if o.Now == nil {
		o.Now = time.Now
	}
	return &View{
		o: o, home: o.Self.AvailabilityZone(),
		entries: make(map[string]*entry), removed: make(map[string]int64), seeds: make(map[string]bool),
	}
}

// Self returns this VM.
func (v *View) Self() VM { return v.o.Self }

// SetSeeds replaces the ids that are contacted although they were never heard, such
// as the platform's list. Malformed ids and those beyond MaxMembers are ignored.
func (v *View) SetSeeds(ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.seeds)
	for _, id := range ids {
		if CheckID(id) == nil && id != v.o.Self.ID && len(v.seeds) < MaxMembers {
			v.seeds[id] = true
		}
	}
}

// Check returns ErrBadID or ErrOldIncarnation when a message of vm must be
// rejected, and counts it.
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
	if id == v.o.Self.ID {
		return v.o.Self.Incarnation
	}
	if e, ok := v.entries[id]; ok {
		return e.vm.Incarnation
	}
	return v.removed[id]
}

// Incarnation returns the latest known incarnation of a VM, or 0.
func (v *View) Incarnation(id string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation(id)
}

// RecordAlive records that vm was alive at a moment, either by its own message or by
// the report of another VM. A later incarnation replaces the earlier one.
func (v *View) RecordAlive(vm VM, at time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.check(vm); err != nil {
		return err
	}
	if vm.ID == v.o.Self.ID || v.o.Now().Sub(at) >= v.o.RemoveAfter {
		return nil
	}
	e, known := v.entries[vm.ID]
	switch {
	case !known && len(v.entries) >= MaxMembers:
		return ErrFull
	case !known:
		v.entries[vm.ID] = &entry{vm: vm, zone: vm.AvailabilityZone(), heard: at}
		delete(v.removed, vm.ID)
	case vm.Incarnation > e.vm.Incarnation:
		v.counters.Restarts++
		*e = entry{vm: vm, zone: e.zone, heard: at}
	case at.After(e.heard):
		e.heard = at
	}
	return nil
}

// HearDirect records a message of vm itself.
func (v *View) HearDirect(vm VM) error {
	if err := v.RecordAlive(vm, v.o.Now()); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.entries[vm.ID]; ok {
		e.failed = time.Time{}
	}
	return nil
}

// Fail records that a call to a VM failed, which makes it suspected at once.
func (v *View) Fail(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, ok := v.entries[id]; ok {
		e.failed = v.o.Now()
	}
}

// Sweep suspects and removes VMs that have been silent for too long, and
// returns the ids of those removed.
func (v *View) Sweep() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	var gone []string
	for id, e := range v.entries {
		if v.removable(e, now) {
			gone = append(gone, id)
			v.forget(e)
			continue
		}
		suspected := v.silent(e, now)
		if suspected && !e.suspected {
			v.counters.Suspected++
		}
		e.suspected = suspected
	}
	slices.Sort(gone)
	return gone
}

func (v *View) removable(e *entry, now time.Time) bool {
	return now.Sub(e.heard) >= v.o.RemoveAfter
}

func (v *View) silent(e *entry, now time.Time) bool {
	if !e.failed.IsZero() && now.Sub(e.failed) < failureHold {
		return true
	}
	limit := v.o.ForeignSuspectAfter
	if e.zone == v.home {
		limit = v.o.SuspectAfter
	}
	return now.Sub(e.heard) >= limit
}

// forget removes e and remembers its incarnation, so that its delayed messages
// are still rejected after a restart.
func (v *View) forget(e *entry) {
	v.counters.Removed++
	delete(v.entries, e.vm.ID)
	if len(v.removed) >= maxRemembered {
		for id := range v.removed { // any one makes room
			delete(v.removed, id)
			break
		}
	}
	v.removed[e.vm.ID] = e.vm.Incarnation
}

// Members returns this VM and all VMs not removed, also suspected ones, by id.
func (v *View) Members() []VM {
	return v.list(func(*entry, time.Time) bool { return true })
}

// Live returns this VM and all VMs that are not suspected, by id.
func (v *View) Live() []VM {
	return v.list(func(e *entry, now time.Time) bool { return !v.silent(e, now) })
}

// LiveIn returns the live VMs of one zone, by id.
func (v *View) LiveIn(zone string) []VM {
	vms := v.list(func(e *entry, now time.Time) bool {
		return e.zone == zone && !v.silent(e, now)
	})
	if v.home == zone {
		return vms
	}
	return slices.DeleteFunc(vms, func(vm VM) bool { return vm.ID == v.o.Self.ID })
}

func (v *View) list(keep func(*entry, time.Time) bool) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.o.Now()
	vms := []VM{v.o.Self}
	for _, e := range v.entries {
		if keep(e, now) {
			vms = append(vms, e.vm)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}

// Contacts returns the ids of the other members and seeds of a zone, by id.
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
	zones := map[string]bool{v.home: true}
	for _, e := range v.entries {
		zones[e.zone] = true
	}
	for id := range v.seeds {
		zones[ZoneOf(id)] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// Delegates returns up to n VMs of a zone by rendezvous hashing over the live
// ones, so that a change of the view moves few choices. When none of the zone
// is live, as after a long partition, the choice falls on suspects and seeds,
// and on other ones with each call, since any of them may be gone.
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
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ids[:min(n, len(ids))]
}

func (v *View) rotate(ids []string, n int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	n = min(n, len(ids))
	chosen := make([]string, n)
	for i := range chosen {
		chosen[i] = ids[v.turn%len(ids)]
		v.turn++
	}
	return chosen
}

// weight is the rendezvous weight of a VM for its zone. The id carries the zone.
func weight(id string) uint64 { return xxhash.Sum64String(id) }

// Counters returns the counters.
func (v *View) Counters() Counters {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counters
}
