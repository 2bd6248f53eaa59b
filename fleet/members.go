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

// topology tells which VMs of a list exchange digests with each other. It is computed
// once for all peers, because choosing the delegates of a zone takes time in proportion to the
// fleet. Only storeReaders changes it.
type topology struct {
	members []Member
	// delegates maps each zone to the names of its delegates.
	delegates map[string][]string
	// readers holds the store readers of the zone and number that were asked for last.
	readers     []string
	readersZone string
	readersMost int
}

func newTopology(members []Member) *topology {
	t := &topology{members: members, delegates: map[string][]string{}}
	for i := range members {
		zone := members[i].AvailabilityZone
		if _, known := t.delegates[zone]; !known {
			t.delegates[zone] = largestMembers(members, zone, delegatesPerZone, func(*Member) bool { return true })
		}
	}
	return t
}

// largestMembers returns the names of up to most eligible VMs of a zone that are not
// stopping, by descending capacity and then by name.
func largestMembers(members []Member, zone string, most int, eligible func(*Member) bool) []string {
	var largest []*Member
	for i := range members {
		m := &members[i]
		if m.AvailabilityZone != zone || m.Stopping || !eligible(m) {
			continue
		}
		at, _ := slices.BinarySearchFunc(largest, m, func(a, b *Member) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.VM, b.VM))
		})
		if at < most {
			largest = slices.Insert(largest, at, m)[:min(most, len(largest)+1)]
		}
	}
	var names []string
	for _, m := range largest {
		names = append(names, m.VM)
	}
	return names
}

func (t *topology) isMesh() bool { return len(t.members) <= fullMeshLimit }

func (t *topology) isDelegate(m *Member) bool {
	return slices.Contains(t.delegates[m.AvailabilityZone], m.VM)
}

// exchangeDirectly reports whether two VMs exchange digests with each other. Up to
// fullMeshLimit, all do. In a larger fleet, each VM does with the delegates of its
// zone, and delegates also do with those of other zones.
func (t *topology) exchangeDirectly(a, b *Member) bool {
	if t.isMesh() {
		return true
	}
	if a.AvailabilityZone == b.AvailabilityZone {
		return t.isDelegate(a) || t.isDelegate(b)
	}
	return t.isDelegate(a) && t.isDelegate(b)
}

// scope returns the scope of the digests that VM a sends to VM b.
func (t *topology) scope(a, b *Member) Scope {
	switch {
	case t.isMesh() || !t.isDelegate(a):
		return OwnScope
	case a.AvailabilityZone != b.AvailabilityZone:
		return ZoneScope
	case t.isDelegate(b):
		// Delegates of one zone receive the same reports of members and zones.
		return OwnScope
	}
	return OthersScope
}

// storeReaders returns the names of the VMs of a zone that read the store for it:
// the largest ones that can reach the store.
func (t *topology) storeReaders(zone string, readers int) []string {
	if t.readersZone != zone || t.readersMost != readers {
		t.readersZone, t.readersMost = zone, readers
		t.readers = largestMembers(t.members, zone, readers, func(m *Member) bool { return !m.Lost })
	}
	return t.readers
}
