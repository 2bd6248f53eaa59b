package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minUpstreams is the number of upstreams that must have ended before a part is
	// accused, and minUpstreamsAnswered the same for a part that was answered before.
	minUpstreams         = 3
	minUpstreamsAnswered = 5
	// minRequests is the number of requests that must have been in flight at these ends.
	minRequests = 2
	// minContrast is the number of requests without the part that must have been answered
	// since the first of its ends. Without them all requests may be failing.
	minContrast = 3
	// endSpacing is the time within which several ends count as one: whatever ends
	// upstreams at the same moment is no request.
	endSpacing = 50 * time.Millisecond
	// firstTest is the time from the last end until a request may test a part for which
	// minUpstreams have ended. It doubles with each further end, up to maxTestInterval.
	firstTest       = 5 * time.Second
	maxTestInterval = 5 * time.Minute
	// comparisonInterval is the time between two requests that hold an accused part without
	// the parts that were in flight at the same ends. They show which part is the cause.
	comparisonInterval = 2 * time.Second
)

// Decision tells whether a request may be sent to an upstream.
type Decision struct {
	// Refused is set if the request holds an accused part.
	Refused bool
	// Test is set if the request holds an accused part and may be sent to one upstream
	// to find out whether the part still ends it.
	Test bool
	Part Part
	// Upstreams is the number of upstreams that ended under the part.
	Upstreams int
	// RetryAfter is the time until a request may test the part, at least a second.
	RetryAfter time.Duration
	// nextTest is the time from which another request may test the part after this one.
	nextTest time.Time
}

// Check decides whether a request may be sent to an upstream. A request that tests a part
// takes up the test: further ones are refused until its outcome is known.
func (t *Tracker) Check(parts []Part, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(parts, now)
	if d.Test {
		t.suspects[d.Part].testUntil = d.nextTest
	}
	return d
}

// Refuses reports whether a request must not be sent to an upstream any more. It takes up
// no test.
func (t *Tracker) Refuses(parts []Part, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(parts, now).Refused
}

// decide decides by the accused part of the request that may be tested last.
func (t *Tracker) decide(parts []Part, now time.Time) Decision {
	t.judge(now)
	d := Decision{}
	for _, p := range parts {
		a, ok := t.accused[p]
		if !ok {
			continue
		}
		if next := t.decideByPart(a, containsAll(parts, a.With), now); !d.Refused || next.Refused && next.RetryAfter > d.RetryAfter {
			d = next
		}
	}
	return d
}

// decideByPart decides by one accused part. whole is set if the request also holds the
// parts of a.With.
func (t *Tracker) decideByPart(a Accusation, whole bool, now time.Time) Decision {
	s := t.suspects[a.Part]
	d := Decision{Part: a.Part, Upstreams: a.Upstreams}
	due := s.testUntil
	if !whole {
		d.Test, d.nextTest = !due.After(now), now.Add(comparisonInterval)
	} else {
		if first := s.lastEnd().Add(testInterval(a.Upstreams)); first.After(due) {
			due = first
		}
		overdue := now.Sub(due)
		d.Test = overdue >= 0 && (t.opts.MayTest == nil || t.opts.MayTest(overdue, now))
		d.nextTest = now.Add(testInterval(a.Upstreams))
	}
	d.Refused, d.RetryAfter = !d.Test, max(time.Second, due.Sub(now))
	return d
}

// testInterval returns the time between the last end and a test.
func testInterval(upstreams int) time.Duration {
	interval := firstTest
	for range upstreams - minUpstreams {
		if interval = 2 * interval; interval >= maxTestInterval {
			return maxTestInterval
		}
	}
	return interval
}

func containsAll(parts, all []Part) bool {
	for _, p := range all {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// judge finds the accused parts, unless the last verdict still holds.
func (t *Tracker) judge(now time.Time) {
	if !t.verdictOld || now.Sub(t.verdictAt) < maxVerdictAge && now.After(t.verdictAt) {
		return
	}
	before := t.accused
	t.accused, t.verdictAt, t.verdictOld = t.findAccused(), now, false
	for p, a := range t.accused {
		if _, known := before[p]; !known && t.opts.Accused != nil {
			t.opts.Accused(a)
		}
	}
	for p, a := range before {
		if _, still := t.accused[p]; !still && t.opts.Cleared != nil {
			t.opts.Cleared(a)
		}
	}
}

// findAccused accuses the part with the most ends, as long as one has enough of them.
// Its ends then count for no other part.
func (t *Tracker) findAccused() map[Part]Accusation {
	accused, explained := map[Part]Accusation{}, map[*end]bool{}
	candidates := t.candidates()
	for {
		group := t.heaviest(candidates, explained)
		if len(group) == 0 {
			return accused
		}
		for _, p := range group {
			with := slices.DeleteFunc(slices.Clone(group), func(o Part) bool { return o == p })
			accused[p] = Accusation{Part: p, Upstreams: t.suspects[p].upstreams(), With: with}
		}
		for _, e := range t.suspects[group[0]].ends {
			explained[e] = true
		}
	}
}

// candidates returns the parts with enough ends to be accused, in a fixed order.
func (t *Tracker) candidates() []Part {
	var list []Part
	for p, s := range t.suspects {
		if len(s.ends) >= minUpstreams {
			list = append(list, p)
		}
	}
	slices.Sort(list)
	return list
}

// heaviest returns the part with the most unexplained ends, and those with the same ends.
func (t *Tracker) heaviest(candidates []Part, explained map[*end]bool) []Part {
	var group []Part
	most := 0
	for _, p := range candidates {
		n := t.weight(t.suspects[p], explained)
		switch {
		case n == 0 || n < most:
		case n > most:
			group, most = []Part{p}, n
		case sameEnds(t.suspects[p], t.suspects[group[0]], explained):
			group = append(group, p)
		}
	}
	return group
}

// weight returns the number of upstreams whose ends only this part explains, or 0 if they
// are too few to accuse it.
func (t *Tracker) weight(s *suspect, explained map[*end]bool) int {
	least := minUpstreams
	if s.answered {
		least = minUpstreamsAnswered
	}
	if len(s.ends) < least || !s.corroborated && t.answers-s.answersBefore < minContrast {
		return 0
	}
	upstreams, requests := map[string]time.Time{}, map[Request]bool{}
	for _, e := range s.ends {
		if explained[e] {
			continue
		}
		requests[e.request] = true
		if at, ok := upstreams[e.upstream]; !ok || e.at.Before(at) {
			upstreams[e.upstream] = e.at
		}
	}
	if n := countSpaced(upstreams); n >= least && len(requests) >= minRequests {
		return len(upstreams)
	}
	return 0
}

// countSpaced counts ends, where those within endSpacing after a counted one are left out.
func countSpaced(upstreams map[string]time.Time) int {
	times := slices.SortedFunc(maps.Values(upstreams), time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= endSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// sameEnds reports whether the same ends speak against two parts.
func sameEnds(a, b *suspect, explained map[*end]bool) bool {
	return slices.Equal(openEnds(a, explained), openEnds(b, explained))
}

func openEnds(s *suspect, explained map[*end]bool) []endKey {
	var keys []endKey
	for _, e := range s.ends {
		if !explained[e] {
			keys = append(keys, e.endKey)
		}
	}
	slices.SortFunc(keys, func(a, b endKey) int {
		return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.request, b.request))
	})
	return keys
}
