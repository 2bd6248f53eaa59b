package placement

import "time"

// SetEvacuated replaces the set of evacuated availability zones. It handles the load of a
// zone that the operator takes out of service at once: no further call is placed at its
// upstreams, not even as a last resort, and a call that was placed there is not written.
// Calls in flight go on. SetEvacuated returns the zones that were added and those that were
// taken back.
func (b *Balancer) SetEvacuated(zones map[string]bool, now time.Time) (added, removed []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for zone := range zones {
		if !b.evacuated[zone] {
			added = append(added, zone)
		}
	}
	for zone := range b.evacuated {
		if !zones[zone] {
			removed = append(removed, zone)
		}
	}
	b.evacuated = make(map[string]bool, len(zones))
	for zone := range zones {
		b.evacuated[zone] = true
	}
	for _, e := range b.upstreams {
		if e.evacuated && !b.evacuated[e.AvailabilityZone] {
			// The upstream may have become cold before or during the evacuation.
			e.cold.mark(ColdTakenBack, now)
		}
		e.evacuated = b.evacuated[e.AvailabilityZone]
	}
	return added, removed
}

// Evacuated returns the number of evacuated availability zones.
func (b *Balancer) Evacuated() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.evacuated)
}

// IsEvacuated reports whether an availability zone is evacuated.
func (b *Balancer) IsEvacuated(zone string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evacuated[zone]
}

// AllEvacuated reports whether upstreams are registered that may serve the call, and all of
// them are in evacuated availability zones.
func (b *Balancer) AllEvacuated(q *Query) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for _, e := range b.service[q.Service] {
		if !e.unregisteredAt.IsZero() || e.Draining || e.notices.leaving() || q.Allow != nil && !q.Allow(e.Release) {
			continue
		}
		if !e.evacuated {
			return false
		}
		found = true
	}
	return found
}
