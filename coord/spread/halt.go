package spread

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxHalts bounds the halt marks that a node holds.
const maxHalts = 256

// ErrHaltsFull reports a halt mark that does not fit into the bounded set.
var ErrHaltsFull = errors.New("too many halt marks")

// haltSet is a set of marks merged by OR: the first mark known of a key stays.
type haltSet struct {
	marks  map[string]Mark
	digest uint64 // of the keys, independent of their order
	cursor string // key after which the next page starts
}

// add returns whether the key is new.
func (h *haltSet) add(m Mark) (bool, error) {
	if _, known := h.marks[m.Key]; known {
		return false, nil
	}
	if len(h.marks) >= maxHalts {
		return false, ErrHaltsFull
	}
	h.marks[m.Key] = m
	h.digest ^= xxhash.Sum64String(m.Key)
	return true, nil
}

func (h *haltSet) remove(key string) {
	if _, known := h.marks[key]; known {
		delete(h.marks, key)
		h.digest ^= xxhash.Sum64String(key)
	}
}

func (h *haltSet) sorted() []Mark {
	return slices.SortedFunc(maps.Values(h.marks), func(a, b Mark) int { return strings.Compare(a.Key, b.Key) })
}

// page returns the next marks in turn, so that replies stay small and a peer
// still receives all of them after a few replies.
func (h *haltSet) page() []Mark {
	marks := h.sorted()
	if len(marks) <= maxMarks {
		return marks
	}
	start, found := slices.BinarySearchFunc(marks, h.cursor, func(m Mark, key string) int { return strings.Compare(m.Key, key) })
	if found {
		start++
	}
	page := make([]Mark, maxMarks)
	for i := range page {
		page[i] = marks[(start+i)%len(marks)]
	}
	h.cursor = page[maxMarks-1].Key
	return page
}
