package placement

import "time"

// ExclusionCounts counts the upstreams of a service by the reason that excludes them from
// a call, to explain why a request was refused. Each upstream is counted under
// the first reason that applies; Registered counts independently of the reasons.
type ExclusionCounts struct {
	Registered int
	// Tried upstreams have already been called for the request. Leaving ones are
	// registered as draining, or one of their answers said that they leave. Lapsed ones
	// have lost their registration. OtherRelease ones run a release that is not allowed
	// for the request.
	Tried, Leaving, Lapsed, OtherRelease int
	// Evacuated upstreams are in an evacuated availability zone.
	Evacuated int
	// Cold upstreams have started recently, and this VM may not send them a request now.
	Cold int
	// Paused upstreams asked this VM for no calls until a time.
	Paused int
	// Unreachable upstreams accepted no connection or sent no byte recently.
	// Failing ones are ejected after consecutive failures.
	Unreachable, Failing int
	// ListAge is the time since the last SetUpstreams call.
	ListAge time.Duration
}

// ExclusionCounts returns why each upstream of the service cannot take the call of q.
func (b *Balancer) ExclusionCounts(q *Query) ExclusionCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := ExclusionCounts{ListAge: q.Now.Sub(b.listSetAt)}
	for _, e := range b.service[q.Service] {
		if e.unregisteredAt.IsZero() {
			c.Registered++
		}
		switch {
		case q.Exclude[e.ID]:
			c.Tried++
		case e.evacuated:
			c.Evacuated++
		case !e.unregisteredAt.IsZero():
			c.Lapsed++
		case e.Draining || e.notices.leaving():
			c.Leaving++
		case q.Allow != nil && !q.Allow(e.Release):
			c.OtherRelease++
		case e.notices.pauseLeft(q.Now) > 0:
			c.Paused++
		case e.health.isUnreachable(q.Now):
			c.Unreachable++
		case !b.coldAllows(e, coldAlone, q.Now):
			c.Cold++
		case e.health.ejected(q.Now):
			c.Failing++
		}
	}
	return c
}
