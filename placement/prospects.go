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
	b.matchHeld(q)
	last := b.lastTier()
	for t := ordinary; t < last; t++ {
		if p := b.prospects(q, t); p.Candidates > 0 {
			return p
		}
	}
	return b.prospects(q, last)
}

func (b *Balancer) prospects(q *Query, t tier) Prospects {
	p := Prospects{Soonest: math.Inf(1)}
	view := b.newPromptView(q)
	for _, e := range b.service[q.Service] {
		if !b.usable(e, q, t) {
			continue
		}
		calls := e.own.Calls + e.peers.Calls
		p.Candidates++
		p.Calls += calls
		p.Slots += e.Slots
		p.IdleRoom = p.IdleRoom || e.Slots <= 0 || calls < e.Slots
		p.Soonest = min(p.Soonest, b.weigh(e, q, &view).firstEvent)
	}
	return p
}

// Occupancy returns the calls of all VMs in flight at the registered upstreams of a service,
// and their slots.
func (b *Balancer) Occupancy(service string) (calls, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.service[service] {
		if e.unregisteredAt.IsZero() {
			calls += e.own.Calls + e.peers.Calls
			slots += e.Slots
		}
	}
	return calls, slots
}

// outputTokenSeconds is the engine time per generated token relative to that per prompt
// token: a token is generated in a step of its own, which it shares with other streams.
const outputTokenSeconds = 10

// EngineSeconds returns the engine time in seconds that a call takes, with an expected number
// of generated tokens.
func (c *Choice) EngineSeconds(output, rank int) float64 {
	return c.PrefillSeconds + prefillSeconds(outputTokenSeconds*float64(output), rank)
}
