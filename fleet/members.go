package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// meshLimit is the number of VMs up to which each talks to all others. Larger
	// fleets go through delegates, so that the cost of a VM does not grow with
	// the number of VMs.
	meshLimit = 16
	// delegatesPerZone is the number of VMs that speak for an availability zone;
	// two, so that the loss of one leaves the zone informed.
	delegatesPerZone = 2
	// aliveFor is the time after its last exchange for which a peer counts as
	// alive; relayedFor is the same for peers of whom others told.
	aliveFor   = 1600 * time.Millisecond
	relayedFor = 4 * time.Second
)

// delegates returns the VMs that speak for a zone.
func delegates(members []Member, zone string) []string { return first(members, zone, delegatesPerZone) }

// first returns so many VMs of a zone: the largest ones, by name where they are
// of the same size.
func first(members []Member, zone string, most int) []string {
	var in []Member
	for _, m := range members {
		if m.AvailabilityZone == zone && !m.Stopping {
			in = append(in, m)
		}
	}
	slices.SortFunc(in, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.VM, b.VM))
	})
	var names []string
	for _, m := range in[:min(most, len(in))] {
		names = append(names, m.VM)
	}
	return names
}

// partner reports whether two VMs exchange digests: all do in a small fleet. In
// a large one a VM talks to the delegates of its zone, and delegates talk to
// those of other zones.
func partner(members []Member, a, b Member) bool {
	if len(members) <= meshLimit {
		return true
	}
	speaksA := slices.Contains(delegates(members, a.AvailabilityZone), a.VM)
	speaksB := slices.Contains(delegates(members, b.AvailabilityZone), b.VM)
	if a.AvailabilityZone == b.AvailabilityZone {
		return speaksA || speaksB
	}
	return speaksA && speaksB
}

// scope returns whose reports VM a tells VM b.
func scope(members []Member, a, b Member) Scope {
	switch {
	case len(members) <= meshLimit || !slices.Contains(delegates(members, a.AvailabilityZone), a.VM):
		return OwnScope
	case a.AvailabilityZone != b.AvailabilityZone:
		return ZoneScope
	case slices.Contains(delegates(members, b.AvailabilityZone), b.VM):
		// Delegates of one zone hear the same members and zones themselves.
		return OwnScope
	}
	return OthersScope
}

// followers returns the VMs of a zone that read the store themselves: the first
// ones, in the order of delegates, that can reach it.
func followers(members []Member, zone string, readers int) []string {
	reachable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Lost })
	return first(reachable, zone, readers)
}
