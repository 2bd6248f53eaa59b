package policy

import (
	"math"
	"sync"
	"time"
)

// Options configures a Planner.
type Options struct {
	// RatingAccuracy is the probability that a rating is correct. Default: 0.9.
	RatingAccuracy float64
	// Exploration is the maximum share of requests that are sent to a version
	// with an uncertain quality estimate instead of the best known plan, and
	// the maximum share of additional cost that this causes. Default: 0.02.
	Exploration float64
}

// CellKey identifies a cell: the statistics of one version on one engine.
type CellKey struct{ Upstream, Version string }

// QualityKey identifies the quality statistics of one version for one class of
// requests.
type QualityKey struct{ Class, Version string }

// Planner decides how requests are served and learns from the observed results.
// All methods are safe for concurrent use: decisions read an immutable View and
// per-class atomics, and learning takes a short lock that decisions do not
// take.
type Planner struct {
	opts          Options
	controllers   sync.Map // class name to *qualityController
	organisations sync.Map // organisation to *organisationState
	explore       explorer

	// buildMu serialises BuildView.
	buildMu sync.Mutex

	mu    sync.Mutex
	own   Summary
	peers map[string]Summary
	// peerCells holds the pooled cells of all peers. It is nil after the
	// summary of a peer has changed, until the next use.
	peerCells map[CellKey]CellStat
	// merged holds the merged statistics of the last view. It is nil if an
	// observation or a peer summary has arrived since.
	merged *learnedStats
}

// New returns a planner without observations.
func New(o Options) *Planner {
	if o.RatingAccuracy == 0 {
		o.RatingAccuracy = 0.9
	}
	if o.Exploration == 0 {
		o.Exploration = 0.02
	}
	return &Planner{opts: o, own: newSummary(), peers: map[string]Summary{}}
}

// Served describes a completed call that has produced an answer.
type Served struct {
	Class, Version, Upstream string
	// First is the time from sending the call to the first token, or 0 if the
	// call may have waited in the queue of the engine.
	First time.Duration
	// Streaming is the time from the first to the last token.
	Streaming time.Duration
	// Tokens is the length of the answer in tokens.
	Tokens float64
	// CachedShare is the part of the prompt that was expected to be in the
	// cache of the engine, from 0 to 1.
	CachedShare float64
}

// ObserveServed records the times of a complete answer in the statistics of its
// version and engine. The length of the answer is recorded by ObserveLength.
func (p *Planner) ObserveServed(s Served, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged = nil
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

// ObserveTokenRate records the time per token of a call that is still streaming:
// the given number of tokens has arrived in the given time since the first one.
func (p *Planner) ObserveTokenRate(version, upstream string, streaming time.Duration, tokens float64, now time.Duration) {
	if streaming <= 0 || tokens < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged = nil
	key := CellKey{upstream, version}
	cell := p.own.Cells[key]
	cell.PerToken.add(math.Log(streaming.Seconds()/tokens), sampleDecay, now)
	p.own.Cells[key] = cell
}

// ObserveLength records the length of an answer in the statistics of its class.
func (p *Planner) ObserveLength(class string, tokens float64) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged = nil
	m := p.own.Lengths[class]
	m.add(math.Log(tokens), lengthMemory)
	p.own.Lengths[class] = m
}

// lengthMemory bounds the effective number of observed lengths per class.
// Beyond it, each new answer reduces the weight of the older ones.
const lengthMemory = 500

// ObserveFinalQuality records the quality that a plan predicted and the final
// quality of the delivered answer, as estimated from its rating. The mean
// difference corrects the bias of the predictions for the class.
func (p *Planner) ObserveFinalQuality(class string, predicted, final float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged = nil
	b := p.own.Settled[class]
	keep := ternary(b.N >= biasMemory, 1-1.0/biasMemory, 1)
	p.own.Settled[class] = BiasStat{N: b.N*keep + 1, Sum: b.Sum*keep + predicted - final}
}

const (
	// biasMemory bounds the effective number of answers per class. Beyond it,
	// each new answer reduces the weight of the older ones.
	biasMemory = 300
	// biasPrior is the weight, in answers, of the prior assumption that the
	// predictions have no bias.
	biasPrior = 30
)

// ObserveRating records a rating of an answer and how long it took to obtain.
func (p *Planner) ObserveRating(class, version string, good bool, delay, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merged = nil
	key := QualityKey{class, version}
	c := p.own.Ratings[key]
	c.add(good)
	p.own.Ratings[key] = c
	p.own.RatingDelay.add(math.Log(math.Max(delay.Seconds(), 1e-3)), sampleDecay, now)
}
