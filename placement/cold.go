package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimit limits the requests to the cold upstreams of a service. An upstream is cold for
// a time after its process has started: it is slow then, and too many requests end it.
type ColdLimit struct {
	// Start is the time for which an upstream is cold after its start.
	Start time.Duration
	// Bound is the number of requests that all VMs together may send to one cold upstream
	// in any shareWindow.
	Bound float64
}

func (l ColdLimit) active() bool { return l.Start > 0 && l.Bound > 0 }

const (
	// shareWindow is the span in which the requests to a cold upstream are bounded.
	shareWindow = time.Second
	// safetyFactor is the part of the bound that is not distributed. It leaves room for VMs
	// whose rosters differ and for the delay between sending and arrival.
	safetyFactor = 2
	// maxShare bounds a share, so that it can be counted.
	maxShare = 1 << 20
	// aloneShare is the share of a VM that knows no other one.
	aloneShare = 1
	// unknownColdSlowness is the assumed slowness of a cold upstream of a service until the
	// first is measured. It is the largest ratio that one observation counts for.
	unknownColdSlowness = maxObservationRatio
)

// coldShare returns how many requests a VM may send to a cold upstream in any shareWindow.
// It handles the load of a service of which upstreams start during traffic, when the calls of
// all VMs together may end them. rank is the index of the VM in the rendezvous order of the
// roster of vms VMs for the upstream. The shares of one roster sum up to at most half of the
// bound. If the bound is too small for that, no VM sends.
func coldShare(bound float64, vms, rank int) int {
	half := int(min(bound/safetyFactor, maxShare))
	senders := min(vms, half)
	if rank >= senders {
		return 0
	}
	return max(1, half/senders)
}

// Roster tells how much a VM knows of the VMs that may send requests.
type Roster int

// States of a roster.
const (
	// RosterKnown: the roster is that of the fleet, or the VM is the only one.
	RosterKnown Roster = iota
	// RosterIncomplete: the VM has recently heard from its first peer and may not know all
	// VMs. It sends nothing to cold upstreams.
	RosterIncomplete
	// RosterAlone: the VM has not heard from a peer. It uses a cold upstream only if no
	// other is usable.
	RosterAlone
)

// ColdReason tells why an upstream counts as cold.
type ColdReason string

// Reasons.
const (
	ColdRegistered ColdReason = "registration"
	ColdAnswered   ColdReason = "answer"
	ColdNew        ColdReason = "new instance"
	ColdTakenBack  ColdReason = "zone taken back"
	ColdReturned   ColdReason = "accepts connections again"
	ColdLost       ColdReason = "accepted no connection"
)

// coldState is what a VM knows of the coldness of an instance, and its requests to it. It
// outlives a lapse of the registration.
type coldState struct {
	// toldUntil is the end of the cold period as the instance stated it. markedAt is the last
	// time at which the instance may have started, as other signs show.
	toldUntil, markedAt time.Time
	reason              ColdReason
	// lost is set from a failure to open a connection until one is accepted.
	lost bool
	// written holds the times of the last requests that were written, oldest first; reserved
	// counts the calls that are placed and not written.
	written  []time.Time
	reserved int
	// rank is the index of this VM in the order for the instance, by the roster of rankedBy.
	rank     int
	rankedBy uint64
}

// mark records a sign that the instance may have started at a time.
func (c *coldState) mark(reason ColdReason, at time.Time) { c.markedAt, c.reason = at, reason }

// told records that the instance has said that it remains cold for a time.
func (c *coldState) told(left time.Duration, reason ColdReason, now time.Time) {
	if until := now.Add(left); left > 0 && until.After(c.toldUntil) {
		c.toldUntil, c.reason = until, reason
	}
}

// sent returns the number of requests that count for the window that ends at now.
func (c *coldState) sent(now time.Time) int {
	n := c.reserved
	for _, at := range c.written {
		if now.Sub(at) < shareWindow {
			n++
		}
	}
	return n
}

// recordWritten records that a request is written. most is the number of requests that
// need to be remembered.
func (c *coldState) recordWritten(now time.Time, most int) {
	if len(c.written) >= most {
		c.written = append(c.written[:0], c.written[len(c.written)-most+1:]...)
	}
	c.written = append(c.written, now)
}

