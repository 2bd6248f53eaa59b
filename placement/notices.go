package placement

import (
	"slices"
	"strconv"
	"time"
)

// Instance identifies one process of an upstream. Another process may have the same ID
// or the same address.
type Instance struct {
	ID          string
	Incarnation int64
	Address     string
}

// String returns a name of the process that no other has.
func (i Instance) String() string {
	return i.ID + "@" + strconv.FormatInt(i.Incarnation, 36) + "@" + i.Address
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
	pausedUntil  time.Time
	// reportedPause is the end of the pause that RecordPause last reported as new.
	reportedPause time.Time
	// keptAt is the time of the last sweep that found the instance known.
	keptAt time.Time
}

func (n *notices) leaving() bool { return n != nil && !n.leavingSince.IsZero() }

// pauseLeft returns the rest of the pause, 0 if there is none.
func (n *notices) pauseLeft(now time.Time) time.Duration {
	if n == nil {
		return 0
	}
	return max(0, n.pausedUntil.Sub(now))
}

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

// minReportedExtension is the least time by which a pause must grow to be reported as
// new. The answers to calls in flight each ask for a pause that ends a little later.
const minReportedExtension = time.Second

// RecordPause records that an instance wants no calls of this VM for a time. Of several
// pauses the one that ends last applies. It reports whether the pause is new or much
// longer than before.
func (b *Balancer) RecordPause(i Instance, pause time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.noticesOf(i)
	paused, until := n.pauseLeft(now) > 0, now.Add(pause)
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	if paused && until.Sub(n.reportedPause) < minReportedExtension {
		return false
	}
	n.reportedPause = until
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

// ShortestPause returns the time until the first of the upstreams that may serve the
// call has no pause any more: 0 if one of them has none now, or if there are none. Other
// reasons against an upstream, and Query.Exclude, do not count, because they may end
// sooner.
func (b *Balancer) ShortestPause(q *Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortest, found := time.Duration(0), false
	for _, e := range b.service[q.Service] {
		if e.evacuated || e.Draining || e.notices.leaving() || b.isGone(e, q.Now) || q.Allow != nil && !q.Allow(e.Release) {
			continue
		}
		left := e.notices.pauseLeft(q.Now)
		if !found || left < shortest {
			shortest, found = left, true
		}
	}
	return shortest
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
		if expired && n.pauseLeft(now) == 0 {
			delete(b.notices, i)
		}
	}
}
