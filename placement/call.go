package placement

import "time"

// Call tracks one call in flight to an upstream. Its methods take the lock of
// the Balancer.
type Call struct {
	b                   *Balancer
	upstream            *upstreamState
	load                Load
	model               string
	parts               []Part
	predictedFirstEvent float64
	predictedPrefill    float64
	runningWeight       float64
	startedAt           time.Time
	hasFirstEvent       bool
	// silent is set if a silence of the call was recorded as a failure.
	silent bool
	ended  bool
	// cold is set if the upstream was cold when the call was placed. reserved is the state of
	// the upstream in which the call has reserved room until it is written.
	cold     bool
	reserved *coldState
	// writtenAt is the time at which the request was written, zero before.
	writtenAt time.Time
	// tokens is the length of the prompt, and uncached the part of it that is expected to be read.
	tokens, uncached float64
}

// Start records a call that is about to be sent to the chosen upstream. It
// returns nil if the state of the upstream has been dropped, or if the upstream is cold and
// other calls have taken the room since it was chosen.
func (b *Balancer) Start(c Choice, q *Query) *Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream := b.upstreams[c.ID]
	if upstream == nil {
		return nil
	}
	call := &Call{
		b: b, upstream: upstream, model: q.Model, parts: q.Parts, predictedFirstEvent: c.FirstEvent, predictedPrefill: c.PrefillSeconds,
		runningWeight: prefillSeconds(prefillTokensPerSecond, q.Rank), startedAt: q.Now,
		tokens: float64(q.Tokens), uncached: c.UncachedTokens,
		load: Load{Calls: 1, PrefillSeconds: c.PrefillSeconds, Tokens: q.memory()},
	}
	if !call.reserve(q.Now) {
		return nil
	}
	upstream.own.add(call.load)
	z := b.zone(upstream.AvailabilityZone)
	if z.calls == 0 {
		z.busySince = q.Now
	}
	z.calls++
	return call
}

// RecordBytes records that bytes were received from the upstream.
func (c *Call) RecordBytes(now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.upstream.lastByteAt = now
	c.b.zone(c.upstream.AvailabilityZone).lastByteAt = now
}

// FailureSign tells why a call is not expected to go on although its connection is open.
// It is empty if the call is silent and nothing else is known.
type FailureSign string

// The signs that an upstream has failed although no connection has ended.
const (
	// Restarted: another instance has the upstream's ID or address.
	Restarted FailureSign = "restarted"
	// Unregistered: the registration has disappeared, or lapsed.
	Unregistered FailureSign = "unregistered"
	// Unconnectable: no connection could be opened since the last byte of the upstream.
	// A process that only pauses still accepts connections.
	Unconnectable FailureSign = "unconnectable"
	// CutOff: several upstreams of another availability zone are silent, and no connection
	// could be opened to one since the last byte of the zone.
	CutOff FailureSign = "cut off"
)

// FailureSign returns the sign that the upstream has failed. Bytes for any call of this
// VM disprove the last two.
func (c *Call) FailureSign(now time.Time) FailureSign {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	u := c.upstream
	switch {
	case c.b.upstreams[u.ID] != u:
		return Restarted
	case !u.unregisteredAt.IsZero():
		return Unregistered
	case u.unconnectableAt.After(u.lastByteAt) && u.unconnectableAt.After(c.startedAt):
		return Unconnectable
	case u.AvailabilityZone != c.b.options.AvailabilityZone && c.b.zoneSilent(u.AvailabilityZone, now):
		return CutOff
	}
	return ""
}

// probeInterval is the shortest time between two probes of an upstream by this VM.
const probeInterval = 500 * time.Millisecond

// BeginProbe reports whether the upstream of the call is to be probed, because this VM has
// not done so recently.
func (c *Call) BeginProbe(now time.Time) bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if now.Sub(c.upstream.probedAt) < probeInterval {
		return false
	}
	c.upstream.probedAt = now
	return true
}

// EndProbe records whether the upstream accepted a connection.
func (c *Call) EndProbe(connected bool, now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if connected {
		c.upstream.connected(now)
		return
	}
	c.upstream.health.recordUnreachable(now)
	c.upstream.unconnectableAt, c.upstream.cold.lost = now, true
	z := c.b.zone(c.upstream.AvailabilityZone)
	z.lastFailureAt, z.unconnectableAt = now, now
}

