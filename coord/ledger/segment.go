package ledger

import (
	"slices"
	"sort"
)

// segment holds entries of one owner and one UTC day that are stored as one
// batch. It is open until its content is sealed.
type segment struct {
	day         string
	first, last uint64 // lowest and highest number of its entries
	enc         *encoder
	name        string // object name; set before the first Put
	data        []byte // encoded batch; nil while the segment is open
	// acks counts the entries that each holder has confirmed. A holder has the
	// whole segment when its count reaches the number of entries.
	acks map[string]int
}

// bytes returns the memory that counts against MaxBytes.
func (s *segment) bytes() int {
	if s.data != nil {
		return len(s.data)
	}
	return cap(s.enc.data)
}

// seal closes the segment and encodes its batch.
func (s *segment) seal() {
	if s.data == nil {
		s.data = s.enc.batch()
		s.enc = &encoder{count: s.enc.count} // frees the text index and the buffer
	}
}

// holds reports whether a peer has confirmed all entries of the segment.
func (s *segment) holds(peer string) bool { return s.acks[peer] >= s.enc.count }

// entryLog holds the unflushed entries of one owner.
type entryLog struct {
	segments []*segment // in order of their entries; only the last may be open
	bytes    int
}

// add appends an entry and returns by how many bytes the memory in use grew.
func (g *entryLog) add(number uint64, e Entry, limit int) (grown int) {
	s := g.openSegment(e.day(), limit)
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

// openSegment returns the segment for the next entry of a day. A segment that
// has reached limit bytes gets no further entries.
func (g *entryLog) openSegment(day string, limit int) *segment {
	if n := len(g.segments); n > 0 {
		s := g.segments[n-1]
		if s.data == nil && s.day == day && len(s.enc.data) < limit {
			return s
		}
		g.seal()
	}
	s := &segment{day: day, enc: newEncoder(), acks: make(map[string]int, copiesPerEntry)}
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

// recordAck records that a peer confirmed the entries from first to last.
func (g *entryLog) recordAck(peer string, first, last uint64) {
	at := sort.Search(len(g.segments), func(i int) bool { return g.segments[i].last >= first })
	for _, s := range g.segments[at:] {
		if s.first > last {
			return
		}
		s.acks[peer] += int(min(last, s.last) - max(first, s.first) + 1)
	}
}

// dropThrough removes the segments whose entries all have numbers up to and
// including through, and returns the freed bytes.
func (g *entryLog) dropThrough(through uint64) (freed int) {
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
