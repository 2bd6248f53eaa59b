package placement

import "time"

// RecordEvent records an event of the call that followed the one before after gap; allowed
// is the longest pause that the route of the call allows, 0 if it sets none.
func (c *Call) RecordEvent(gap, allowed time.Duration, now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.upstream.lastByteAt = now
	c.b.zone(c.upstream.AvailabilityZone).lastByteAt = now
	if !c.ended {
		c.upstream.pauses.Observe(gap, allowed, now)
	}
}

// ownLoad returns the load of this VM with the level of the pauses that it has seen.
func (e *upstreamState) ownLoad() Load {
	l := e.own
	l.Paused = e.pauses.Level() * float64(l.Streams)
	return l
}

// paused returns Load.Paused of the load of all VMs.
func (e *upstreamState) paused() float64 {
	return e.pauses.Level()*float64(e.own.Streams) + e.peers.Paused
}

// pauseLevel returns the level of the pauses, as the mean over the streams of all VMs.
func (l Load) pauseLevel() float64 {
	if l.Streams <= 0 {
		return 0
	}
	return l.Paused / float64(l.Streams)
}

// pauseLevelLifetime is the age at which the level of the pauses at all upstreams of a service
// is computed again. Levels change within seconds.
const pauseLevelLifetime = 100 * time.Millisecond

// servicePauses is the level of the pauses at all upstreams of a service at a time.
type servicePauses struct {
	level float64
	at    time.Time
}

// pauseLevel returns the level of the pauses at all upstreams of the service of a call.
func (b *Balancer) pauseLevel(q *Query) float64 {
	if q.Model == "" {
		return 0
	}
	known, ok := b.pauses[q.Service]
	if age := q.Now.Sub(known.at); !ok || age < 0 || age >= pauseLevelLifetime {
		known = servicePauses{b.sumPauses(q.Service), q.Now}
		b.pauses[q.Service] = known
	}
	return known.level
}

func (b *Balancer) sumPauses(service string) float64 {
	var sum Load
	for _, e := range b.service[service] {
		sum.Streams += e.own.Streams + e.peers.Streams
		sum.Paused += e.paused()
	}
	return sum.pauseLevel()
}

// HighestPauseLevel returns the highest level of pauses among the upstreams at which streams
// run, see admission.Pauses.
func (b *Balancer) HighestPauseLevel() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	highest := 0.0
	for _, e := range b.upstreams {
		l := e.ownLoad()
		l.add(e.peers)
		highest = max(highest, l.pauseLevel())
	}
	return highest
}

// negated returns the load that takes l back.
func (l Load) negated() Load {
	return Load{Calls: -l.Calls, PrefillSeconds: -l.PrefillSeconds, Running: -l.Running, Streams: -l.Streams, Paused: -l.Paused, Tokens: -l.Tokens}
}

// streams returns the number of streams of all VMs that run at the upstream.
func (e *upstreamState) streams() int { return e.own.Streams + e.peers.Streams }

// pauseLevel returns the level of the pauses of the streams at the upstream.
func (e *upstreamState) pauseLevel() float64 {
	paused, streams := e.paused(), e.streams()
	if paused <= 0 || streams <= 0 {
		return 0
	}
	return paused / float64(streams)
}
