package placement

import (
	"slices"
	"time"
)

// Instance identifies one process of an upstream. Another process may have the same ID
// or the same address.
type Instance struct {
	ID          string
	Incarnation int64
	Address     string
}

// Instance returns the process that the registration describes.
func (u *Upstream) Instance() Instance {
	return Instance{ID: u.ID, Incarnation: u.Incarnation, Address: u.Address}
}

// notices is what an upstream has said in its answers about further calls. The methods
// accept nil, for an upstream that has said nothing.
type notices struct {
	// leavingSince is the time at which this VM learned that the upstream leaves, zero if
	// it has not said so.
	leavingSince time.Time
	// keptAt is the time of the last sweep that found the instance known.
	keptAt time.Time
}

func (n *notices) leaving() bool { return n != nil && !n.leavingSince.IsZero() }

// noticesOf returns the notices of an instance, which it adds if there are none. They are
// kept apart from upstreamState because they must outlive a lapse of the registration.
func (b *Balancer) noticesOf(i Instance) *notices {
	n := b.notices[i]
	if n == nil {
		n = &notices{}
		b.notices[i] = n
	}
	if b.isKnown(i) {
		b.upstreams[i.ID].notices = n
	}
	return n
}

// isKnown reports whether an instance is registered or was so recently.
func (b *Balancer) isKnown(i Instance) bool {
	e := b.upstreams[i.ID]
	return e != nil && e.Instance() == i
}

// RecordLeaving records that an instance has said that it leaves: it gets no further
// calls. It reports whether that is news.
func (b *Balancer) RecordLeaving(i Instance, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.noticesOf(i)
	if n.leaving() {
		return false
	}
	n.leavingSince = now
	return true
}

// LeavingSince returns the instances of which this VM has learned, since a time, that
// they leave; those learned last come first. Instances that have been without a
// registration for long are left out.
func (b *Balancer) LeavingSince(since, now time.Time) []Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Instance
	for i, n := range b.notices {
		current := b.isKnown(i) || now.Sub(n.leavingSince) < unregisteredRetention
		if n.leaving() && current && !n.leavingSince.Before(since) {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(x, y Instance) int {
		return b.notices[y].leavingSince.Compare(b.notices[x].leavingSince)
	})
	return list
}

// leavingRetention is how long it is remembered that an instance leaves after its
// registration has gone. The registration may return while the instance serves on, which
// takes minutes at most.
const leavingRetention = time.Hour

// expireNotices drops notices that no longer keep calls from an instance.
func (b *Balancer) expireNotices(now time.Time) {
	for i, n := range b.notices {
		if b.isKnown(i) {
			n.keptAt = now
		}
		expired := !n.leaving() || now.Sub(n.leavingSince) > leavingRetention && now.Sub(n.keptAt) > leavingRetention
		if expired {
			delete(b.notices, i)
		}
	}
}
