package placement

import "time"

// Call is the record of one call in flight. It is used by one goroutine.
type Call struct {
	b         *Balancer
	e         *entry
	load      Load
	model     string
	parts     []Part
	predicted float64
	reading   float64
	weight    float64
	start     time.Time
	first     bool
	ended     bool
}

// Start records a call that is about to be sent to the chosen upstream. It
// returns nil when the upstream is not known any more.
func (b *Balancer) Start(c Choice, q *Query) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[c.ID]
	if e == nil {
		return nil
	}
	call := &Call{
		b: b, e: e, model: q.Model, parts: q.Parts, predicted: c.FirstEvent, reading: c.PrefillSeconds,
		weight: readingSeconds(prefillPerSecond, q.Rank), start: q.Now,
		load: Load{Calls: 1, PrefillSeconds: c.PrefillSeconds},
	}
	e.own.add(call.load)
	z := b.zone(e.AvailabilityZone)
	if z.calls == 0 {
		z.busy = q.Now
	}
	z.calls++
	return call
}

// RecordBytes notes that bytes came from the upstream.
func (c *Call) RecordBytes(now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.e.heard = now
	c.b.zone(c.e.AvailabilityZone).heard = now
}

// ZoneCutOff reports whether the zone of the upstream may be cut off.
func (c *Call) ZoneCutOff(now time.Time) bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.e.AvailabilityZone != c.b.o.AvailabilityZone && c.b.zones[c.e.AvailabilityZone].suspect(now)
}

// OnlyCall reports whether no other call of this VM is at the upstream.
func (c *Call) OnlyCall() bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.e.own.Calls <= 1
}

// SilentFor returns how long no call of this VM got a byte from the upstream,
// at most the time since this call was sent.
func (c *Call) SilentFor(now time.Time) time.Duration {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.e.heard.After(c.start) {
		return now.Sub(c.e.heard)
	}
	return now.Sub(c.start)
}

// FirstEvent notes that the prompt was read and the first event made.
func (c *Call) FirstEvent(now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.first || c.ended {
		return
	}
	c.first = true
	c.e.heard = now
	c.b.zone(c.e.AvailabilityZone).heard = now
	next := Load{Calls: 1, Running: c.weight}
	c.replace(next)
	if c.reading >= minSpeedSample {
		c.e.speed.observe(now.Sub(c.start).Seconds(), c.predicted)
	}
	for i, p := range c.parts {
		c.e.cached[cacheKey{c.model, p.ID}] = now
		// The last part is the request's own; no other request has it. Short ones
		// are not worth telling.
		if i < len(c.parts)-1 && p.Tokens >= minToldTokens {
			c.b.uses = append(c.b.uses, cacheEvent{CacheUse{Upstream: c.e.ID, Model: c.model, Part: p.ID}, now})
		}
	}
}

func (c *Call) replace(next Load) {
	c.e.own.add(Load{Calls: -c.load.Calls, PrefillSeconds: -c.load.PrefillSeconds, Running: -c.load.Running})
	if c.e.own.Calls+next.Calls == 0 {
		c.e.own = Load{}
	}
	c.e.own.add(next)
	c.load = next
}

// Outcome is how a call ended.
type Outcome int

// Outcomes. Neutral calls say nothing about the upstream: it refused because it
// is full, or the call was cancelled.
const (
	Neutral Outcome = iota
	Answered
	Failed
	// Unreachable calls got no connection, or no byte for long.
	Unreachable
)

// End removes the call and notes its outcome.
func (c *Call) End(o Outcome, now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.replace(Load{})
	c.b.zone(c.e.AvailabilityZone).calls--
	switch o {
	case Answered:
		c.e.health.succeed()
		c.b.zone(c.e.AvailabilityZone).heard = now
		if c.model == "" {
			c.e.speed.observe(now.Sub(c.start).Seconds(), c.predicted)
		}
	case Failed:
		c.e.health.fail(now)
	case Unreachable:
		c.e.health.fail(now)
		c.e.health.unreachable(now)
		c.b.zone(c.e.AvailabilityZone).failed = now
	}
}

func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// minToldTokens is the length from which a part of a prompt is worth a message.
const minToldTokens = 200

// CacheUse says that an upstream read a part of a prompt some time ago.
type CacheUse struct {
	Upstream, Model, Part string
	Age                   time.Duration
}

// cacheEvent is a use by a call of this VM.
type cacheEvent struct {
	CacheUse
	at time.Time
}

// RecentUses returns the uses by calls of this VM within a time, for peers.
func (b *Balancer) RecentUses(window time.Duration, now time.Time) []CacheUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.uses[:0]
	var out []CacheUse
	for _, u := range b.uses {
		if age := now.Sub(u.at); age <= window {
			kept = append(kept, u)
			out = append(out, CacheUse{Upstream: u.Upstream, Model: u.Model, Part: u.Part, Age: age})
		}
	}
	b.uses = kept
	return out
}

// AddUses notes what calls of peers have read.
func (b *Balancer) AddUses(uses []CacheUse, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range uses {
		if e := b.entries[u.Upstream]; e != nil {
			key := cacheKey{u.Model, u.Part}
			if at := now.Add(-u.Age); at.After(e.cached[key]) {
				e.cached[key] = at
			}
		}
	}
}

// Sweep forgets prefixes that are no longer kept and loads of silent peers.
func (b *Balancer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		for key, at := range e.cached {
			if now.Sub(at) > b.o.CacheLifetime {
				delete(e.cached, key)
			}
		}
	}
	b.sumPeers(now)
}
