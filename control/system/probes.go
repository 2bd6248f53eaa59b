package system

import (
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// ProbeInterval is the time between two probes of one upstream when there
	// are few of them.
	ProbeInterval = time.Second
	// SuspectInterval is the same for an upstream whose last result was a
	// failure.
	SuspectInterval = 250 * time.Millisecond
	// ProbeTimeout bounds one probe.
	ProbeTimeout = time.Second
	// ProbesPerSecond bounds the probes of a daemon; with many upstreams the
	// interval is longer. Half of them go to suspected upstreams first.
	ProbesPerSecond = 20
	probesPerTick   = ProbesPerSecond * int(TickInterval) / int(time.Second)
)

// Probe asks an engine for its load report, or a plain service for any answer.
// Its result is a ProbeResult.
type Probe struct {
	Upstream string
	URL      string
	Kind     tree.UpstreamKind
	// SentAt is repeated in the result.
	SentAt  time.Time
	Timeout time.Duration
}

func (Probe) effect() {}

// Probes sends the probes that are due, at a bounded rate, the oldest first.
func Probes(t *table.Tables, now time.Time, _ *Inputs) []Effect {
	var suspects, others oldest
	for id, u := range t.Upstreams.All() {
		switch suspect := u.Health.Failures > 0 || !u.Health.Up; {
		case suspect && probeDue(&u.Health, now, SuspectInterval):
			suspects.offer(id, u)
		case !suspect && probeDue(&u.Health, now, ProbeInterval):
			others.offer(id, u)
		}
	}
	var effects []Effect
	for _, c := range share(suspects.list, others.list, probesPerTick) {
		u := c.upstream
		u.Health.Probing, u.Health.ProbedAt = true, now
		effects = append(effects, Probe{
			Upstream: c.id, URL: u.Settings.URL, Kind: u.Settings.Kind, SentAt: now, Timeout: ProbeTimeout,
		})
	}
	return effects
}

// probeDue also holds when the result of the last probe was lost.
func probeDue(h *table.Health, now time.Time, interval time.Duration) bool {
	lost := h.Probing && now.Sub(h.ProbedAt) > 2*ProbeTimeout
	return (!h.Probing || lost) && now.Sub(h.ProbedAt) >= interval
}

// oldest keeps the probesPerTick upstreams that were probed longest ago, oldest
// first; of equal ones those offered first.
type oldest struct{ list []candidate }

type candidate struct {
	id       string
	upstream *table.Upstream
}

func (o *oldest) offer(id string, u *table.Upstream) {
	at := len(o.list)
	for at > 0 && u.Health.ProbedAt.Before(o.list[at-1].upstream.Health.ProbedAt) {
		at--
	}
	if at == probesPerTick {
		return
	}
	o.list = slices.Insert(o.list, at, candidate{id, u})
	o.list = o.list[:min(len(o.list), probesPerTick)]
}

// share takes up to n candidates, half from each list, and fills up from either. The
// suspects of a failed zone then cannot starve the others of their probes.
func share(a, b []candidate, n int) []candidate {
	fromA := min(len(a), max(n/2, n-len(b)))
	fromB := min(len(b), n-fromA)
	return slices.Concat(a[:fromA], b[:fromB])
}
