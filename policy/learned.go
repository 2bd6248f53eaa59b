package policy

import (
	"maps"
	"math"
	"slices"
)

// learnedStats holds the merged statistics of all daemons, indexed by the
// versions of one view.
type learnedStats struct {
	cells   map[CellKey]CellStat
	ratings map[QualityKey]CountStat
	lengths map[string]MomentStat
	debts   map[string]float64
	settled map[string]BiasStat
	// ratingDelay is the expected delay of a rating in seconds.
	ratingDelay float64
	// versionIDs and models describe the versions of the view, by version
	// index.
	versionIDs []string
	models     []string
	// byUpstream lists, by engine, the indices of the versions that have a
	// cell.
	byUpstream map[string][]int
	// first and perToken are, by version index, the logarithms of the time to
	// the first token and of the time per token on a typical engine.
	first, perToken []float64
	// known reports, by version index, whether the time per token has been
	// observed on any engine.
	known []bool
	// predicted caches the results of predictTimes.
	predicted map[CellKey][2]float64
}

// defaultRatingDelay is the expected delay of a rating, in seconds, before the
// first rating is observed.
const defaultRatingDelay = 0.5

// mergeLocked merges the planner's own statistics with the summaries of its
// peers. The caller holds p.mu.
func (p *Planner) mergeLocked(in Inputs) *learnedStats {
	if p.merged != nil && p.merged.matchesVersions(in) {
		return p.merged
	}
	l := &learnedStats{
		cells: addCells(maps.Clone(p.own.Cells), p.peerCellsLocked()), ratings: map[QualityKey]CountStat{},
		lengths: map[string]MomentStat{}, debts: map[string]float64{}, settled: map[string]BiasStat{},
		predicted: map[CellKey][2]float64{},
	}
	delays := []MeanStat{p.own.RatingDelay}
	l.addSummary(&p.own)
	// The order is fixed because floating-point sums depend on it.
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		s := p.peers[name]
		l.addSummary(&s)
		for class, d := range s.Debts {
			l.debts[class] += d
		}
		delays = append(delays, s.RatingDelay)
	}
	l.ratingDelay = defaultRatingDelay
	if mean, w := pool(delays); w > 0 {
		l.ratingDelay = math.Exp(mean)
	}
	l.computeTypicalTimes(in)
	p.merged = l
	return l
}

// matchesVersions reports whether l was computed for the versions of in.
func (l *learnedStats) matchesVersions(in Inputs) bool {
	if len(l.versionIDs) != len(in.Versions) {
		return false
	}
	for i, v := range in.Versions {
		if l.versionIDs[i] != v.ID || l.models[i] != v.Model {
			return false
		}
	}
	return true
}

// peerCellsLocked returns the pooled cells of all peers. With 20 peers and
// 3,300 engines pooling them takes longer than all other steps of BuildView,
// and summaries change much more rarely than views, so the planner caches the
// result. The caller holds p.mu.
func (p *Planner) peerCellsLocked() map[CellKey]CellStat {
	if p.peerCells == nil {
		p.peerCells = map[CellKey]CellStat{}
		for _, name := range slices.Sorted(maps.Keys(p.peers)) {
			addCells(p.peerCells, p.peers[name].Cells)
		}
	}
	return p.peerCells
}

// addCells pools cells into to, cell by cell, and returns to.
func addCells(to, cells map[CellKey]CellStat) map[CellKey]CellStat {
	for k, c := range cells {
		sum := to[k]
		to[k] = CellStat{First: poolTwo(sum.First, c.First), PerToken: poolTwo(sum.PerToken, c.PerToken)}
	}
	return to
}

// addSummary adds the ratings, the prediction errors and the answer lengths of
// s. Cells, rating delays and debts are merged elsewhere.
func (l *learnedStats) addSummary(s *Summary) {
	for k, c := range s.Ratings {
		sum := l.ratings[k]
		sum.N += c.N
		sum.Good += c.Good
		l.ratings[k] = sum
	}
	for k, b := range s.Settled {
		sum := l.settled[k]
		l.settled[k] = BiasStat{N: sum.N + b.N, Sum: sum.Sum + b.Sum}
	}
	for k, m := range s.Lengths {
		sum := l.lengths[k]
		sum.N += m.N
		sum.Sum += m.Sum
		sum.Squares += m.Squares
		l.lengths[k] = sum
	}
}