// SetColdLimits replaces the limits by service. Services without one are not limited.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldLimits = map[string]ColdLimit{}
	for service, l := range limits {
		if l.active() {
			b.coldLimits[service] = l
		}
	}
}

// SetRoster replaces the names of the VMs that may send requests to upstreams, and what this
// VM knows of them. self is the name of this VM. Before the first call this VM is the only one.
func (b *Balancer) SetRoster(self string, vms []string, state Roster) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rosterState = state
	if self != b.self || !slices.Equal(vms, b.roster) {
		b.self, b.roster = self, vms
		b.rosterVersion++
	}
}

// coldOf returns the cold state of an instance, which it adds if there is none.
func (b *Balancer) coldOf(i Instance) *coldState {
	c := b.colds[i]
	if c == nil {
		c = &coldState{}
		b.colds[i] = c
	}
	return c
}

// coldLeft returns the time for which the upstream remains cold, 0 if it is not or if the
// service has no limit.
func (b *Balancer) coldLeft(e *upstreamState, now time.Time) time.Duration {
	if len(b.coldLimits) == 0 {
		return 0
	}
	l, limited := b.coldLimits[e.Service]
	if !limited {
		return 0
	}
	left := max(0, e.cold.toldUntil.Sub(now))
	if !e.cold.markedAt.IsZero() {
		left = max(left, e.cold.markedAt.Add(l.Start).Sub(now))
	}
	if e.cold.lost {
		left = max(left, l.Start)
	}
	return left
}

func (b *Balancer) isCold(e *upstreamState, now time.Time) bool { return b.coldLeft(e, now) > 0 }

// share returns how many requests this VM may send to the upstream in any shareWindow while
// it is cold.
func (b *Balancer) share(e *upstreamState) int {
	switch b.rosterState {
	case RosterAlone:
		return min(aloneShare, coldShare(b.coldLimits[e.Service].Bound, 1, 0))
	case RosterIncomplete:
		return 0
	}
	return coldShare(b.coldLimits[e.Service].Bound, max(1, len(b.roster)), b.rank(e))
}

// rank returns the index of this VM in the rendezvous order of the roster for an instance.
func (b *Balancer) rank(e *upstreamState) int {
	c := e.cold
	if c.rankedBy == b.rosterVersion {
		return c.rank
	}
	instance := "\x00" + e.Instance().String()
	own := xxhash.Sum64String(b.self + instance)
	c.rank, c.rankedBy = 0, b.rosterVersion
	for _, vm := range b.roster {
		if h := xxhash.Sum64String(vm + instance); h > own || h == own && vm < b.self {
			c.rank++
		}
	}
	return c.rank
}

// coldRoom returns how many requests this VM may send to a cold upstream now.
func (b *Balancer) coldRoom(e *upstreamState, now time.Time) int {
	return max(0, b.share(e)-e.cold.sent(now))
}

// tier orders the upstreams that may take a call. Those of a later tier are chosen only if
// there is none in an earlier one.
type tier int

const (
	ordinary tier = iota
	// lastResort adds ejected and recently unregistered upstreams.
	lastResort
	// coldAlone adds cold upstreams for a VM that knows no other one.
	coldAlone
)

// coldAllows reports whether the coldness of an upstream does not rule out a call.
func (b *Balancer) coldAllows(e *upstreamState, t tier, now time.Time) bool {
	if !b.isCold(e, now) {
		return true
	}
	return (b.rosterState != RosterAlone || t == coldAlone) && b.coldRoom(e, now) > 0
}

// slow returns the predicted slowness of an upstream. That of cold ones is learned by
// service, and apart from that of the upstream when it is warm.
func (b *Balancer) slow(e *upstreamState, cold bool) float64 {
	if !cold {
		return e.slowness.factor()
	}
	return e.slowness.factor() * math.Max(1, b.coldSlowness(e.Service).factor())
}

func (b *Balancer) coldSlowness(service string) *slowness {
	s := b.coldSlow[service]
	if s == nil {
		s = &slowness{logFactor: math.Log(unknownColdSlowness)}
		b.coldSlow[service] = s
	}
	return s
}

// learn updates the learned slowness with the measured time of a call. What is measured
// while an upstream is cold does not change the slowness with which it is predicted
// afterwards. A call during which the upstream became cold says nothing of either.
func (c *Call) learn(now time.Time) {
	measured := now.Sub(c.startedAt).Seconds()
	switch {
	case c.cold:
		c.b.coldSlowness(c.upstream.Service).observe(measured, c.predictedFirstEvent)
	case !c.b.isCold(c.upstream, now):
		c.upstream.slowness.observe(measured, c.predictedFirstEvent)
	}
}

