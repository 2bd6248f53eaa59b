package placement

import "time"

// ExclusionCounts counts the upstreams of a service by what keeps them from a call, for
// the explanation of a refusal. Each upstream is counted once, under the first
// reason that applies.
type ExclusionCounts struct {
	Registered int
	// Tried upstreams were called for the request already; Lapsed ones are no
	// longer registered; OtherRelease ones run a release that may not serve it.
	Tried, Leaving, Lapsed, OtherRelease int
	// Unreachable upstreams got no connection or sent no byte lately; Failing
	// ones are avoided after failures in a row.
	Unreachable, Failing int
	// ListAge is the time since the list of upstreams last changed.
	ListAge time.Duration
}

// ExclusionCounts returns why the upstreams of a service cannot take the call of q.
func (b *Balancer) ExclusionCounts(q *Query) ExclusionCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := ExclusionCounts{ListAge: q.Now.Sub(b.listed)}
	for _, e := range b.service[q.Service] {
		if e.unregistered.IsZero() {
			c.Registered++
		}
		switch {
		case q.Exclude[e.ID]:
			c.Tried++
		case !e.unregistered.IsZero():
			c.Lapsed++
		case e.Draining:
			c.Leaving++
		case q.Allow != nil && !q.Allow(e.Release):
			c.OtherRelease++
		case e.health.dark(q.Now):
			c.Unreachable++
		case e.health.ejected(q.Now):
			c.Failing++
		}
	}
	return c
}
