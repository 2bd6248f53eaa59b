package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"
)

const (
	// maxFindings bounds the findings that are stored, and maxChanges the changes of them
	// that are written at a time.
	maxFindings = 64
	maxChanges  = 32
	// minStoredUpstreams is the number of upstreams that must have ended before the evidence
	// against a part is stored. Sound parts are often at one end, and their next answer
	// clears them.
	minStoredUpstreams = 2
)

// Finding is the evidence against one part that outlives a restart of all VMs.
type Finding struct {
	Part Part
	// Accused is set if the part is kept from upstreams.
	Accused bool
	// Ends are the latest ends under the part. At is used instead of Age.
	Ends []FoundEnd
}

// FoundEnd is an end in a Finding.
type FoundEnd struct {
	Upstream string
	Request  Request
	// InFlight and Writing are those of End.
	InFlight, Writing time.Duration
	// At is the time of the end by a clock that all VMs share.
	At time.Duration
}

// Stored is a Finding in a store, with the revision of its row.
type Stored struct {
	Finding
	Revision int64
	// Unreadable is set for the row of a part that cannot be decoded. It is replaced once there
	// is a finding of the part, and left alone otherwise.
	Unreadable bool
}

// Findings returns the findings in some rows.
func Findings(rows []Stored) []Finding {
	list := make([]Finding, len(rows))
	for i, s := range rows {
		list[i] = s.Finding
	}
	return list
}

// Change is a change of a row that holds a Finding. Finding is nil if the row is to be deleted.
type Change struct {
	Part Part
	// Expected is the revision that the row must have, 0 if it must not exist.
	Expected int64
	Finding  *Finding
}

// Findings returns the evidence that is worth storing: that against the accused parts, and
// against those that no one has answered and that are at several ends. clock is the reading at now of the
// clock that all VMs share.
func (t *Tracker) Findings(now time.Time, clock time.Duration) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	var list []Finding
	for p, s := range t.suspects {
		if !s.accused && (s.answered || s.upstreams() < minStoredUpstreams) {
			continue
		}
		f := Finding{Part: p, Accused: s.accused}
		for _, e := range s.latestEnds() {
			f.Ends = append(f.Ends, FoundEnd{Upstream: e.upstream, Request: e.request, InFlight: e.inFlight, Writing: e.writing, At: clock - now.Sub(e.at)})
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Finding) int {
		if a.Accused != b.Accused {
			return map[bool]int{true: -1, false: 1}[a.Accused]
		}
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Part, b.Part))
	})
	return list[:min(len(list), maxFindings)]
}

// Restore adds the evidence of findings that were stored. Several may hold the same end, of which
// each names one part.
func (t *Tracker) Restore(list []Finding, now time.Time, clock time.Duration) {
	r, index := Report{}, map[endKey]int{}
	for _, f := range list {
		for _, e := range f.Ends[:min(len(f.Ends), maxKeptEnds)] {
			key := endKey{e.Upstream, e.Request}
			i, known := index[key]
			if !known {
				i, index[key] = len(r.Ends), len(r.Ends)
				r.Ends = append(r.Ends, End{Upstream: e.Upstream, Request: e.Request, InFlight: e.InFlight, Writing: e.Writing, Age: clock - e.At})
			}
			r.Ends[i].Parts = append(r.Ends[i].Parts, f.Part)
		}
		if f.Accused {
			r.Accused = append(r.Accused, f.Part)
		}
	}
	t.Merge(r, now)
}

// Changes returns the changes that make the stored findings the current ones.
func Changes(stored []Stored, current []Finding) []Change {
	old := make(map[Part]Stored, len(stored))
	for _, s := range stored {
		old[s.Part] = s
	}
	var list []Change
	for _, f := range current {
		s, known := old[f.Part]
		delete(old, f.Part)
		if !known || s.Unreadable || s.Accused != f.Accused || !sameFoundEnds(s.Ends, f.Ends) {
			list = append(list, Change{Part: f.Part, Expected: s.Revision, Finding: &f})
		}
	}
	maps.DeleteFunc(old, func(_ Part, s Stored) bool { return s.Unreadable })
	for _, p := range slices.Sorted(maps.Keys(old)) {
		list = append(list, Change{Part: p, Expected: old[p].Revision})
	}
	return list[:min(len(list), maxChanges)]
}

