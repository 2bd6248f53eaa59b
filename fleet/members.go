package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fullMeshLimit is the maximum number of VMs for a full mesh, in which each VM
	// exchanges digests with all others. Larger fleets use delegates, so that the
	// cost of a VM does not grow with the number of VMs.
	fullMeshLimit = 16
	// delegatesPerZone is the number of VMs that exchange digests with other zones
	// on behalf of their zone. With two, the zone stays connected if one is lost.
	delegatesPerZone = 2
	// livenessTimeout is how long after its last exchange with this VM a peer
	// counts as alive. relayedLivenessTimeout is the same for peers that are known
	// through the digests of others.
	livenessTimeout        = 1600 * time.Millisecond
	relayedLivenessTimeout = 4 * time.Second
)

// delegates returns the names of the delegates of a zone.
func delegates(members []Member, zone string) []string {
	return largestMembers(members, zone, delegatesPerZone)
}

// largestMembers returns the names of up to most VMs of a zone that are not
// stopping, by descending capacity and then by name.
func largestMembers(members []Member, zone string, most int) []string {
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

// exchangeDirectly reports whether two VMs exchange digests with each other. Up to
// fullMeshLimit, all do. In a larger fleet, each VM does with the delegates of its
// zone, and delegates also do with those of other zones.
func exchangeDirectly(members []Member, a, b Member) bool {
	if len(members) <= fullMeshLimit {
		return true
	}
	delegateA := slices.Contains(delegates(members, a.AvailabilityZone), a.VM)
	delegateB := slices.Contains(delegates(members, b.AvailabilityZone), b.VM)
	if a.AvailabilityZone == b.AvailabilityZone {
		return delegateA || delegateB
	}
	return delegateA && delegateB
}

// scope returns the scope of the digests that VM a sends to VM b.
func scope(members []Member, a, b Member) Scope {
	switch {
	case len(members) <= fullMeshLimit || !slices.Contains(delegates(members, a.AvailabilityZone), a.VM):
		return OwnScope
	case a.AvailabilityZone != b.AvailabilityZone:
		return ZoneScope
	case slices.Contains(delegates(members, b.AvailabilityZone), b.VM):
		// Delegates of one zone receive the same reports of members and zones.
		return OwnScope
	}
	return OthersScope
}

// storeReaders returns the names of the VMs of a zone that read the store for it:
// the largest ones that can reach the store.
func storeReaders(members []Member, zone string, readers int) []string {
	reachable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Lost })
	return largestMembers(reachable, zone, readers)
}
