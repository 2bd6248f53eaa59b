package daemon

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// upstreamsPerRebuild paces the view: it is rebuilt each tick up to this
	// many upstreams and less often in proportion above, each 3 s at 3,300. A
	// rebuild of that size takes longer than control may use in a second.
	upstreamsPerRebuild = 110
	// hurry divides the pace when an upstream became usable or unusable, so
	// that a failing zone cannot cause a rebuild in each tick.
	hurry = 4
)

// viewPace decides at which ticks the view of the upstreams is rebuilt. It is
// owned by the control goroutine.
type viewPace struct {
	snapshot *tree.Snapshot
	ratingUp bool
	usable   []bool
	builtAt  time.Time
	// changed says that an upstream became usable or unusable since the view
	// was built.
	changed bool
}

// due tells whether the view is to be rebuilt now. New settings always are a
// reason, because a withdrawn version must leave the view.
func (p *viewPace) due(now time.Time, tick time.Duration, s *tree.Snapshot, ratingUp bool, upstreams *table.Table[table.Upstream]) bool {
	p.changed = p.compare(upstreams) || p.changed
	pace := tick * time.Duration((upstreams.Len()+upstreamsPerRebuild-1)/upstreamsPerRebuild)
	if p.changed || ratingUp != p.ratingUp {
		pace /= hurry
	}
	// Half a tick allows for ticks that come early.
	if s == p.snapshot && now.Sub(p.builtAt) < pace-tick/2 {
		return false
	}
	p.snapshot, p.ratingUp, p.builtAt, p.changed = s, ratingUp, now, false
	return true
}

// compare stores which upstreams are usable, and tells whether that differs.
func (p *viewPace) compare(upstreams *table.Table[table.Upstream]) bool {
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
