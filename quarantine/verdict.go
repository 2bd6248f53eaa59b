package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minUpstreams is the number of upstreams that must have ended before a part is
	// accused, and minRequests that of the requests that were in flight there.
	minUpstreams = 3
	minRequests  = 3
	// minUpstreamsStrict replaces minUpstreams for a part that was answered before, for ends
	// in the middle of an answer, and for ends within burstTime: long answers are in flight
	// at any end, and when upstreams end in quick succession, the retries of a sound request
	// may meet several of them. A part that was answered before is not accused for a single
	// burst at all.
	minUpstreamsStrict = 5
	burstTime          = time.Second
	// minExplained is the fraction of the ends, from the first to the last of those of a
	// part, that the part must explain: what ends most upstreams explains most ends. A
	// part with clearUpstreams ends by clearRequests requests is accused without it, because
	// several parts may end upstreams at the same time.
	minExplained   = 0.4
	clearUpstreams = 8
	clearRequests  = 5
	// minExplainedLate replaces minExplained for ends in the middle of an answer, because
	// requests with long answers are in flight at many ends by chance.
	minExplainedLate = 0.75
	// maxWritingShare bounds the writing time of the answers to a part as a fraction of that
	// of all answers at the same ends, and maxClearWritingShare replaces it for
	// clearUpstreams ends that are no burst. In a burst, most calls are young at their end.
	maxWritingShare      = 0.25
	maxClearWritingShare = 0.4
	// A part with lastingUpstreams ends by lastingRequests requests that explains the fraction
	// minExplainedLasting of the ends is accused, however long its answers are. For a part
	// that was never answered, clearUpstreams ends by clearRequests requests are enough if
	// they last for seriesTime and are endInterval apart at most, on average. All upstreams
	// may end once in a shorter series, and a part that ends them more rarely is in flight
	// so rarely that its ends are unlikely.
	lastingUpstreams, lastingRequests = 14, 8
	minExplainedLasting               = 0.9
	seriesTime, endInterval           = 3 * time.Second, 500 * time.Millisecond
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

// Accuses decides like Check for a request that must not test a part.
func (t *Tracker) Accuses(parts []Part, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(parts, now)
	d.Refused, d.Test = d.Refused || d.Test, false
	return d
}

// Reconsider decides like Accuses, by all evidence that is known at now. It is meant for a
// request whose call has ended an upstream, of which the verdict in use may not know yet.
func (t *Tracker) Reconsider(parts []Part, now time.Time) Decision {
	t.mu.Lock()
	if t.verdictOld {
		t.renewVerdict(now)
	}
	t.mu.Unlock()
	return t.Accuses(parts, now)
}

