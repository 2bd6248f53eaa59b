package policy

import (
	"math"
	"sync"
	"time"
)

// Options of a planner.
type Options struct {
	// RatingAccuracy is the probability that a rating is right. Default: 0.9.
	RatingAccuracy float64
	// Exploration is the share of requests that may go to a version which is
	// not the best known one, and the share of the cost that this may add.
	// Default: 0.02.
	Exploration float64
}

// CellKey names a version on an engine.
type CellKey struct{ Upstream, Version string }

// QualityKey names a version for a class.
type QualityKey struct{ Class, Version string }

// Planner learns from observations and decides. All methods are safe for
// concurrent use: decisions read an immutable View and per-class atomics, and
// learning takes a short lock that decisions do not take.
type Planner struct {
	opts    Options
	targets sync.Map // class name to *target
	orgs    sync.Map // organisation to *budget
	explore explorer

	// building serialises BuildView.
	building sync.Mutex

	mu    sync.Mutex
	own   Summary
	peers map[string]Summary
	// peerCells are the cells of all peers, pooled; nil when a peer changed.
	peerCells map[CellKey]CellStat
	// joined is the joined knowledge of the last view; it is dropped when
	// something has been learned since.
	joined *learned
}

// New returns a planner that knows nothing yet.
func New(o Options) *Planner {
	if o.RatingAccuracy == 0 {
		o.RatingAccuracy = 0.9
	}
	if o.Exploration == 0 {
		o.Exploration = 0.02
	}
	return &Planner{opts: o, own: newSummary(), peers: map[string]Summary{}}
}

// Served tells how a call went that has produced an answer.
type Served struct {
	Class, Version, Upstream string
	// First is the time from sending to the first token; 0 when the call may
	// have waited in the queue of the engine.
	First time.Duration
	// Streaming is the time from the first to the last token.
	Streaming time.Duration
	// Tokens is the length of the answer.
	Tokens float64
	// CachedShare is the part of the prompt that was expected to be cached.
	CachedShare float64
}

// ObserveServed learns times and lengths from a whole answer.
func (p *Planner) ObserveServed(s Served, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = nil
	key := CellKey{s.Upstream, s.Version}
	cell := p.own.Cells[key]
	if s.First > 0 {
		base := s.First.Seconds() / (1 - prefixSaving*s.CachedShare)
		cell.First.add(math.Log(base), sampleDecay, now)
	}
	if s.Streaming > 0 && s.Tokens > 0 {
		cell.PerToken.add(math.Log(s.Streaming.Seconds()/s.Tokens), sampleDecay, now)
	}
	p.own.Cells[key] = cell
}

// ObserveTokenRate learns from a call that still streams: tokens have arrived in the
// time since the first one.
func (p *Planner) ObserveTokenRate(version, upstream string, streaming time.Duration, tokens float64, now time.Duration) {
	if streaming <= 0 || tokens < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = nil
	key := CellKey{upstream, version}
	cell := p.own.Cells[key]
	cell.PerToken.add(math.Log(streaming.Seconds()/tokens), sampleDecay, now)
	p.own.Cells[key] = cell
}

// ObserveLength learns the length of the answers of a class.
func (p *Planner) ObserveLength(class string, tokens float64) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = nil
	m := p.own.Lengths[class]
	m.add(math.Log(tokens), lengthMemory)
	p.own.Lengths[class] = m
}

// lengthMemory is the number of answers after which older lengths fade.
const lengthMemory = 500

// ObserveFinalQuality compares the quality that a plan predicted with the quality of
// the delivered answer as judged by its rating, so that a bias of the plans of a
// class is corrected.
func (p *Planner) ObserveFinalQuality(class string, predicted, final float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = nil
	b := p.own.Settled[class]
	keep := choose(b.N >= biasMemory, 1-1.0/biasMemory, 1)
	p.own.Settled[class] = BiasStat{N: b.N*keep + 1, Sum: b.Sum*keep + predicted - final}
}

// biasMemory is the number of answers after which older ones fade, and
// biasPrior the weight of the prior assumption of no bias.
const (
	biasMemory = 300
	biasPrior  = 30
)

// ObserveRating learns the quality of a version and the delay of the rating.
func (p *Planner) ObserveRating(class, version string, good bool, delay, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = nil
	key := QualityKey{class, version}
	c := p.own.Ratings[key]
	c.add(good)
	p.own.Ratings[key] = c
	p.own.RatingDelay.add(math.Log(math.Max(delay.Seconds(), 1e-3)), sampleDecay, now)
}
