package daemon

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// upstreamsPerTick is the number of upstreams up to which the view is rebuilt
	// in each tick. Above it, the interval grows in proportion, to 3 s at 3,300
	// upstreams: a rebuild of that size takes more CPU time than the control
	// loop may use in a second.
	upstreamsPerTick = 110
	// urgentDivisor divides the interval after an upstream became usable or
	// unusable. Such a change does not cause a rebuild at once, because a failing
	// zone would then cause one in each tick.
	urgentDivisor = 4
)

// viewPacer decides at which ticks the view of the upstreams is rebuilt. It is
// used by the control loop only.
type viewPacer struct {
	snapshot *tree.Snapshot
	ratingUp bool
	usable   []bool
	builtAt  time.Time
	// changed is set when an upstream has become usable or unusable since the
	// view was built.
	changed bool
}

// due reports whether the view is to be rebuilt now. It always is for new
// settings, because a withdrawn version must be removed from the view.
func (p *viewPacer) due(now time.Time, tick time.Duration, s *tree.Snapshot, ratingUp bool, upstreams *table.Table[table.Upstream]) bool {
	p.changed = p.compare(upstreams) || p.changed
	interval := tick * time.Duration((upstreams.Len()+upstreamsPerTick-1)/upstreamsPerTick)
	if p.changed || ratingUp != p.ratingUp {
		interval /= urgentDivisor
	}
	// Half a tick allows for ticks that come early.
	if s == p.snapshot && now.Sub(p.builtAt) < interval-tick/2 {
		return false
	}
	p.snapshot, p.ratingUp, p.builtAt, p.changed = s, ratingUp, now, false
	return true
}

// compare stores which upstreams are usable, and reports whether that has changed.
func (p *viewPacer) compare(upstreams *table.Table[table.Upstream]) bool {
	differs := upstreams.Len() != len(p.usable)
	if differs {
		p.usable = make([]bool, upstreams.Len())
	}
	i := 0
	for _, u := range upstreams.All() {
		if usable := u.Usable(); usable != p.usable[i] {
			p.usable[i], differs = usable, true
		}
		i++
	}
	return differs
}
