package share

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/savoryshift/savoryshift/coord/store"
)

const rowPrefix = "share/"

// holding is the share of one holder and the share that it wants.
type holding struct {
	share perResource[int64] // fractions of FullLimit
	want  perResource[int64] // share that a short holder wants, or 0
}

// grants is the content of the row of one organisation, by holder.
type grants map[string]holding

// encode returns the value of a row: a JSON object that maps each holder to a
// list of its shares, followed by its wants unless all of them are 0.
func (g grants) encode() ([]byte, error) {
	flat := make(map[string][]int64, len(g))
	for holder, h := range g {
		flat[holder] = h.share[:]
		if h.want != (perResource[int64]{}) {
			flat[holder] = append(flat[holder], h.want[:]...)
		}
	}
	return json.Marshal(flat)
}

func decodeGrants(row store.Row) (grants, error) {
	g := make(grants)
	if row.Version == 0 {
		return g, nil
	}
	var flat map[string][]int64
	if err := json.Unmarshal(row.Value, &flat); err != nil {
		return nil, fmt.Errorf("share row %q is damaged: %w", row.Key, err)
	}
	for holder, values := range flat {
		if len(values) != int(resources) && len(values) != 2*int(resources) {
			return nil, fmt.Errorf("share row %q is damaged: %d values for %q", row.Key, len(values), holder)
		}
		var h holding
		copy(h.share[:], values)
		copy(h.want[:], values[resources:])
		g[holder] = h
	}
	return g, nil
}

// free returns the part of the limit that nobody holds.
func (g grants) free(r resource) int64 {
	left := FullLimit
	for _, h := range g {
		left -= h.share[r]
	}
	return left
}

// unmet returns what the holders other than self want in addition to their
// shares.
func (g grants) unmet(r resource, self string) (sum int64) {
	for holder, h := range g {
		if holder != self {
			sum += max(0, h.want[r]-h.share[r])
		}
	}
	return sum
}

// removeVM deletes all holders of a VM except keep, and returns the sum of their
// shares.
func (g grants) removeVM(vm, keep string) (freed perResource[int64], found bool) {
	for holder, h := range maps.Clone(g) {
		if holder == keep || !strings.HasPrefix(holder, vm+"/") {
			continue
		}
		found = true
		for r := range resources {
			freed[r] += h.share[r]
		}
		delete(g, holder)
	}
	return freed, found
}