// zoneSilent reports whether an availability zone is cut off rather than some of its
// upstreams silent: at least minSilentUpstreams have calls of this VM, minZoneCalls in
// all, none has sent a byte for silentZoneAfter, and since then one accepted no connection.
// Upstreams that pause at the same time accept connections.
func (b *Balancer) zoneSilent(name string, now time.Time) bool {
	z := b.zones[name]
	if z == nil || z.calls < minZoneCalls || now.Sub(z.lastByteAt) < silentZoneAfter || now.Sub(z.busySince) < silentZoneAfter || !z.unconnectableAt.After(z.lastByteAt) {
		return false
	}
	busy := 0
	for _, u := range b.upstreams {
		if u.AvailabilityZone == name && u.own.Calls > 0 {
			busy++
		}
	}
	return busy >= minSilentUpstreams
}

// OnlyCall reports whether this VM has no other call in flight at the upstream.
func (c *Call) OnlyCall() bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.upstream.own.Calls <= 1
}

// SilentFor returns the time since any call of this VM last received a byte from
// the upstream, or since this call was sent if that is shorter.
func (c *Call) SilentFor(now time.Time) time.Duration {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.upstream.lastByteAt.After(c.startedAt) {
		return now.Sub(c.upstream.lastByteAt)
	}
	return now.Sub(c.startedAt)
}

// FirstEvent records the first event of the call: the prefill is complete, the
// prompt parts are in the upstream's cache, and the measured latency updates the
// learned slowness.
func (c *Call) FirstEvent(now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.hasFirstEvent || c.ended {
		return
	}
	c.hasFirstEvent = true
	c.upstream.lastByteAt = now
	c.b.zone(c.upstream.AvailabilityZone).lastByteAt = now
	next := Load{Calls: 1, Running: c.runningWeight, Streams: 1, Tokens: c.load.Tokens}
	c.setLoad(next)
	if c.predictedPrefill >= minSlownessSample {
		c.learn(now)
	}
	c.recordRead(now)
}

func (c *Call) setLoad(next Load) {
	c.upstream.own.add(c.load.negated())
	if c.upstream.own.Calls+next.Calls == 0 {
		c.upstream.own = Load{}
	}
	c.upstream.own.add(next)
	c.load = next
}

// Outcome is the result of a call as far as the health of the upstream is
// concerned.
type Outcome int

// Outcomes of a call. Neutral does not count for or against the upstream: it
// refused the call because it was full, or the call was cancelled.
const (
	Neutral Outcome = iota
	Answered
	Failed
	// Unreachable means that no connection was established.
	Unreachable
	// Silent means that the upstream sent no byte for a long time. It may be alive.
	Silent
)

// End removes the call from the load in flight and records its outcome. Further
// calls of End have no effect.
func (c *Call) End(o Outcome, now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.release()
	c.forgetUnread()
	c.setLoad(Load{})
	c.b.zone(c.upstream.AvailabilityZone).calls--
	switch o {
	case Answered:
		c.upstream.health.recordSuccess()
		c.b.zone(c.upstream.AvailabilityZone).lastByteAt = now
		if c.model == "" {
			c.learn(now)
		}
	case Failed:
		if !c.silent {
			c.upstream.health.recordFailure(now)
		}
	case Unreachable:
		c.upstream.health.recordFailure(now)
		c.upstream.health.recordUnreachable(now)
		c.upstream.unconnectableAt, c.upstream.cold.lost = now, true
		z := c.b.zone(c.upstream.AvailabilityZone)
		z.lastFailureAt, z.unconnectableAt = now, now
	case Silent:
		c.recordSilence(now)
	}
}

// RecordSilence records that the upstream was silent for a long time, for a call that may
// still go on.
func (c *Call) RecordSilence(now time.Time) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if !c.ended {
		c.recordSilence(now)
	}
}

func (c *Call) recordSilence(now time.Time) {
	c.silent = true
	c.upstream.health.recordFailure(now)
	c.upstream.health.recordSilence(now)
	c.b.zone(c.upstream.AvailabilityZone).lastFailureAt = now
}

func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// Sweep drops prompt parts older than CacheLifetime, expired load reports of peers and
// expired notices of upstreams.
func (b *Balancer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireHeld(now)
	b.recomputePeerLoads(now)
	b.expireNotices(now)
	b.expireColds(now)
}
