package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Part identifies a part of a prompt on all VMs.
type Part uint64

// Request identifies a request on all VMs.
type Request uint64

const (
	// MaxParts bounds the parts of a prompt that are tracked.
	MaxParts = 256
	// manyParts stands for the parts of a prompt beyond MaxParts.
	manyParts = Part(1)
)

// HashParts returns the parts that other prompts may share, given the IDs of all parts
// in order. The last part belongs to its request alone and is left out.
func HashParts(ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:len(ids)-1]
	parts := make([]Part, 0, min(len(ids), MaxParts+1))
	for _, id := range ids[:min(len(ids), MaxParts)] {
		parts = append(parts, HashPart(id))
	}
	if len(ids) > MaxParts {
		parts = append(parts, manyParts)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// HashPart returns the identity of the part with an ID.
func HashPart(id string) Part { return Part(hash(id)) }

// HashRequest returns the identity of a request with an ID.
func HashRequest(id string) Request { return Request(hash(id)) }

// hash is cryptographic, so that a client cannot choose an ID that collides with the
// part of another.
func hash(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:8])
}

// End is the end of an upstream while a request was in flight there.
type End struct {
	// Upstream identifies the process that ended.
	Upstream string
	Request  Request
	// Parts are those that may be the cause, in ascending order.
	Parts []Part
	// InFlight is the time since the call was sent, and Writing that for which the upstream
	// had been writing the answer, 0 if it had not written a whole event. Builds before
	// these fields leave them out.
	InFlight, Writing time.Duration
	Age               time.Duration
}

// Answer says that an upstream has answered a request with a part.
type Answer struct {
	Part Part
	// Begun is set if it has begun the answer and may still end. Builds before this field
	// leave it out.
	Begun bool
	Age   time.Duration
}

// Report is the evidence that a VM tells its peers.
type Report struct {
	Ends    []End
	Answers []Answer
	// Accused are the parts that the sender keeps from upstreams. Ends holds their ends.
	Accused []Part
}

// endKey identifies an end.
type endKey struct {
	upstream string
	request  Request
}

// end is an End with the parts that have not been answered since.
type end struct {
	endKey
	parts []Part
	// inFlight and writing are those of End.
	inFlight, writing time.Duration
	at                time.Time
	// learnedAt is when this VM learned of it.
	learnedAt time.Time
}

// isEarly reports whether the upstream ended before the first event of the answer, and after a
// time at which an answer was begun.
func (e *end) isEarly(begunAt time.Time) bool {
	return e.writing == 0 && e.at.After(begunAt.Add(answerSlack))
}

// suspect is a part that was in flight at the end of an upstream and has not been answered
// since.
type suspect struct {
	ends []*end
	// answersBefore is the number of answers of this VM that say nothing about requests
	// without the part: those before the first of the ends was learned or before the last
	// answer to the part, and those to requests with it.
	answersBefore int
	// begun and answered are set if an answer to the part was begun, or written whole, before
	// the first of the ends or since. begunAt is when one was begun last.
	begun, answered bool
	begunAt         time.Time
	// corroborated is set once a peer has accused the part, and accused while this VM does.
	corroborated, accused bool
	// testUntil is the end of the time in which no further request tests the part after
	// one was let through.
	testUntil time.Time
}

// earlyEnds returns the ends before the first event of an answer, unless an answer to the
// part was begun since.
func (s *suspect) earlyEnds() []*end {
	list := make([]*end, 0, len(s.ends))
	for _, e := range s.ends {
		if e.isEarly(s.begunAt) {
			list = append(list, e)
		}
	}
	return list
}

// upstreams counts the different upstreams that ended.
func (s *suspect) upstreams() int {
	seen := map[string]bool{}
	for _, e := range s.ends {
		seen[e.upstream] = true
	}
	return len(seen)
}

// longestWriting returns the longest time for which an upstream had been writing an answer
// to a request with the part before it ended. Of several requests at one upstream, the one
// that it began last counts.
func (s *suspect) longestWriting() time.Duration {
	shortest := map[string]time.Duration{}
	for _, e := range s.ends {
		if known, ok := shortest[e.upstream]; !ok || e.writing < known {
			shortest[e.upstream] = e.writing
		}
	}
	longest := time.Duration(0)
	for _, d := range shortest {
		longest = max(longest, d)
	}
	return longest
}

// latestEnds returns the maxKeptEnds latest ends.
func (s *suspect) latestEnds() []*end {
	ends := slices.SortedFunc(slices.Values(s.ends), func(a, b *end) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.request, b.request))
	})
	return ends[:min(len(ends), maxKeptEnds)]
}

// lastEnd returns the time of the last end.
func (s *suspect) lastEnd() time.Time {
	var last time.Time
	for _, e := range s.ends {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// recentParts remembers when parts were answered, for the parts answered last.
type recentParts struct {
	at map[Part]time.Time
	// order holds the parts in the order in which they were added; next is the index at
	// which the oldest is replaced.
	order []Part
	next  int
	size  int
}

func newRecentParts(size int) *recentParts { return &recentParts{at: map[Part]time.Time{}, size: size} }

func (r *recentParts) record(p Part, at time.Time) {
	known, ok := r.at[p]
	if ok {
		if at.After(known) {
			r.at[p] = at
		}
		return
	}
	if len(r.order) < r.size {
		r.order = append(r.order, p)
	} else {
		delete(r.at, r.order[r.next])
		r.order[r.next] = p
		r.next = (r.next + 1) % r.size
	}
	r.at[p] = at
}
