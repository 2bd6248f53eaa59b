package guard

import "maps"

// Signal is one kind of evidence about a version.
type Signal uint8

// Signals. A bad event is a failed call (Errors), a badly rated answer (Ratings),
// an answer that is much slower than expected (Latency), or one that is at least
// somewhat slower than expected (Delay). Delay detects a release that is slow for
// a part of its requests and thereby holds up the others. It needs many events,
// but detects such a release earlier than the few much slower answers do.
const (
	Errors Signal = iota
	Ratings
	Latency
	Delay
	numSignals
)

// String returns the name of the signal.
func (s Signal) String() string { return [...]string{"errors", "ratings", "latency", "delay"}[s] }

// Stratum identifies the events that are compared with each other: those of one
// class and one signal.
type Stratum struct {
	Class  string
	Signal Signal
}

// Tally counts events and the bad ones among them.
type Tally struct {
	N, Bad uint64
}

// Counts holds the cumulative counts of one daemon for the base and the
// candidate version.
type Counts struct {
	Base, Candidate map[Stratum]Tally
}

func newCounts() Counts {
	return Counts{Base: map[Stratum]Tally{}, Candidate: map[Stratum]Tally{}}
}

// Clone returns a deep copy.
func (c Counts) Clone() Counts {
	out := newCounts()
	maps.Copy(out.Base, c.Base)
	maps.Copy(out.Candidate, c.Candidate)
	return out
}

// Add adds the counts of another daemon to c.
func (c Counts) Add(o Counts) {
	addTallies(c.Base, o.Base)
	addTallies(c.Candidate, o.Candidate)
}

// addTallies adds the tallies of from to those of to.
func addTallies(to, from map[Stratum]Tally) {
	for s, t := range from {
		sum := to[s]
		sum.N += t.N
		sum.Bad += t.Bad
		to[s] = sum
	}
}

// add counts one event.
func (t *Tally) add(bad bool) {
	t.N++
	if bad {
		t.Bad++
	}
}

// tallyIncrease returns the difference between two cumulative tallies. It is
// zero if later is in fact the older one, because a message arrived out of
// order.
func tallyIncrease(later, earlier Tally) Tally {
	if later.N <= earlier.N || later.Bad < earlier.Bad {
		return Tally{}
	}
	return Tally{N: later.N - earlier.N, Bad: later.Bad - earlier.Bad}
}
