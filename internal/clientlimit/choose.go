package clientlimit

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// inHead is the phase from the first byte of a request, or from the accept of the
	// connection, until its header section is complete.
	inHead phase = iota
	// inBody is the phase in which a handler reads the body of a request.
	inBody
	// running is the phase of a request that has arrived. Its connection is never closed for
	// another one.
	running
	// idle is the phase between two requests.
	idle
)

func (p phase) String() string {
	return [...]string{"head", "body", "running", "idle"}[p]
}

const (
	// slowAfter is how far a sender must be behind before it can lose its place. It is above
	// the least time in which TCP sends a lost segment again (200 ms), so that a sender on a
	// path with losses is not taken for one that has stopped.
	slowAfter = 300 * time.Millisecond
	// slowestRate is the rate, in bytes per second, below which a sender falls behind although
	// it does not stop.
	slowestRate = 256 << 10
	// stalledAfter is how long a client must not have taken a part of its response before it can
	// lose it. A path that fails for a moment delays a response for less.
	stalledAfter = time.Second
)

// view is what the choice knows of a connection.
type view struct {
	phase phase
	// since is the begin of the phase, last the last time at which bytes arrived in it, and
	// bytes their number.
	since, last time.Time
	bytes       int64
	// writingSince is the begin of the write of the current part of a response, zero if none is
	// being written.
	writingSince time.Time
	usage
}

// usage is what connections hold, or ask for.
type usage struct {
	memory      int64
	descriptors int
}

func (u *usage) add(o usage) {
	u.memory += o.memory
	u.descriptors += o.descriptors
}

// needed returns what is above zero.
func (u usage) needed() usage { return usage{max(0, u.memory), max(0, u.descriptors)} }

// class orders the connections that can be closed for others.
type class int

const (
	sending class = iota
	waiting
	stalled
	kept
)

// class returns the class of a connection. A request that is served is kept, unless its client
// does not take the response.
func (v *view) class(now time.Time) class {
	switch {
	case v.phase == idle:
		return waiting
	case v.phase != running && v.behind(now) >= slowAfter:
		return sending
	case v.phase == running && !v.writingSince.IsZero() && now.Sub(v.writingSince) >= stalledAfter:
		return stalled
	}
	return kept
}

// doing says what a connection that is closed was doing.
func (v *view) doing() string {
	if v.phase == running {
		return "response"
	}
	return v.phase.String()
}

// behind returns by how much a sender is late: the time without a byte, or the time beyond
// that in which the slowest permitted sender would have sent as much.
func (v *view) behind(now time.Time) time.Duration {
	rate := now.Sub(v.since) - time.Duration(float64(v.bytes)/slowestRate*float64(time.Second))
	return max(now.Sub(v.last), rate)
}

// choose returns the indexes of the connections that are closed so that what is needed becomes
// free, in the order in which they are closed. It handles clients that together ask for more
// than the process has: senders of header sections and bodies that are behind go first, the
// slowest of them before the others, then idle connections, the one that has been idle longest
// first, then clients that do not take their responses. Of the first two kinds it closes more
// if that is wanted, so that a crowd of newcomers does not wait for one close after the other.
// It returns nil if these do not free enough.
func choose(list []view, needed, more usage, now time.Time) []int {
	var candidates []candidate
	for i := range list {
		if class := list[i].class(now); class != kept {
			candidates = append(candidates, candidate{i, class})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		x, y := &list[a.index], &list[b.index]
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		switch a.class {
		case waiting:
			return x.since.Compare(y.since)
		case stalled:
			return x.writingSince.Compare(y.writingSince)
		}
		return cmp.Compare(y.behind(now), x.behind(now))
	})
	var chosen []int
	for _, c := range candidates {
		if needed.needed() == (usage{}) {
			left := usage{needed.memory + more.memory, needed.descriptors + more.descriptors}
			if c.class == stalled || left.needed() == (usage{}) {
				break
			}
		}
		needed.add(usage{-list[c.index].memory, -list[c.index].descriptors})
		chosen = append(chosen, c.index)
	}
	if needed.needed() != (usage{}) {
		return nil
	}
	return chosen
}

// candidate is a connection that can be closed.
type candidate struct {
	index int
	class class
}