// Admission is the result of Call.Admit.
type Admission int

// Admissions.
const (
	// NotUsable: the upstream accepts no calls any more.
	NotUsable Admission = iota
	// ShareSpent: the upstream is cold and this VM may not send it a request now.
	ShareSpent
	Admitted
	// AdmittedCold: the upstream is cold, and the request is charged to the share.
	AdmittedCold
)

// Admit decides whether the request of the call may be written now, after a connection was
// opened. A request to a cold upstream is charged to the share and never returned, whatever
// becomes of it. The caller must write the request at once, or not at all.
func (c *Call) Admit(now time.Time) Admission {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	c.release()
	i := c.upstream.Instance()
	if !b.usableInstance(i, now) {
		return NotUsable
	}
	e := b.upstreams[i.ID]
	e.connected(now)
	l, limited := b.coldLimits[e.Service]
	if !limited {
		c.recordWritten(now)
		return Admitted
	}
	cold := b.isCold(e, now)
	if cold && b.coldRoom(e, now) == 0 {
		return ShareSpent
	}
	c.recordWritten(now)
	// Requests to a warm upstream are remembered in case that it becomes cold.
	e.cold.recordWritten(now, int(min(l.Bound, maxShare))+1)
	if cold {
		return AdmittedCold
	}
	return Admitted
}

// connected records that the upstream has accepted a connection.
func (e *upstreamState) connected(now time.Time) {
	if e.cold.lost {
		e.cold.lost = false
		e.cold.mark(ColdReturned, now)
	}
}

// reserve reserves room for the call, so that calls that are placed at the same time do not
// all count on it. It returns false if there is none.
func (c *Call) reserve(now time.Time) bool {
	if c.cold = c.b.isCold(c.upstream, now); !c.cold {
		return true
	}
	if c.b.coldRoom(c.upstream, now) == 0 {
		return false
	}
	c.reserved = c.upstream.cold
	c.reserved.reserved++
	return true
}

// release returns the reservation of the call.
func (c *Call) release() {
	if c.reserved != nil {
		c.reserved.reserved--
		c.reserved = nil
	}
}

// RecordCold records that an instance has said in an answer that it remains cold for a time.
func (b *Balancer) RecordCold(i Instance, left time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isKnown(i) {
		b.upstreams[i.ID].cold.told(left, ColdAnswered, now)
	}
}

// RecordEnded records that the process of an instance has ended. If the instance accepts
// connections again, it has started.
func (b *Balancer) RecordEnded(i Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isKnown(i) {
		b.upstreams[i.ID].cold.lost = true
	}
}

// ColdLeft returns the time until the first of the upstreams that may serve the call is warm:
// 0 if one is already, or if there are none. Query.Exclude does not count.
func (b *Balancer) ColdLeft(q *Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortest := time.Duration(0)
	for _, e := range b.service[q.Service] {
		if !e.acceptsCalls(q.Now) || b.isGone(e, q.Now) || q.Allow != nil && !q.Allow(e.Release) || e.health.isUnreachable(q.Now) {
			continue
		}
		left := b.coldLeft(e, q.Now)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// ColdUpstream describes a cold upstream for the log.
type ColdUpstream struct {
	Instance
	Reason ColdReason
	Left   time.Duration
	// Share is the number of requests that this VM may send to it in any second.
	Share int
}

// Cold returns the registered upstreams that are cold.
func (b *Balancer) Cold(now time.Time) []ColdUpstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ColdUpstream
	for _, e := range b.upstreams {
		if left := b.coldLeft(e, now); left > 0 && e.unregisteredAt.IsZero() {
			reason := e.cold.reason
			if e.cold.lost {
				reason = ColdLost
			}
			list = append(list, ColdUpstream{Instance: e.Instance(), Reason: reason, Left: left, Share: b.share(e)})
		}
	}
	return list
}

// expireColds drops the states of instances that are no longer known and whose requests no
// longer count.
func (b *Balancer) expireColds(now time.Time) {
	for i, c := range b.colds {
		if !b.isKnown(i) && c.sent(now) == 0 {
			delete(b.colds, i)
		}
	}
}
