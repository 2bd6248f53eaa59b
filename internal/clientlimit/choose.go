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
)

// view is what the choice knows of a connection.
type view struct {
	phase phase
	// since is the begin of the phase, last the last time at which bytes arrived in it, and
	// bytes their number.
	since, last time.Time
	bytes       int64
	// memory and descriptors are what the connection holds.
	memory      int64
	descriptors int
}

// behind returns by how much a sender is late: the time without a byte, or the time beyond
// that in which the slowest permitted sender would have sent as much.
func (v *view) behind(now time.Time) time.Duration {
	rate := now.Sub(v.since) - time.Duration(float64(v.bytes)/slowestRate*float64(time.Second))
	return max(now.Sub(v.last), rate)
}

// choose returns the indexes of the connections that are closed so that memory and
// descriptors become free, in the order in which they are closed. It handles clients that
// together ask for more than the process has: senders of header sections and bodies that are
// behind go first, the slowest of them before the others, then idle connections, the one that
// has been idle longest first. It returns nil if these do not free enough.
func choose(list []view, memory int64, descriptors int, now time.Time) []int {
	var candidates []int
	for i := range list {
		v := &list[i]
		if v.phase == idle || v.phase != running && v.behind(now) >= slowAfter {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		x, y := &list[a], &list[b]
		switch {
		case x.phase == idle && y.phase == idle:
			return x.since.Compare(y.since)
		case x.phase == idle:
			return 1
		case y.phase == idle:
			return -1
		}
		return cmp.Compare(y.behind(now), x.behind(now))
	})
	for n, i := range candidates {
		memory -= list[i].memory
		descriptors -= list[i].descriptors
		if memory <= 0 && descriptors <= 0 {
			return candidates[:n+1]
		}
	}
	return nil
}
