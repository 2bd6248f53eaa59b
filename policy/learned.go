package policy

import (
	"maps"
	"math"
	"slices"
)

// learned is the joined knowledge of all daemons, prepared for one view.
type learned struct {
	cells       map[CellKey]CellStat
	ratings     map[QualityKey]CountStat
	lengths     map[string]MomentStat
	debts       map[string]float64
	settled     map[string]BiasStat
	ratingDelay float64
	versionID   []string
	models      []string
	byUpstream  map[string][]int
	// first and perToken are the logarithms of the times of a version on a
	// typical engine, with their weights.
	first, perToken []float64
	known           []bool
	// predicted keeps the results of times.
	predicted map[CellKey][2]float64
}

// defaultRatingDelay is used before the first rating, in seconds.
const defaultRatingDelay = 0.5

// joinLocked joins own and peer summaries. The planner's lock is held.
func (p *Planner) joinLocked(in Inputs) *learned {
	if p.joined != nil && p.joined.describes(in) {
		return p.joined
	}
	l := &learned{
		cells: joinCells(maps.Clone(p.own.Cells), p.pooledLocked()), ratings: map[QualityKey]CountStat{},
		lengths: map[string]MomentStat{}, debts: map[string]float64{}, settled: map[string]BiasStat{},
		predicted: map[CellKey][2]float64{},
	}
	delays := []MeanStat{p.own.RatingDelay}
	l.join(&p.own)
	// In a fixed order, because sums of fractions depend on it.
	for _, name := range slices.Sorted(maps.Keys(p.peers)) {
		s := p.peers[name]
		l.join(&s)
		for class, d := range s.Debts {
			l.debts[class] += d
		}
		delays = append(delays, s.RatingDelay)
	}
	l.ratingDelay = defaultRatingDelay
	if mean, w := pool(delays); w > 0 {
		l.ratingDelay = math.Exp(mean)
	}
	l.prepare(in)
	p.joined = l
	return l
}

// describes reports whether l was prepared for the same versions.
func (l *learned) describes(in Inputs) bool {
	if len(l.versionID) != len(in.Versions) {
		return false
	}
	for i, v := range in.Versions {
		if l.versionID[i] != v.ID || l.models[i] != v.Model {
			return false
		}
	}
	return true
}

// pooledLocked returns the joined cells of all peers. With 20 peers and 3,300
// engines joining them takes longer than all other steps of a view, and
// summaries change much more rarely than views, so the planner keeps the result.
func (p *Planner) pooledLocked() map[CellKey]CellStat {
	if p.peerCells == nil {
		p.peerCells = map[CellKey]CellStat{}
		for _, name := range slices.Sorted(maps.Keys(p.peers)) {
			joinCells(p.peerCells, p.peers[name].Cells)
		}
	}
	return p.peerCells
}

// joinCells adds cells to others and returns those.
func joinCells(to, cells map[CellKey]CellStat) map[CellKey]CellStat {
	for k, c := range cells {
		sum := to[k]
		to[k] = CellStat{First: poolTwo(sum.First, c.First), PerToken: poolTwo(sum.PerToken, c.PerToken)}
	}
	return to
}

// join adds everything but the cells.
func (l *learned) join(s *Summary) {
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

// prepare computes the typical times of each version.
func (l *learned) prepare(in Inputs) {
	n := len(in.Versions)
	l.first, l.perToken, l.known = make([]float64, n), make([]float64, n), make([]bool, n)
	index := make(map[string]int, n)
	for i, v := range in.Versions {
		index[v.ID] = i
		l.versionID = append(l.versionID, v.ID)
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
	l.borrowFromSiblings()
}

func meanOr(sum, n, otherwise float64) float64 {
	if n == 0 {
		return otherwise
	}
	return sum / n
}

// borrowFromSiblings gives a version that was never seen the times of another
// version of its model.
func (l *learned) borrowFromSiblings() {
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

// times predicts time to first token and time per token, in seconds, of a
// version on an engine. Samples of the pair count most; the other versions of
// the engine show how its speed compares.
func (l *learned) times(upstream string, ver int) (first, perToken float64) {
	key := CellKey{upstream, l.versionID[ver]}
	if t, ok := l.predicted[key]; ok {
		return t[0], t[1]
	}
	offset, weight := l.offset(upstream, ver)
	if weight > 0 {
		offset *= weight / (weight + 0.3)
	}
	c := l.cells[key]
	x, w := c.PerToken.mean()
	perTokenLog := (x*w + versionPull*(l.perToken[ver]+offset)) / (w + versionPull)
	ratio := perTokenLog - l.perToken[ver]
	y, wf := c.First.mean()
	firstLog := (y*wf + versionPull*(l.first[ver]+ratio)) / (wf + versionPull)
	first, perToken = math.Exp(firstLog), math.Exp(perTokenLog)
	l.predicted[key] = [2]float64{first, perToken}
	return first, perToken
}

// offset is how much slower than typical an engine is, judged by its other
// versions, in logarithms.
func (l *learned) offset(upstream string, except int) (offset, weight float64) {
	sum := 0.0
	for _, ver := range l.byUpstream[upstream] {
		if ver == except {
			continue
		}
		x, w := l.cells[CellKey{upstream, l.versionID[ver]}].PerToken.mean()
		sum += w * (x - l.perToken[ver])
		weight += w
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// anchor is the quality of the cheapest versions for a class. They receive most
// ratings, so they show how hard the class is.
func (l *learned) anchor(class string, versions []VersionSpec, cheapest, accuracy float64) float64 {
	var sum CountStat
	for _, s := range versions {
		if s.CostPer1kOutput <= cheapest {
			c := l.ratings[QualityKey{class, s.ID}]
			sum.N += c.N
			sum.Good += c.Good
		}
	}
	return qualityOf(sum, priorCheapest, anchorRatings, accuracy).mean
}

// quality estimates the quality of a version for a class. The ratings of other
// versions of the same model serve as a prior.
func (l *learned) quality(class string, versions []VersionSpec, i int, s VersionSpec, prior, accuracy float64) estimate {
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
		e := qualityOf(siblings, prior, priorRatings, accuracy)
		prior = e.mean
		weight += math.Min(siblings.N, siblingRatings)
	}
	return qualityOf(l.ratings[QualityKey{class, s.ID}], prior, weight, accuracy)
}