// sameFoundEnds reports whether two lists hold the same ends. Their times differ by the errors
// of the clocks.
func sameFoundEnds(a, b []FoundEnd) bool {
	keys := func(list []FoundEnd) map[endKey]bool {
		set := make(map[endKey]bool, len(list))
		for _, e := range list {
			set[endKey{e.Upstream, e.Request}] = true
		}
		return set
	}
	return maps.Equal(keys(a), keys(b))
}

// Key returns the key of the row that holds the finding of a part.
func (p Part) Key() string { return strconv.FormatUint(uint64(p), 16) }

// storedEnd is the JSON form of a FoundEnd. Times are in milliseconds, the request is
// hexadecimal.
type storedEnd struct {
	Upstream   string `json:"upstream"`
	Request    string `json:"request"`
	InFlightMs int64  `json:"in_flight_ms"`
	WritingMs  int64  `json:"writing_ms"`
	AtMs       int64  `json:"at_ms"`
}

// storedFinding is the JSON form of a Finding. The key of its row names the part.
type storedFinding struct {
	Accused bool        `json:"accused"`
	Ends    []storedEnd `json:"ends"`
}

// Encode returns the value of the row of a finding.
func (f *Finding) Encode() ([]byte, error) {
	row := storedFinding{Accused: f.Accused, Ends: make([]storedEnd, 0, len(f.Ends))}
	for _, e := range f.Ends {
		writing := e.Writing.Milliseconds()
		if e.Writing > 0 {
			writing = max(1, writing)
		}
		row.Ends = append(row.Ends, storedEnd{
			Upstream: e.Upstream, Request: strconv.FormatUint(uint64(e.Request), 16),
			InFlightMs: e.InFlight.Milliseconds(), WritingMs: writing, AtMs: e.At.Milliseconds(),
		})
	}
	data, err := json.Marshal(row)
	return data, oops.Wrap(err)
}

// DecodeStored returns the finding in the row with a key, a value and a revision. With an error
// it is Unreadable if the row is that of a part.
func DecodeStored(key string, value []byte, revision int64) (Stored, error) {
	hash, err := strconv.ParseUint(key, 16, 64)
	part := Part(hash)
	if err != nil || part.Key() != key {
		return Stored{}, oops.Errorf("key %.100q, want the hexadecimal hash of a part", key)
	}
	f, err := decodeFinding(part, value)
	if err != nil {
		return Stored{Finding: Finding{Part: part}, Revision: revision, Unreadable: true}, oops.Wrapf(err, "row %q", key)
	}
	return Stored{Finding: f, Revision: revision}, nil
}

func decodeFinding(part Part, value []byte) (Finding, error) {
	var row storedFinding
	if err := json.Unmarshal(value, &row); err != nil {
		return Finding{}, oops.Wrap(err)
	}
	f := Finding{Part: part, Accused: row.Accused}
	for _, e := range row.Ends {
		request, err := strconv.ParseUint(e.Request, 16, 64)
		if err != nil || e.Upstream == "" {
			return Finding{}, oops.Errorf("an end needs an upstream and the hexadecimal hash of a request: %.200q", value)
		}
		f.Ends = append(f.Ends, FoundEnd{Upstream: e.Upstream, Request: Request(request), InFlight: millis(e.InFlightMs), Writing: millis(e.WritingMs), At: millis(e.AtMs)})
	}
	return f, nil
}

// maxStoredTime bounds the times in a row, so that no sum of them overflows.
const maxStoredTime = 100 * 365 * 24 * time.Hour

func millis(ms int64) time.Duration {
	most := maxStoredTime.Milliseconds()
	return time.Duration(min(max(ms, -most), most)) * time.Millisecond
}
