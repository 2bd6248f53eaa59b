package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxEnds bounds the ends that are kept, maxEntries the parts in them all.
	maxEnds    = 256
	maxEntries = 16 << 10
	// maxAnswered bounds the parts of which it is known when they were answered last.
	maxAnswered = 4096
	// endLifetime is how long an end is evidence. It is longer than several of the longest
	// intervals between two tests, which renew the evidence.
	endLifetime = 30 * time.Minute
	// newsLifetime is how long it is remembered that peers were told of an answer.
	newsLifetime = 10 * time.Second
	// maxVerdictAge bounds the age of the verdict in use, because finding it takes time in
	// proportion to the evidence.
	maxVerdictAge = 20 * time.Millisecond
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

	mu       sync.Mutex
	ends     map[endKey]*end
	entries  int
	suspects map[Part]*suspect
	answered *recentParts
	// answers counts the answered requests of this VM.
	answers int
	// news holds the answers that cleared a suspect, with the time at which this VM
	// learned of them.
	news map[Part]time.Time

	accused    map[Part]Accusation
	verdictAt  time.Time
	verdictOld bool
}

// New returns a Tracker without evidence.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, ends: map[endKey]*end{}, suspects: map[Part]*suspect{}, answered: newRecentParts(maxAnswered),
		news: map[Part]time.Time{}, accused: map[Part]Accusation{},
	}
}

// RecordEnd records that an upstream ended before it sent an event of the answer to a
// request. It reports whether that is news.
func (t *Tracker) RecordEnd(upstream string, r Request, parts []Part, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addEnd(&end{endKey: endKey{upstream, r}, parts: parts, at: now, learnedAt: now})
}

// RecordAnswer records that an upstream answered a request.
func (t *Tracker) RecordAnswer(parts []Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
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
	parts := make([]Part, 0, len(e.parts))
	for _, p := range e.parts[:min(len(e.parts), maxParts+1)] {
		at, known := t.answered.at[p]
		if !known || at.Before(e.at) {
			parts = append(parts, p)
			continue
		}
		// The peer that told of the end may not know of the answer.
		t.addNews(p, e.learnedAt)
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
			s = &suspect{answersBefore: t.answers, answered: answered}
			t.suspects[p] = s
		}
		s.ends = append(s.ends, e)
	}
	t.verdictOld = true
	return true
}

// makeRoom drops the oldest ends until another with some parts can be kept. Ends of
// accused parts are dropped last.
func (t *Tracker) makeRoom(parts int) {
	for len(t.ends) >= maxEnds || len(t.ends) > 0 && t.entries+parts > maxEntries {
		var oldest *end
		oldestKept := false
		for _, e := range t.ends {
			kept := slices.ContainsFunc(e.parts, func(p Part) bool { _, ok := t.accused[p]; return ok })
			if oldest == nil || oldestKept && !kept || oldestKept == kept && e.at.Before(oldest.at) {
				oldest, oldestKept = e, kept
			}
		}
		t.dropEnd(oldest)
	}
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

// addAnswer records that a part was answered at a time: it did not cause the ends before.
func (t *Tracker) addAnswer(p Part, at, now time.Time) {
	t.answered.record(p, at)
	s := t.suspects[p]
	if s == nil {
		return
	}
	for _, e := range slices.Clone(s.ends) {
		if e.at.After(at) {
			continue
		}
		t.addNews(p, now)
		t.verdictOld = true
		t.detach(e, p)
		if len(e.parts) == 0 {
			delete(t.ends, e.endKey)
		}
	}
}

// addNews makes peers learn of the answer to a part.
func (t *Tracker) addNews(p Part, now time.Time) {
	if len(t.news) < maxAnswered {
		t.news[p] = now
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
	for p, at := range t.news {
		if now.Sub(at) > newsLifetime {
			delete(t.news, p)
		}
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
