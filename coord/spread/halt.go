package spread

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxHalts bounds the number of halt marks that a node holds.
const maxHalts = 256

// ErrHaltsFull reports a halt mark that a node rejects because it already holds
// the maximum number of marks.
var ErrHaltsFull = errors.New("too many halt marks")

// haltSet is a set of marks, keyed by Mark.Key and merged by union: the first mark
// received for a key stays.
type haltSet struct {
	marks  map[string]Mark
	digest uint64 // XOR of the hashes of the keys, independent of their order
	cursor string // key after which the next page starts
}

// add adds a mark unless its key is known, and reports whether the key was new.
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

// page returns at most maxMarks marks, starting after those of the previous page.
// This keeps replies small, and a peer still receives all marks in a few replies.
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
