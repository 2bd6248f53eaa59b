package ledger

import (
	"slices"
	"sort"
)

// segment is a run of entries of one owner and one day. It becomes one object.
type segment struct {
	day         string
	first, last uint64 // lowest and highest number of its entries
	enc         *encoder
	name        string // of the object; set before the first Put
	data        []byte // finished batch; set when sealed
	// acks counts the entries that each holder has confirmed. A holder has the
	// whole segment when its count reaches the number of entries.
	acks map[string]int
}

func (s *segment) bytes() int {
	if s.data != nil {
		return len(s.data)
	}
	return cap(s.enc.data)
}

// seal fixes the content.
func (s *segment) seal() {
	if s.data == nil {
		s.data = s.enc.batch()
		s.enc = &encoder{count: s.enc.count} // frees the texts and the growing slice
	}
}

func (s *segment) holds(peer string) bool { return s.acks[peer] >= s.enc.count }

// entryLog is the unflushed part of one owner's sequence.
type entryLog struct {
	segments []*segment // in order of their entries; only the last may be open
	bytes    int
}

// add appends an entry and returns the change of the memory in use.
func (g *entryLog) add(number uint64, e Entry, limit int) (grown int) {
	s := g.open(e.day(), limit)
	before := s.bytes()
	if s.enc.count == 0 {
		s.first = number
		before = 0
	}
	// A holder can receive earlier numbers after later ones, when the owner
	// copies a batch again.
	s.first, s.last = min(s.first, number), max(s.last, number)
	s.enc.add(e)
	grown = s.bytes() - before
	g.bytes += grown
	return grown
}

// open returns the segment that takes the next entry of a day.
func (g *entryLog) open(day string, limit int) *segment {
	if n := len(g.segments); n > 0 {
		s := g.segments[n-1]
		if s.data == nil && s.day == day && len(s.enc.data) < limit {
			return s
		}
		g.seal()
	}
	s := &segment{day: day, enc: newEncoder(), acks: make(map[string]int, copies)}
	g.segments = append(g.segments, s)
	return s
}

// seal closes the open segment, if any, and returns the change of the memory
// in use.
func (g *entryLog) seal() (grown int) {
	n := len(g.segments)
	if n == 0 || g.segments[n-1].data != nil {
		return 0
	}
	s := g.segments[n-1]
	before := s.bytes()
	s.seal()
	grown = s.bytes() - before
	g.bytes += grown
	return grown
}

// acked notes that a peer holds the entries from first to last.
func (g *entryLog) acked(peer string, first, last uint64) {
	at := sort.Search(len(g.segments), func(i int) bool { return g.segments[i].last >= first })
	for _, s := range g.segments[at:] {
		if s.first > last {
			return
		}
		s.acks[peer] += int(min(last, s.last) - max(first, s.first) + 1)
	}
}

// drop removes the segments that end at or before through, and returns the
// freed bytes.
func (g *entryLog) drop(through uint64) (freed int) {
	g.segments = slices.DeleteFunc(g.segments, func(s *segment) bool {
		if s.last > through {
			return false
		}
		freed += s.bytes()
		return true
	})
	g.bytes -= freed
	return freed
}

// remove removes one segment and returns the freed bytes.
func (g *entryLog) remove(gone *segment) (freed int) {
	before := len(g.segments)
	g.segments = slices.DeleteFunc(g.segments, func(s *segment) bool { return s == gone })
	if len(g.segments) == before {
		return 0
	}
	g.bytes -= gone.bytes()
	return gone.bytes()
}

// entries returns the number of entries in the log.
func (g *entryLog) entries() (n int) {
	for _, s := range g.segments {
		n += s.enc.count
	}
	return n
}
