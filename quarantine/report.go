package quarantine

import (
	"slices"
	"time"
)

// maxReportedParts bounds the parts of the ends, and the answers, in one report. The ones
// learned last are kept. Reports go to several peers, several times a second.
const maxReportedParts = 1024

// Report returns the evidence that this VM has learned within a time, or with all set
// also the older evidence against accused parts.
func (t *Tracker) Report(within time.Duration, all bool, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	var r Report
	for p := range t.accused {
		r.Accused = append(r.Accused, p)
	}
	t.reportEnds(&r, within, all, now)
	r.Answers = appendAnswers(r.Answers, t.news, t.answered, false, within, now)
	r.Answers = appendAnswers(r.Answers, t.begunNews, t.begun, true, within, now)
	return r
}

// appendAnswers appends the answers of which this VM has learned within a time.
func appendAnswers(list []Answer, news map[Part]time.Time, recent *recentParts, begun bool, within time.Duration, now time.Time) []Answer {
	for p, learned := range news {
		at, known := recent.at[p]
		if known && now.Sub(learned) <= within && len(list) < maxReportedParts {
			list = append(list, Answer{Part: p, Begun: begun, Age: now.Sub(at)})
		}
	}
	return list
}

// reportEnds adds the ends with the accused parts alone, and the recent ones whole as far
// as there is room.
func (t *Tracker) reportEnds(r *Report, within time.Duration, all bool, now time.Time) {
	list := make([]*end, 0, len(t.ends))
	for _, e := range t.ends {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *end) int { return b.learnedAt.Compare(a.learnedAt) })
	left := maxReportedParts
	for _, e := range list {
		recent := now.Sub(e.learnedAt) <= within
		parts := slices.DeleteFunc(slices.Clone(e.parts), func(p Part) bool { _, ok := t.accused[p]; return !ok })
		if len(parts) == 0 && recent && len(e.parts) <= left {
			parts = slices.Clone(e.parts)
		}
		if len(parts) == 0 || !recent && !all || len(parts) > left {
			continue
		}
		left -= len(parts)
		r.Ends = append(r.Ends, End{Upstream: e.upstream, Request: e.request, Parts: parts, InFlight: e.inFlight, Writing: e.writing, Age: now.Sub(e.at)})
	}
}

// Merge adds the evidence of a peer.
func (t *Tracker) Merge(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range r.Ends {
		t.mergeEnd(e, now)
	}
	for _, a := range r.Answers {
		if at := now.Add(-max(0, a.Age)); a.Begun {
			t.addBegin(a.Part, at, now)
		} else {
			t.addAnswer(a.Part, at, now)
		}
	}
	for _, p := range r.Accused {
		if s := t.suspects[p]; s != nil && !s.corroborated {
			s.corroborated, t.verdictOld = true, true
		}
	}
}

// mergeEnd adds an end that a peer has reported.
func (t *Tracker) mergeEnd(e End, now time.Time) {
	at := now.Add(-max(0, e.Age))
	if now.Sub(at) > endLifetime || len(e.Upstream) > maxUpstreamName {
		return
	}
	key := endKey{e.Upstream, e.Request}
	t.addEnd(&end{endKey: key, parts: e.Parts, inFlight: max(0, e.InFlight), writing: max(0, e.Writing), at: at, learnedAt: now})
}

// maxUpstreamName bounds the length of the name of an upstream in a report, in bytes.
const maxUpstreamName = 512