// computeTypicalTimes computes the typical times of each version as the mean
// over the engines on which it has been observed.
func (l *learnedStats) computeTypicalTimes(in Inputs) {
	n := len(in.Versions)
	l.first, l.perToken, l.known = make([]float64, n), make([]float64, n), make([]bool, n)
	index := make(map[string]int, n)
	for i, v := range in.Versions {
		index[v.ID] = i
		l.versionIDs = append(l.versionIDs, v.ID)
		l.models = append(l.models, v.Model)
	}
	l.byUpstream = map[string][]int{}
	counts, firstCounts := make([]float64, n), make([]float64, n)
	for k, c := range l.cells {
		ver, ok := index[k.Version]
		if !ok {
			continue
		}
		l.byUpstream[k.Upstream] = append(l.byUpstream[k.Upstream], ver)
		if x, w := c.PerToken.mean(); w > 0 {
			l.perToken[ver] += x
			counts[ver]++
		}
		if x, w := c.First.mean(); w > 0 {
			l.first[ver] += x
			firstCounts[ver]++
		}
	}
	for i := range n {
		l.known[i] = counts[i] > 0
		l.perToken[i] = meanOr(l.perToken[i], counts[i], math.Log(defaultPerToken))
		l.first[i] = meanOr(l.first[i], firstCounts[i], math.Log(defaultFirst))
	}
	l.copyTimesWithinModel()
}

// meanOr returns the mean of n values with the given sum, or otherwise if n is
// 0.
func meanOr(sum, n, otherwise float64) float64 {
	if n == 0 {
		return otherwise
	}
	return sum / n
}

// copyTimesWithinModel gives a version without observations the typical times
// of another version of its model, if one has been observed.
func (l *learnedStats) copyTimesWithinModel() {
	for i := range l.known {
		if l.known[i] {
			continue
		}
		for j := range l.known {
			if l.known[j] && l.models[i] == l.models[j] {
				l.first[i], l.perToken[i] = l.first[j], l.perToken[j]
			}
		}
	}
}

// predictTimes predicts the time to the first token and the time per token, in
// seconds, of a version on an engine. Samples of this version on this engine
// count most; where they are few, the prediction tends to the typical times of
// the version, scaled by the relative speed of the engine.
func (l *learnedStats) predictTimes(upstream string, ver int) (first, perToken float64) {
	key := CellKey{upstream, l.versionIDs[ver]}
	if t, ok := l.predicted[key]; ok {
		return t[0], t[1]
	}
	speedOffset, weight := l.speedOffset(upstream, ver)
	if weight > 0 {
		speedOffset *= weight / (weight + 0.3)
	}
	c := l.cells[key]
	perTokenMean, perTokenWeight := c.PerToken.mean()
	perTokenLog := (perTokenMean*perTokenWeight + shrinkageSamples*(l.perToken[ver]+speedOffset)) / (perTokenWeight + shrinkageSamples)
	ratio := perTokenLog - l.perToken[ver]
	firstMean, firstWeight := c.First.mean()
	firstLog := (firstMean*firstWeight + shrinkageSamples*(l.first[ver]+ratio)) / (firstWeight + shrinkageSamples)
	first, perToken = math.Exp(firstLog), math.Exp(perTokenLog)
	l.predicted[key] = [2]float64{first, perToken}
	return first, perToken
}

// speedOffset returns the logarithm of the ratio between the times per token on
// an engine and on a typical engine, estimated from the versions other than
// except, and the weight of the samples behind it.
func (l *learnedStats) speedOffset(upstream string, except int) (speedOffset, weight float64) {
	sum := 0.0
	for _, ver := range l.byUpstream[upstream] {
		if ver == except {
			continue
		}
		x, w := l.cells[CellKey{upstream, l.versionIDs[ver]}].PerToken.mean()
		sum += w * (x - l.perToken[ver])
		weight += w
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// cheapestQuality estimates the quality of the cheapest versions for a class.
// They receive most ratings, so they show how hard the class is.
func (l *learnedStats) cheapestQuality(class string, versions []VersionSpec, cheapest, accuracy float64) float64 {
	var sum CountStat
	for _, s := range versions {
		if s.CostPer1kOutput <= cheapest {
			c := l.ratings[QualityKey{class, s.ID}]
			sum.N += c.N
			sum.Good += c.Good
		}
	}
	return estimateQuality(sum, cheapestPriorMean, cheapestPriorRatings, accuracy).mean
}

// quality estimates the quality of version i for a class. The ratings of the
// other versions of its model move the prior and add to its weight.
func (l *learnedStats) quality(class string, versions []VersionSpec, i int, s VersionSpec, prior, accuracy float64) estimate {
	var siblings CountStat
	for j, other := range versions {
		if j != i && other.Model == s.Model {
			c := l.ratings[QualityKey{class, other.ID}]
			siblings.N += c.N
			siblings.Good += c.Good
		}
	}
	weight := float64(priorRatings)
	if siblings.N > 0 {
		e := estimateQuality(siblings, prior, priorRatings, accuracy)
		prior = e.mean
		weight += math.Min(siblings.N, maxSameModelRatings)
	}
	return estimateQuality(l.ratings[QualityKey{class, s.ID}], prior, weight, accuracy)
}
