package system

import (
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// ProbeInterval is the time between two probes of one upstream, unless
	// ProbesPerSecond makes it longer.
	ProbeInterval = time.Second
	// SuspectInterval is the probe interval of an upstream that is down or whose
	// last result was a failure.
	SuspectInterval = 250 * time.Millisecond
	// ProbeTimeout bounds one probe.
	ProbeTimeout = time.Second
	// ProbesPerSecond bounds the probes of a daemon; with many upstreams their
	// probe interval grows. Half of the probes are reserved for suspected
	// upstreams while there are any.
	ProbesPerSecond = 20
	probesPerTick   = ProbesPerSecond * int(TickInterval) / int(time.Second)
)

// Probe asks an engine for its load report, or a plain service for any answer.
// Its result is a ProbeResult.
type Probe struct {
	Upstream string
	URL      string
	Kind     tree.UpstreamKind
	// SentAt is copied to the result.
	SentAt  time.Time
	Timeout time.Duration
}

func (Probe) effect() {}

// Probes sends the probes that are due, at a bounded rate. Upstreams that were
// probed longest ago come first.
func Probes(t *table.Tables, now time.Time, _ *Inputs) []Effect {
	var suspects, others leastRecentlyProbed
	for id, u := range t.Upstreams.All() {
		switch suspect := u.Health.Failures > 0 || !u.Health.Up; {
		case suspect && probeDue(&u.Health, now, SuspectInterval):
			suspects.add(id, u)
		case !suspect && probeDue(&u.Health, now, ProbeInterval):
			others.add(id, u)
		}
	}
	var effects []Effect
	for _, c := range selectProbes(suspects.list, others.list, probesPerTick) {
		u := c.upstream
		u.Health.Probing, u.Health.ProbedAt = true, now
		effects = append(effects, Probe{
			Upstream: c.id, URL: u.Settings.URL, Kind: u.Settings.Kind, SentAt: now, Timeout: ProbeTimeout,
		})
	}
	return effects
}

// probeDue reports whether the interval since the last probe has passed and no
// probe is in flight. The result of a probe sent more than twice its timeout ago
// counts as lost.
func probeDue(h *table.Health, now time.Time, interval time.Duration) bool {
	lost := h.Probing && now.Sub(h.ProbedAt) > 2*ProbeTimeout
	return (!h.Probing || lost) && now.Sub(h.ProbedAt) >= interval
}

// leastRecentlyProbed keeps the probesPerTick upstreams that were probed longest
// ago, in ascending order of the probe time. Of upstreams with equal times it
// prefers those added first.
type leastRecentlyProbed struct{ list []probeCandidate }

type probeCandidate struct {
	id       string
	upstream *table.Upstream
}

func (o *leastRecentlyProbed) add(id string, u *table.Upstream) {
	at := len(o.list)
	for at > 0 && u.Health.ProbedAt.Before(o.list[at-1].upstream.Health.ProbedAt) {
		at--
	}
	if at == probesPerTick {
		return
	}
	o.list = slices.Insert(o.list, at, probeCandidate{id, u})
	o.list = o.list[:min(len(o.list), probesPerTick)]
}

// selectProbes returns up to n candidates, half from each list. When one list is
// shorter, the other fills its share. So the suspects of a failed zone cannot
// starve the other upstreams of probes.
func selectProbes(a, b []probeCandidate, n int) []probeCandidate {
	fromA := min(len(a), max(n/2, n-len(b)))
	fromB := min(len(b), n-fromA)
	return slices.Concat(a[:fromA], b[:fromB])
}
