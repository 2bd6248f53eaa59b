package share

import "slices"

const (
	// headroomPercent of the demand is held on top while nobody else is short,
	// or headroomNoise percent of the noise when that is more: the bucket of a
	// small share would otherwise refuse requests that arrive by chance together.
	headroomPercent = 10
	headroomNoise   = 40
	// tightPercent and tightNoise replace them while another holder is short.
	tightPercent = 3
	tightNoise   = 5
	// floorPercent of the limit is spread over all holders, so that a holder
	// without demand can admit its first requests.
	floorPercent = 3
	// reservePercent of the limit is kept free, so that a new demand needs no
	// other holder. Below it, holders give back what they do not need.
	reservePercent = 10
	// stepPercent of its share is the least that a holder takes or gives back;
	// smaller changes are not worth a write.
	stepPercent = 10
	stepNoise   = 30
	// surplusPercent and surplusNoise replace them for giving back while
	// another holder is short.
	surplusPercent = 5
	surplusNoise   = 10
	// wantPercent is the least change of a recorded want that is worth a write.
	// An old want that is too large only makes others free a little more.
	wantPercent = 30
	// maxLeastStep bounds the least step of holders with small shares.
	maxLeastStep = Whole / 1000
)

func percent(of, p int64) int64 { return of * p / 100 }

// leastFor returns the least step: 2% of an equal share, or less. What idle
// holders keep because it is below the step adds up to 2% of the limit.
func leastFor(holders int) int64 { return min(maxLeastStep, Whole/int64(50*max(1, holders))) }

// floorFor returns the share that a holder keeps without demand.
func floorFor(holders int) int64 { return percent(Whole, floorPercent) / int64(max(1, holders)) }

// need is the demand of one holder for one resource.
type need struct {
	demand int64 // smoothed, as a fraction of the limit
	peak   int64 // demand of the latest period if requests were refused, or demand
	noise  int64 // standard deviation of the demand over one burst
	short  bool  // requests were refused, and the smoothed demand is well above the share
	floor  int64
	least  int64
	roll   float64 // random in [0, 1)
}

// step returns the least change of a share that is worth a write.
func (n need) step(share int64) int64 {
	return max(n.least, percent(share, stepPercent), percent(n.noise, stepNoise))
}

// surplus is the step for giving back while another holder is short.
func (n need) surplus(share int64) int64 {
	return max(n.least, percent(share, surplusPercent), percent(n.noise, surplusNoise))
}

// target returns the share that suits the need.
func (n need) target(tight bool) int64 {
	if tight {
		margin := max(percent(n.demand, tightPercent), percent(n.noise, tightNoise))
		return min(Whole, max(n.floor, n.demand+margin))
	}
	margin := max(percent(n.peak, headroomPercent), percent(n.noise, headroomNoise))
	return min(Whole, max(n.floor, n.peak+margin))
}

// decide returns the part that self should hold. It never takes more than what
// is free.
func decide(g grants, self string, r resource, n need) (share, want int64) {
	share = g[self].share[r]
	free, unmet := g.free(r), g.unmet(r, self)
	target := n.target(unmet > 0)
	if target > share {
		return take(g, self, r, n, target)
	}
	surplus := share - target
	switch {
	case surplus >= n.surplus(share) && n.called(unmet-free, surplus, len(g)):
		return target, 0
	case free < percent(Whole, reservePercent) && surplus >= 2*n.step(share):
		return target, 0
	}
	return share, 0
}

// called reports whether this holder is among those that give their surplus
// back. When all holders have as much as this one, about as many are called as
// the missing part takes, so that a small want does not cost a write of every
// holder.
func (n need) called(missing, surplus int64, holders int) bool {
	return float64(missing) > n.roll*float64(surplus)*float64(holders)
}

// take raises the share out of the free part. When that does not suffice for a
// holder that is short, it records the want, and gives back what it holds above
// the fair level while others are short.
func take(g grants, self string, r resource, n need, target int64) (share, want int64) {
	share = g[self].share[r]
	if n.short || g[self].want[r] > 0 {
		want = target // kept until the share suffices
	}
	level := target
	if g.unmet(r, self) > 0 {
		fair := fairLevel(g, self, r, target)
		if share-fair >= n.step(share) {
			return fair, want
		}
		level = min(target, fair)
	}
	grant := min(g.free(r), level-share)
	if grant >= n.step(share) || n.short && grant >= n.least {
		share += grant
	}
	if share >= target {
		want = 0
	}
	if old := g[self].want[r]; want > 0 && abs(want-old) < percent(old, wantPercent) {
		want = old
	}
	return share, want
}

func abs(n int64) int64 { return max(n, -n) }

// fairLevel returns the max-min fair level: the largest share at which all
// holders that want less get what they want and the others get the same.
func fairLevel(g grants, self string, r resource, target int64) int64 {
	wants := make([]int64, 0, len(g))
	for holder, h := range g {
		if holder != self {
			wants = append(wants, max(h.share[r], h.want[r]))
		}
	}
	// A holder that is not short counts with its share, which bounds what it
	// can lose by this rule; its surplus returns by its own decision.
	wants = append(wants, target)
	slices.Sort(wants)
	left := Whole
	for i, w := range wants {
		level := left / int64(len(wants)-i)
		if w >= level {
			return level
		}
		left -= w
	}
	return Whole
}
