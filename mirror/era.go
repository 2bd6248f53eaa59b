package mirror

import (
	"cmp"
	"sync"
	"time"
)

// Position is a revision of the store together with its era. A store that is restored from
// an older copy begins a new era and gives out the revisions after that copy again, so that
// revisions can be compared only within an era.
type Position struct{ Era, Revision int64 }

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision)) < 0
}

// Position returns that of the last change of a row.
func (r *Row) Position() Position { return Position{r.Era, r.Revision} }

// Position returns that up to which a page holds all changes.
func (p *Page) Position() Position { return Position{p.Era, p.Revision} }

// Position returns that up to which a copy holds all changes.
func (s State) Position() Position { return Position{s.Era, s.Revision} }

// Position returns that up to which a copy holds all changes.
func (c Copy) Position() Position { return Position{c.Era, c.Revision} }

// Restored reports whether a row may be older than the era, because the store may have had
// it when it was restored.
func (c Copy) Restored(p Position) bool { return p.Era < c.Era || p.Revision <= c.Base }

// Eras records the first revision that was seen in the newest era of a store. The mirrors of
// a store share it. It is safe for concurrent use.
type Eras struct {
	mu    sync.Mutex
	known bool
	era   int64
	first int64
	// seenAt is the time at which this VM saw the first revision.
	seenAt time.Time
	// begun is set if this VM, or a peer that told it, knew the era before.
	begun bool
}

// observe records a revision. begun is set if the sender knew the era before. observe
// reports whether the first revision of the newest era has become lower.
func (e *Eras) observe(p Position, begun bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.known || p.Era > e.era:
		e.begun = begun || e.known
		e.known, e.era, e.first, e.seenAt = true, p.Era, p.Revision, now
	case p.Era == e.era && p.Revision < e.first:
		e.first, e.begun = p.Revision, e.begun || begun
		return true
	case p.Era == e.era:
		e.begun = e.begun || begun
	}
	return false
}

// begin returns the first revision that was seen in an era by a VM that knew the era
// before, 0 if it is not known.
func (e *Eras) begin(era int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.begun || era != e.era || era == 0 {
		return 0
	}
	return e.first
}

// base returns the revision up to which rows of an era may be older than the era. A VM that
// has started in an era does not know how old the era is, and uses the first revision that
// it saw only for the given time.
func (e *Eras) base(era int64, window time.Duration, now time.Time) int64 {
	if first := e.begin(era); first > 0 {
		return first
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == 0 || era != e.era || e.begun || now.Sub(e.seenAt) >= window {
		return 0
	}
	return e.first
}
