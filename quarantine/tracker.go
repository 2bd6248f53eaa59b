package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxEnds bounds the ends that are kept, maxEntries the parts in them all.
	maxEnds    = 512
	maxEntries = 16 << 10
	// maxKeptEnds is the number of ends of an accused part that are dropped last.
	maxKeptEnds = 16
	// maxAnswered bounds the parts of which it is known when they were answered last.
	maxAnswered = 4096
	// endLifetime is how long an end is evidence. It is longer than several of the longest
	// intervals between two tests, which renew the evidence.
	endLifetime = 30 * time.Minute
	// newsLifetime is how long it is remembered that peers were told of an answer.
	newsLifetime = 10 * time.Second
	// minSurvival is the least time for which an upstream must have been writing an answer
	// to show that the request does not end it, and survivalFactor how much longer that must
	// be than the longest such time at an end under the same part.
	minSurvival    = 2 * time.Second
	survivalFactor = 3
	// answerSlack is how much earlier than an end an answer may be that still shows that a
	// part did not cause it: the time of news from peers is known to about that.
	answerSlack = 250 * time.Millisecond
	// maxVerdictAge and verdictAgePerEnd bound the age of the verdict in use, because finding
	// it takes time in proportion to the evidence.
	maxVerdictAge    = 20 * time.Millisecond
	verdictAgePerEnd = 200 * time.Microsecond
	// droppedShare is the fraction of the ends that is dropped when there are too many.
	droppedShare = 8
)

// Options configures a Tracker.
type Options struct {
	// MayTest reports whether this VM may let a request through that tests a part which
	// was accused. overdue is the time since a test became due. Nil allows it always.
	MayTest func(overdue time.Duration, now time.Time) bool
	// Accused is called when this VM begins to accuse a part by its own evidence or that
	// of peers, and Cleared when it no longer does. Both may be nil, and must not call
	// the Tracker.
	Accused, Cleared func(Accusation)
}

// Accusation describes a part that is kept from upstreams.
type Accusation struct {
	Part Part
	// Upstreams is the number of upstreams that ended.
	Upstreams int
	// With are other parts that were in flight at the same ends. Only a request with all
	// of them is refused.
	With []Part
}

// Tracker holds the evidence of this VM and of its peers.
type Tracker struct {
	opts Options

	mu      sync.Mutex
	ends    map[endKey]*end
	entries int
	// upstreams holds the times at which upstreams ended, also of those whose ends are no
	// evidence any more.
	upstreams map[string]time.Time
	// longest holds the longest writing time of the answers at these ends.
	longest  map[string]time.Duration
	suspects map[Part]*suspect
	// begun and answered hold the parts of which answers were begun and written whole.
	begun, answered *recentParts
	// answers counts the requests of this VM that upstreams began to answer or answered.
	answers int
	// news holds the answers that cleared a suspect, with the time at which this VM
	// learned of them; begunNews holds those that were begun.
	news, begunNews map[Part]time.Time
	// active holds the processes of upstreams that answer calls of this VM or are listed.
	active map[string]activity
	// listed is set once the processes that take requests are known.
	listed bool

	accused    map[Part]Accusation
	verdictAt  time.Time
	verdictOld bool
}

// New returns a Tracker without evidence.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, ends: map[endKey]*end{}, upstreams: map[string]time.Time{}, longest: map[string]time.Duration{}, suspects: map[Part]*suspect{}, begun: newRecentParts(maxAnswered), answered: newRecentParts(maxAnswered),
		news: map[Part]time.Time{}, begunNews: map[Part]time.Time{}, active: map[string]activity{}, accused: map[Part]Accusation{},
	}
}

// RecordEnd records that an upstream ended at a time while a request was in flight there. It
// reports whether that is news. The age of the end is not used.
func (t *Tracker) RecordEnd(e End, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addEnd(&end{endKey: endKey{e.Upstream, e.Request}, parts: e.Parts, inFlight: e.InFlight, writing: e.Writing, at: at, learnedAt: at})
}

// recordBegin records that an upstream has begun to write an answer. The parts of the request
// may still end it in the middle of the answer.
func (t *Tracker) recordBegin(c *Call, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	t.recordActivity(c.process, now)
	for _, p := range c.parts {
		t.addBegin(p, now, now)
		if s := t.suspects[p]; s != nil {
			s.answersBefore++
		}
	}
}

// recordSurvival records that an upstream has been writing an answer for a time and goes on.
// It clears the parts under which upstreams have ended much earlier in an answer.
func (t *Tracker) recordSurvival(parts []Part, writing time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if s := t.suspects[p]; s != nil && writing >= survivalFactor*s.longestWriting() {
			t.addAnswer(p, now, now)
		}
	}
}

// recordAnswer records that an upstream has written the whole answer to a request.
func (t *Tracker) recordAnswer(parts []Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		t.addAnswer(p, now, now)
	}
}

// addEnd adds an end without the parts that were answered since. It reports whether
// any part is left that makes it evidence.
func (t *Tracker) addEnd(e *end) bool {
	if t.ends[e.endKey] != nil {
		return false
	}
	t.addUpstream(e.upstream, e.at)
	t.longest[e.upstream] = max(t.longest[e.upstream], e.writing)
	parts := make([]Part, 0, len(e.parts))
	for _, p := range distinct(e.parts) {
		at, known := t.answered.at[p]
		if known {
			// The peer that told of the end may not know of the answer.
			t.addNews(t.news, p, e.learnedAt)
		}
		if !known || at.Add(answerSlack).Before(e.at) {
			parts = append(parts, p)
		}
	}
	if len(parts) == 0 {
		return false
	}
	e.parts = parts
	t.makeRoom(len(parts))
	t.ends[e.endKey] = e
	t.entries += len(parts)
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil {
			_, answered := t.answered.at[p]
			begunAt, begun := t.begun.at[p]
			s = &suspect{answersBefore: t.answers, answered: answered, begun: begun || answered, begunAt: begunAt}
			t.suspects[p] = s
		}
		s.ends = append(s.ends, e)
	}
	t.verdictOld = true
	return true
}

