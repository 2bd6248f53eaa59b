package fleet

import (
	"time"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// newsWindow is how long after this VM learned of it a use is told to a peer that does
	// not acknowledge uses. It covers several exchanges.
	newsWindow = 800 * time.Millisecond
	// newsLifetime is how long a use is kept for peers that acknowledge uses.
	newsLifetime = reportLifetime
	// usesGap is the least time between two uses of the same prompt part at the same upstream
	// that are told to peers. It is a small part of the time for which an engine is assumed
	// to keep a part (10 s by default).
	usesGap = 500 * time.Millisecond
	// sessionsGap is the same for a session. It covers the differences between the times that
	// are computed from the ages of one use in successive reports.
	sessionsGap = 20 * time.Millisecond
)

// NewsMark is a position in the uses of prompt prefixes and sessions that an incarnation of a
// VM has learned of.
type NewsMark struct{ Incarnation, To int64 }

// news is one use in a log.
type news[V any] struct {
	value V
	// at is the time of the use, learnedAt the time at which this VM learned of it.
	at, learnedAt time.Time
	// source is the VM, or zonePrefix and the zone, that reported the use. It is empty for this VM.
	source string
	// position grows with each use that is added to any log of the VM.
	position int64
	// replaced is set once the log holds a later use with the same key.
	replaced bool
}

// newsLog holds the latest uses by key, in the order in which this VM learned of them, so that
// a peer is told of each use once. It is not safe for concurrent use.
type newsLog[K comparable, V any] struct {
	latest map[K]*news[V]
	order  []*news[V]
	key    func(V) K
	// repeats reports whether a use says nothing new to those who know of an earlier one.
	repeats func(earlier, later *news[V]) bool
}

func newNewsLog[K comparable, V any](key func(V) K, repeats func(earlier, later *news[V]) bool) *newsLog[K, V] {
	return &newsLog[K, V]{latest: map[K]*news[V]{}, key: key, repeats: repeats}
}

// useKey identifies a prompt part in the cache of an upstream.
type useKey struct{ upstream, model, part string }

func newUseLog() *newsLog[useKey, placement.CacheUse] {
	return newNewsLog(
		func(u placement.CacheUse) useKey { return useKey{u.Upstream, u.Model, u.Part} },
		func(earlier, later *news[placement.CacheUse]) bool { return later.at.Sub(earlier.at) < usesGap },
	)
}

func newSessionLog() *newsLog[uint64, rollout.SessionUse] {
	return newNewsLog(
		func(u rollout.SessionUse) uint64 { return u.Session },
		func(earlier, later *news[rollout.SessionUse]) bool {
			gap := later.at.Sub(earlier.at)
			same := earlier.value.New == later.value.New && earlier.value.Order == later.value.Order
			return gap <= 0 || same && gap < sessionsGap
		},
	)
}

// add adds a use at the position after the given one, unless it repeats a known one. It returns
// the last position.
func (l *newsLog[K, V]) add(n news[V], last int64) int64 {
	key := l.key(n.value)
	if known := l.latest[key]; known != nil {
		if l.repeats(known, &n) {
			return last
		}
		known.replaced = true
	}
	n.position = last + 1
	l.latest[key] = &n
	l.order = append(l.order, &n)
	return n.position
}

// after calls visit for the uses after a position that were learned since a time, the last one
// first, until visit returns false. Uses that were replaced by later ones are left out.
func (l *newsLog[K, V]) after(position int64, since time.Time, visit func(*news[V]) bool) {
	for i := len(l.order) - 1; i >= 0; i-- {
		n := l.order[i]
		if n.position <= position || n.learnedAt.Before(since) {
			return
		}
		if !n.replaced && !visit(n) {
			return
		}
	}
}

// expire drops the uses that were learned before a time.
func (l *newsLog[K, V]) expire(before time.Time) {
	n := 0
	for n < len(l.order) && l.order[n].learnedAt.Before(before) {
		if !l.order[n].replaced {
			delete(l.latest, l.key(l.order[n].value))
		}
		l.order[n] = nil
		n++
	}
	l.order = l.order[n:]
}