// decide decides by the accused part of the request that may be tested last.
func (t *Tracker) decide(parts []Part, now time.Time) Decision {
	t.judge(now)
	d := Decision{}
	for _, p := range parts {
		a, ok := t.accused[p]
		if !ok || t.suspects[p] == nil { // answered since the verdict
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
	maxAge := maxVerdictAge + time.Duration(len(t.ends))*verdictAgePerEnd
	if !t.verdictOld || now.Sub(t.verdictAt) < maxAge && now.After(t.verdictAt) {
		return
	}
	t.renewVerdict(now)
}

// renewVerdict finds the accused parts.
func (t *Tracker) renewVerdict(now time.Time) {
	before := t.accused
	t.accused, t.verdictAt, t.verdictOld = t.findAccused(), now, false
	for p, s := range t.suspects {
		_, s.accused = t.accused[p]
	}
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
	accused, explained := map[Part]Accusation{}, map[string]bool{}
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
			explained[e.upstream] = true
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

// heaviest returns the part under which most upstreams ended that no other part explains,
// then with most requests, and the parts that were in flight at exactly the same ends. A
// part that was answered before comes after all others.
func (t *Tracker) heaviest(candidates []Part, explained map[string]bool) []Part {
	var group []Part
	var most weight
	for _, p := range candidates {
		w := t.weigh(t.suspects[p], explained)
		switch c := w.compare(most); {
		case w.upstreams == 0 || c < 0:
		case c > 0:
			group, most = []Part{p}, w
		case sameEnds(t.suspects[p], t.suspects[group[0]], explained):
			group = append(group, p)
		}
	}
	return group
}

// weight tells whether a part was never answered, and how many upstreams ended under it and
// how many of its requests were there.
type weight struct{ unanswered, upstreams, requests int }

func (w weight) compare(o weight) int {
	return cmp.Or(cmp.Compare(w.unanswered, o.unanswered), cmp.Compare(w.upstreams, o.upstreams), cmp.Compare(w.requests, o.requests))
}

// weigh counts the ends that no other part explains. It returns zero if they are too few
// to accuse the part, or if no request without it was answered since the first of them:
// then all requests may be failing.
func (t *Tracker) weigh(s *suspect, explained map[string]bool) weight {
	if !s.corroborated && t.answers == s.answersBefore {
		return weight{}
	}
	open := collect(s.ends, explained)
	if !t.isAccusable(s, open, explained) {
		return weight{}
	}
	w := weight{upstreams: len(open.upstreams), requests: len(open.requests)}
	if !s.answered {
		w.unanswered = 1
	}
	return w
}

// isAccusable reports whether the ends of a part that no other part explains are enough to
// accuse it. Either it ends upstreams before the first event of an answer, or somewhere in it.
func (t *Tracker) isAccusable(s *suspect, open summary, explained map[string]bool) bool {
	switch {
	case len(open.upstreams) == 0:
		return false
	case (s.accused || s.corroborated) && open.isStrong():
		// How unlikely the ends are depends on what else happens; a verdict stands until an
		// answer clears the part.
		return true
	}
	return t.endsEarly(s, explained) || t.endsLate(s, open, explained)
}

// endsEarly reports whether the part ends upstreams before the first event of an answer.
func (t *Tracker) endsEarly(s *suspect, explained map[string]bool) bool {
	ends := s.earlyEnds()
	open := collect(ends, explained)
	if open.isEnough(s.begun) && (open.isClear() || open.explains(minExplained, t.endsBetween(open.first, open.last, explained))) {
		return true
	}
	// A part with many ends of which another one explains some is accused with the next.
	all := collect(ends, nil)
	return !s.begun && len(open.upstreams) > 0 && len(open.upstreams) < len(all.upstreams) && all.isStrong()
}

// endsLate reports whether the part ends upstreams anywhere in an answer: it is in flight at
// most ends, and they come early in its answers or much more often than by chance.
func (t *Tracker) endsLate(s *suspect, open summary, explained map[string]bool) bool {
	if !open.isStrong() || s.answered && open.isBurst() {
		return false
	}
	ends := t.endsBetween(open.first, open.last, explained)
	if open.explains(minExplainedLasting, ends) && open.isLasting(s.answered) {
		return true
	}
	return !s.answered && (open.explains(minExplainedLate, ends) && t.isShort(s, open, explained) || t.isUnlikely(s.ends, open, explained))
}

// isShort reports whether upstreams end soon after they have begun an answer to the part. Only
// the first call of each request counts: a retry is young whenever upstreams end in series.
func (t *Tracker) isShort(s *suspect, open summary, explained map[string]bool) bool {
	ends := firstOfRequests(s.ends)
	first := collect(ends, explained)
	if first.spaced < minUpstreams || len(first.requests) < clearRequests {
		return false
	}
	share := t.writingShare(ends, explained)
	return share <= maxWritingShare || open.spaced >= clearUpstreams && !open.isBurst() && share <= maxClearWritingShare
}

// firstOfRequests returns the first end of each request.
func firstOfRequests(ends []*end) []*end {
	first := map[Request]*end{}
	for _, e := range ends {
		if o := first[e.request]; o == nil || e.at.Before(o.at) {
			first[e.request] = e
		}
	}
	return slices.Collect(maps.Values(first))
}

// endsBetween counts the upstreams that ended in a time, without those that are explained.
func (t *Tracker) endsBetween(first, last time.Time, explained map[string]bool) int {
	n := 0
	for name, at := range t.upstreams {
		if !at.Before(first) && !at.After(last) && !explained[name] {
			n++
		}
	}
	return n
}

// sameEnds reports whether the same ends speak against two parts.
func sameEnds(a, b *suspect, explained map[string]bool) bool {
	return slices.Equal(openEnds(a, explained), openEnds(b, explained))
}

func openEnds(s *suspect, explained map[string]bool) []endKey {
	var keys []endKey
	for _, e := range s.ends {
		if !explained[e.upstream] {
			keys = append(keys, e.endKey)
		}
	}
	slices.SortFunc(keys, func(a, b endKey) int {
		return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.request, b.request))
	})
	return keys
}