// distinct returns at most as many different parts as a prompt has that are tracked. A report
// of a peer may repeat them.
func distinct(parts []Part) []Part {
	list := slices.Clone(parts[:min(len(parts), MaxParts+1)])
	slices.Sort(list)
	return slices.Compact(list)
}

// addUpstream records that an upstream ended. It keeps the last maxEnds of them.
func (t *Tracker) addUpstream(name string, at time.Time) {
	if _, known := t.upstreams[name]; known {
		return
	}
	if len(t.upstreams) >= maxEnds {
		oldest := name
		for other, ended := range t.upstreams {
			if oldest == name || ended.Before(t.upstreams[oldest]) {
				oldest = other
			}
		}
		delete(t.upstreams, oldest)
		delete(t.longest, oldest)
	}
	t.upstreams[name] = at
	t.verdictOld = true
}

// makeRoom drops the oldest ends until another with some parts can be kept. The newest
// ends of accused parts are dropped last.
func (t *Tracker) makeRoom(parts int) {
	if len(t.ends) < maxEnds && t.entries+parts <= maxEntries {
		return
	}
	kept := t.newestOfAccused()
	list := slices.SortedFunc(maps.Values(t.ends), func(a, b *end) int {
		if kept[a] != kept[b] {
			return map[bool]int{false: -1, true: 1}[kept[a]]
		}
		return a.at.Compare(b.at)
	})
	for len(list) > 0 && (len(t.ends) > maxEnds-maxEnds/droppedShare || t.entries+parts > maxEntries-maxEntries/droppedShare) {
		t.dropEnd(list[0])
		list = list[1:]
	}
}

// newestOfAccused returns the newest ends of each accused part.
func (t *Tracker) newestOfAccused() map[*end]bool {
	newest := map[*end]bool{}
	for p := range t.accused {
		if s := t.suspects[p]; s != nil {
			for _, e := range s.latestEnds() {
				newest[e] = true
			}
		}
	}
	return newest
}

func (t *Tracker) dropEnd(e *end) {
	for _, p := range slices.Clone(e.parts) {
		t.detach(e, p)
	}
	delete(t.ends, e.endKey)
	t.verdictOld = true
}

// detach removes a part from the possible causes of an end.
func (t *Tracker) detach(e *end, p Part) {
	s := t.suspects[p]
	s.ends = slices.DeleteFunc(s.ends, func(o *end) bool { return o == e })
	if len(s.ends) == 0 {
		delete(t.suspects, p)
	}
	e.parts = slices.DeleteFunc(e.parts, func(o Part) bool { return o == p })
	t.entries--
}

// addBegin records that an answer to a part was begun at a time: the part did not cause the
// ends before it that were earlier in an answer.
func (t *Tracker) addBegin(p Part, at, now time.Time) {
	t.begun.record(p, at)
	s := t.suspects[p]
	if s == nil {
		return
	}
	s.begun = true
	if !at.After(s.begunAt) {
		return
	}
	before := s.begunAt
	s.begunAt = at
	for _, e := range s.ends {
		if e.isEarly(before) && !e.isEarly(at) {
			t.addNews(t.begunNews, p, now)
			t.verdictOld = true
			return
		}
	}
}

// addAnswer records that a part was answered at a time: it did not cause the ends before.
func (t *Tracker) addAnswer(p Part, at, now time.Time) {
	t.answered.record(p, at)
	s := t.suspects[p]
	if s == nil {
		return
	}
	s.begun, s.answered, s.answersBefore = true, true, t.answers
	s.accused, s.corroborated = false, false
	for _, e := range slices.Clone(s.ends) {
		if e.at.After(at.Add(answerSlack)) {
			continue
		}
		t.addNews(t.news, p, now)
		t.verdictOld = true
		t.detach(e, p)
		if len(e.parts) == 0 {
			delete(t.ends, e.endKey)
		}
	}
}

// addNews makes peers learn of the answer to a part.
func (t *Tracker) addNews(news map[Part]time.Time, p Part, now time.Time) {
	if len(news) < maxAnswered {
		news[p] = now
	}
}

// Sweep drops evidence that is too old. It is meant to be called about once a second.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.ends {
		if now.Sub(e.at) > endLifetime {
			t.dropEnd(e)
		}
	}
	for name, at := range t.upstreams {
		if now.Sub(at) > endLifetime {
			delete(t.upstreams, name)
			delete(t.longest, name)
		}
	}
	maps.DeleteFunc(t.active, func(_ string, a activity) bool { return !a.listed && now.Sub(a.last) > endLifetime })
	for _, news := range []map[Part]time.Time{t.news, t.begunNews} {
		maps.DeleteFunc(news, func(_ Part, at time.Time) bool { return now.Sub(at) > newsLifetime })
	}
	t.judge(now)
}

// Size returns the number of ends that are kept and of the parts in them.
func (t *Tracker) Size() (ends, entries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ends), t.entries
}

// Accusations returns the parts that are kept from upstreams.
func (t *Tracker) Accusations(now time.Time) []Accusation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	list := make([]Accusation, 0, len(t.accused))
	for _, a := range t.accused {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b Accusation) int { return b.Upstreams - a.Upstreams })
	return list
}
