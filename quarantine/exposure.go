package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxActive bounds the processes of upstreams whose activity is kept.
	maxActive = 4096
	// activityLifetime is how long a process counts as alive after its last activity.
	activityLifetime = time.Second
	// eventSpan is the time before an end that is considered. What ends upstreams for another
	// reason may do so more often at some times than at others.
	eventSpan = time.Second
	// maxChance bounds the probability with which a sound part is in flight at as many ends as
	// it was seen at.
	maxChance = 1e-4
	// minExposure is the least fraction of the time of all processes for which calls with a
	// part are assumed to be in flight.
	minExposure = 1e-3
	// maxComparedEnds bounds the ends for each of which it is found out where calls with a part
	// were in flight, which takes time in proportion to all ends and processes.
	maxComparedEnds = 64
)

// activity is the time in which a process of an upstream was seen to answer requests, or was
// known as one that takes them.
type activity struct {
	first, last time.Time
	// listed is set while the process is known as one that takes requests.
	listed bool
}

// SetProcesses replaces the processes of upstreams that are known to take requests. Those that
// are not listed count as alive only while they answer requests of this VM, those of the first
// list also before: the VM may know of ends that were earlier than its start.
func (t *Tracker) SetProcesses(processes []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for process, a := range t.active {
		if a.listed {
			a.listed, a.last = false, now
			t.active[process] = a
		}
	}
	for _, process := range processes {
		t.recordActivity(process, now)
		a := t.active[process]
		a.listed = true
		if !t.listed {
			a.first = time.Time{}
		}
		t.active[process] = a
	}
	t.listed = true
}

// recordActivity records that a process was alive at a time.
func (t *Tracker) recordActivity(process string, at time.Time) {
	a, known := t.active[process]
	if !known {
		if len(t.active) >= maxActive {
			t.dropOldestActive()
		}
		a.first = at
	}
	a.last = at
	t.active[process] = a
}

func (t *Tracker) dropOldestActive() {
	processes := slices.SortedFunc(maps.Keys(t.active), func(a, b string) int { return t.active[a].last.Compare(t.active[b].last) })
	for _, process := range processes[:maxActive/8] {
		delete(t.active, process)
	}
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// overlap returns how long the span is within others that do not overlap each other.
func (s span) overlap(others []span) time.Duration {
	sum := time.Duration(0)
	for _, o := range others {
		sum += max(0, earlier(s.to, o.to).Sub(later(s.from, o.from)))
	}
	return sum
}

// spansBefore returns the time within eventSpan before any of the ends that are not explained,
// except the first.
func spansBefore(ends []*end, explained map[string]bool) []span {
	var times []time.Time
	for _, e := range ends {
		if !explained[e.upstream] {
			times = append(times, e.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var spans []span
	for i := 1; i < len(times); i++ {
		from := later(times[i].Add(-eventSpan), times[0])
		if n := len(spans); n > 0 && !spans[n-1].to.Before(from) {
			spans[n-1].to = times[i]
		} else {
			spans = append(spans, span{from, times[i]})
		}
	}
	return spans
}

// activeTime returns the sum of the times for which processes were alive within spans.
func (t *Tracker) activeTime(spans []span) time.Duration {
	sum := time.Duration(0)
	if len(spans) == 0 {
		return 0
	}
	for process, a := range t.active {
		until, ended := t.upstreams[process]
		switch {
		case !ended && a.listed:
			until = spans[len(spans)-1].to
		case !ended:
			until = a.last.Add(activityLifetime)
		}
		sum += span{a.first, until}.overlap(spans)
	}
	return sum
}

// exposure returns how long calls with a part were in flight within spans at the processes that
// have ended; at each of them, the longest of its calls counts.
func exposure(ends []*end, explained map[string]bool, spans []span) time.Duration {
	longest := map[string]time.Duration{}
	for _, e := range ends {
		if !explained[e.upstream] {
			longest[e.upstream] = max(longest[e.upstream], span{e.at.Add(-e.inFlight), e.at}.overlap(spans))
		}
	}
	sum := time.Duration(0)
	for _, d := range longest {
		sum += d
	}
	return sum
}

// writingShare returns the writing time of the longest answers to a part at the ended processes
// as a fraction of that of the longest answers there. It is 1 if the latter is not known.
func (t *Tracker) writingShare(ends []*end, explained map[string]bool) float64 {
	own := map[string]time.Duration{}
	for _, e := range ends {
		if !explained[e.upstream] {
			own[e.upstream] = max(own[e.upstream], e.writing)
		}
	}
	sum, all := time.Duration(0), time.Duration(0)
	for process, writing := range own {
		sum, all = sum+writing, all+max(t.longest[process], writing)
	}
	if all == 0 {
		return 1
	}
	return sum.Seconds() / all.Seconds()
}

// isUnlikely reports whether ends of upstreams that have nothing to do with a part hardly meet
// its calls that often. The first end is when the part came under suspicion, and does not count.
func (t *Tracker) isUnlikely(ends []*end, open summary, explained map[string]bool) bool {
	hits := open.spaced - 1
	all := t.endsBetween(open.first, open.last, explained)
	atOwnEnds := t.inFlightFraction(ends, explained, spansBefore(ends, explained))
	if chance(hits, hits+max(0, all-len(open.upstreams)), atOwnEnds) <= maxChance {
		return true
	}
	if all > maxComparedEnds {
		return false
	}
	n, atAllEnds := t.meanInFlightFraction(ends, open, explained)
	return chance(hits, max(n, hits), atAllEnds) <= maxChance
}

// inFlightFraction returns the fraction of the processes at which calls with a part were in
// flight within spans.
func (t *Tracker) inFlightFraction(ends []*end, explained map[string]bool, spans []span) float64 {
	active, exposed := t.activeTime(spans), exposure(ends, explained, spans)
	return max(minExposure, exposed.Seconds()/max(active, exposed, 1).Seconds())
}

// meanInFlightFraction returns the number of all ends in the time of those of a part, and the
// mean of the fractions of the processes at which its calls were in flight before each. Rare
// requests are in flight before few of the ends with another cause.
func (t *Tracker) meanInFlightFraction(ends []*end, open summary, explained map[string]bool) (n int, mean float64) {
	sum := 0.0
	for name, at := range t.upstreams {
		if !explained[name] && at.After(open.first) && !at.After(open.last) {
			n++
			sum += t.inFlightFraction(ends, explained, []span{{later(at.Add(-eventSpan), open.first), at}})
		}
	}
	return n, sum / float64(max(1, n))
}

// chance returns the probability that at least hits of a number of ends meet calls that are in
// flight at a fraction of the processes.
func chance(hits, ends int, fraction float64) float64 {
	if hits <= 0 || fraction >= 1 {
		return 1
	}
	sum := 0.0
	for n := hits; n <= ends; n++ {
		sum += math.Exp(logBinomial(ends, n) + float64(n)*math.Log(fraction) + float64(ends-n)*math.Log1p(-fraction))
	}
	return min(1, sum)
}

// logBinomial returns the logarithm of the number of ways to choose k of n.
func logBinomial(n, k int) float64 {
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	left, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - left
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
