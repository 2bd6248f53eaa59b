package share

import "slices"

const (
	// A holder keeps a headroom above its demand while no other holder is short:
	// headroomPercent of the demand, or headroomNoisePercent of the noise when
	// that is more. Without the latter, the bucket of a small share would refuse
	// requests that arrive together by chance.
	headroomPercent      = 10
	headroomNoisePercent = 40
	// contendedHeadroomPercent and contendedHeadroomNoisePercent replace
	// headroomPercent and headroomNoisePercent while another holder is short.
	contendedHeadroomPercent      = 3
	contendedHeadroomNoisePercent = 5
	// floorPercent of the limit is divided among all holders as their minimum
	// shares, so that a holder without demand can admit its first requests.
	floorPercent = 3
	// reservePercent of the limit is kept free, so that a new demand can be met
	// without waiting for other holders. While less is free, holders give back
	// what they do not need.
	reservePercent = 10
	// stepPercent of the share, or stepNoisePercent of the noise when that is
	// more, is the smallest change of a share: smaller ones are not worth a write.
	stepPercent      = 10
	stepNoisePercent = 30
	// surplusStepPercent and surplusStepNoisePercent replace stepPercent and
	// stepNoisePercent for giving back while another holder is short.
	surplusStepPercent      = 5
	surplusStepNoisePercent = 10
	// wantChangePercent is the smallest change of a recorded want that is worth a
	// write. An old want that is too large only makes other holders give back a
	// little more.
	wantChangePercent = 30
	// minStepCap bounds the minimum step, which depends on the number of holders.
	minStepCap = FullLimit / 1000
)

func percent(of, p int64) int64 { return of * p / 100 }

// minStepFor returns the minimum step: 2% of an equal share, and at most
// minStepCap. Idle holders keep what is below this step, which adds up to at most
// 2% of the limit.
func minStepFor(holders int) int64 { return min(minStepCap, FullLimit/int64(50*max(1, holders))) }

// floorFor returns the share that a holder keeps when it has no demand.
func floorFor(holders int) int64 { return percent(FullLimit, floorPercent) / int64(max(1, holders)) }

// need is the demand of one holder for one resource.
type need struct {
	demand  int64   // smoothed, as a fraction of the limit
	peak    int64   // demand, or that of the latest period if it is higher and requests were refused
	noise   int64   // standard deviation of the demand over one burst, as a fraction of the limit
	short   bool    // requests were refused, and the demand exceeds the share by the surplus step or more
	floor   int64   // share that is kept without demand
	minStep int64   // lower bound on the steps of the share
	random  float64 // uniformly distributed in [0, 1)
}

// step returns the smallest change of a share that is worth a write.
func (n need) step(share int64) int64 {
	return max(n.minStep, percent(share, stepPercent), percent(n.noise, stepNoisePercent))
}

// surplusStep returns the smallest surplus that is given back while another
// holder is short.
func (n need) surplusStep(share int64) int64 {
	return max(n.minStep, percent(share, surplusStepPercent), percent(n.noise, surplusStepNoisePercent))
}

// target returns the share that meets the need. contended reports that another
// holder is short.
func (n need) target(contended bool) int64 {
	if contended {
		margin := max(percent(n.demand, contendedHeadroomPercent), percent(n.noise, contendedHeadroomNoisePercent))
		return min(FullLimit, max(n.floor, n.demand+margin))
	}
	margin := max(percent(n.peak, headroomPercent), percent(n.noise, headroomNoisePercent))
	return min(FullLimit, max(n.floor, n.peak+margin))
}

// decideShare returns the share that self should hold and the share that it
// wants. It never takes more than what is free.
func decideShare(g grants, self string, r resource, n need) (share, want int64) {
	share = g[self].share[r]
	free, unmet := g.free(r), g.unmet(r, self)
	target := n.target(unmet > 0)
	if target > share {
		return raiseShare(g, self, r, n, target)
	}
	surplus := share - target
	switch {
	case surplus >= n.surplusStep(share) && n.selectedToGiveBack(unmet-free, surplus, len(g)):
		return target, 0
	case free < percent(FullLimit, reservePercent) && surplus >= 2*n.step(share):
		return target, 0
	}
	return share, 0
}

// selectedToGiveBack reports whether this holder gives its surplus back. The
// selection is random. If all holders have the same surplus, about as many are
// selected as are needed to cover the missing part, so that a small want does not
// cost a write of every holder.
func (n need) selectedToGiveBack(missing, surplus int64, holders int) bool {
	return float64(missing) > n.random*float64(surplus)*float64(holders)
}

// raiseShare raises the share from the free part of the limit. When that does not
// suffice for a holder that is short, it records the target as the want. While
// other holders are short, it lowers a share that is above the fair level.
func raiseShare(g grants, self string, r resource, n need, target int64) (share, want int64) {
	share = g[self].share[r]
	if n.short || g[self].want[r] > 0 {
		want = target // stays recorded until the share reaches the target
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
	if grant >= n.step(share) || n.short && grant >= n.minStep {
		share += grant
	}
	if share >= target {
		want = 0
	}
	if old := g[self].want[r]; want > 0 && abs(want-old) < percent(old, wantChangePercent) {
		want = old
	}
	return share, want
}

func abs(n int64) int64 { return max(n, -n) }

// fairLevel returns the level of max-min fairness: the largest share at which all
// holders that want less get what they want and all others get this share.
func fairLevel(g grants, self string, r resource, target int64) int64 {
	wants := make([]int64, 0, len(g))
	for holder, h := range g {
		if holder != self {
			wants = append(wants, max(h.share[r], h.want[r]))
		}
	}
	// A holder that is not short counts with its share, which bounds what it can
	// lose by this rule. It gives a surplus back by its own decision.
	wants = append(wants, target)
	slices.Sort(wants)
	left := FullLimit
	for i, w := range wants {
		level := left / int64(len(wants)-i)
		if w >= level {
			return level
		}
		left -= w
	}
	return FullLimit
}
