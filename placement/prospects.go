package placement

import "math"

// Prospects are the predictions for a call over all upstreams that may take it.
type Prospects struct {
	Candidates int
	// Soonest is the earliest predicted first event in seconds.
	Soonest float64
	// IdleRoom is set if an upstream runs fewer calls of all VMs than it has slots, or if its
	// slots are not known.
	IdleRoom bool
	// Calls and Slots are the sums over the candidates.
	Calls, Slots int
}

// Prospects returns the predictions for a call over the upstreams that Choose compares.
func (b *Balancer) Prospects(q *Query) Prospects {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.prospects(q, false); p.Candidates > 0 {
		return p
	}
	return b.prospects(q, true)
}

func (b *Balancer) prospects(q *Query, lastResort bool) Prospects {
	p := Prospects{Soonest: math.Inf(1)}
	common := b.prepare(q)
	var c Choice
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, lastResort) {
			continue
		}
		calls := e.own.Calls + e.peers.Calls
		p.Candidates++
		p.Calls += calls
		p.Slots += e.Slots
		p.IdleRoom = p.IdleRoom || e.Slots <= 0 || calls < e.Slots
		b.predict(e, q, &common, &c)
		p.Soonest = min(p.Soonest, c.FirstEvent)
	}
	return p
}
