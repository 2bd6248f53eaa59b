package policy

import "maps"

// Summary is what one daemon has learned, in a form that other daemons can
// join to theirs. It holds the daemon's own samples only, so a later summary of
// a daemon replaces the earlier one and repeats do no harm.
type Summary struct {
	Cells       map[CellKey]CellStat
	Ratings     map[QualityKey]CountStat
	Lengths     map[string]MomentStat
	RatingDelay MeanStat
	// Debts holds, by class, the predicted quality that is owed to the target.
	Debts map[string]float64
	// Settled holds, by class, the sum of predicted less final quality.
	Settled map[string]BiasStat
}

// BiasStat counts answers and by how much their predicted quality was above
// the final one.
type BiasStat struct{ N, Sum float64 }

func newSummary() Summary {
	return Summary{
		Cells: map[CellKey]CellStat{}, Ratings: map[QualityKey]CountStat{},
		Lengths: map[string]MomentStat{}, Debts: map[string]float64{}, Settled: map[string]BiasStat{},
	}
}

func (s *Summary) clone() Summary {
	c := *s
	c.Cells, c.Ratings = maps.Clone(s.Cells), maps.Clone(s.Ratings)
	c.Lengths, c.Debts = maps.Clone(s.Lengths), maps.Clone(s.Debts)
	c.Settled = maps.Clone(s.Settled)
	return c
}

// Export returns what this daemon has learned itself.
func (p *Planner) Export() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.own.clone()
	p.targets.Range(func(class, t any) bool {
		s.Debts[class.(string)] = t.(*target).debt()
		return true
	})
	return s
}

// Merge takes the latest summary of another daemon. The summary must not be
// changed afterwards.
func (p *Planner) Merge(peer string, s Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[peer], p.peerCells, p.joined = s, nil, nil
}

// Forget drops what was learned from a daemon that is gone.
func (p *Planner) Forget(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
	p.peerCells, p.joined = nil, nil
}
