package policy

import "maps"

// Summary holds what one daemon has learned from its own observations. Because
// it holds no samples of other daemons, a later summary of a daemon replaces
// the earlier one, and receiving the same summary twice has no effect.
type Summary struct {
	Cells       map[CellKey]CellStat
	Ratings     map[QualityKey]CountStat
	Lengths     map[string]MomentStat
	RatingDelay MeanStat
	// Debts holds, by class, the accumulated shortfall of the predicted quality
	// below the target.
	Debts map[string]float64
	// Settled holds, by class, the sum of the differences between predicted and
	// final quality.
	Settled map[string]BiasStat
}

// BiasStat holds the number of answers and the sum of the differences between
// their predicted and their final quality.
type BiasStat struct{ N, Sum float64 }

func newSummary() Summary {
	return Summary{
		Cells: map[CellKey]CellStat{}, Ratings: map[QualityKey]CountStat{},
		Lengths: map[string]MomentStat{}, Debts: map[string]float64{}, Settled: map[string]BiasStat{},
	}
}

// clone returns a deep copy.
func (s *Summary) clone() Summary {
	c := *s
	c.Cells, c.Ratings = maps.Clone(s.Cells), maps.Clone(s.Ratings)
	c.Lengths, c.Debts = maps.Clone(s.Lengths), maps.Clone(s.Debts)
	c.Settled = maps.Clone(s.Settled)
	return c
}

// Export returns a copy of what this daemon has learned from its own
// observations.
func (p *Planner) Export() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.own.clone()
	p.controllers.Range(func(class, controller any) bool {
		s.Debts[class.(string)] = controller.(*qualityController).debt()
		return true
	})
	return s
}

// Merge replaces the summary of another daemon by s. The caller must not change
// s afterwards.
func (p *Planner) Merge(peer string, s Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[peer], p.peerCells, p.merged = s, nil, nil
}

// Forget removes the summary of a daemon that has left.
func (p *Planner) Forget(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
	p.peerCells, p.merged = nil, nil
}
