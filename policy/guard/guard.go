package guard

import (
	"math"
	"sync"
)

// Options configures a Guard.
type Options struct {
	// ExposureWeight is the weight that the organisations in the rollout give
	// to low exposure to a bad version; 1 is neutral. A larger weight halts the
	// candidate on less evidence. Range: 0 to 100. Default: 1.
	ExposureWeight float64
}

const (
	// exposureSlope is the reduction of a threshold per unit of the logarithm
	// of the exposure weight. maxThresholdReduction bounds the change of the
	// threshold in both directions.
	exposureSlope         = 0.5
	maxThresholdReduction = 1.0
	// baseRateStdErrs is the number of standard errors that is added to the
	// observed bad rate of the base.
	baseRateStdErrs = 0.9
	// priorBadRate is the prior bad rate of the base, except for Errors, whose
	// prior is twice minBadRate. priorEvents is the weight of the prior in
	// events.
	priorBadRate = 0.6
	priorEvents  = 3.0
	// minBaseEvents is the number of base events below which the candidate's
	// events of a stratum are ignored. Errors are always used.
	minBaseEvents = 8
	// minBadRate and maxBadRate bound the estimated bad rate of the base. The
	// lower bound keeps a few failures among many calls from halting a
	// candidate whose base has had none.
	minBadRate = 0.05
	maxBadRate = 0.97
)

// testedIncrease defines, per signal, the increased bad rate that the test
// compares with that of the base: the fraction of the base's good events that
// turn bad. The value for Delay is what a release shows that is eight times
// slower for a fifth of its requests.
var testedIncrease = [numSignals]float64{Errors: 0.25, Ratings: 0.25, Latency: 0.25, Delay: 0.38}

// thresholds are the log-likelihood ratios at which the candidate is halted
// with a neutral exposure weight. Failures and slow answers can be told from
// healthy ones within few requests, so their thresholds are high. Ratings are
// noisy and could not reach a higher threshold within 200 requests. Delays
// could not reach one within the roughly 100 requests of the first half of a
// rollout.
var thresholds = [numSignals]float64{Errors: 11, Ratings: 8.7, Latency: 11, Delay: 8}

// classErrorThreshold is the log-likelihood ratio of the errors in one class at
// which the candidate is halted. It is lower than the threshold for all classes
// together. Otherwise the successes on other routes could hide a version that
// fails on one route only until it receives all traffic.
const classErrorThreshold = 7.5

// Guard compares a candidate version with its base version. It is safe for
// concurrent use.
type Guard struct {
	thresholdReduction float64

	mu sync.Mutex
	// own holds the counts of this daemon.
	own Counts
	// lastCounts holds the last counts that were merged, by peer.
	lastCounts map[string]Counts
	// base holds the base events of all daemons.
	base map[Stratum]Tally
	// evidence is the cumulative log-likelihood ratio by signal.
	evidence [numSignals]float64
	// classErrorEvidence is the cumulative log-likelihood ratio of the errors
	// by class.
	classErrorEvidence map[string]float64
	halted             bool
	cause              Signal
}

// New returns a Guard without evidence.
func New(o Options) *Guard {
	thresholdReduction := 0.0
	if o.ExposureWeight > 0 {
		thresholdReduction = exposureSlope * math.Log(o.ExposureWeight)
	}
	return &Guard{
		thresholdReduction: math.Max(-maxThresholdReduction, math.Min(maxThresholdReduction, thresholdReduction)),
		own:                newCounts(), lastCounts: map[string]Counts{}, base: map[Stratum]Tally{}, classErrorEvidence: map[string]float64{},
	}
}

// ObserveBase records one event of the base version.
func (g *Guard) ObserveBase(s Stratum, bad bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.own.Base[s]
	t.add(bad)
	g.own.Base[s] = t
	g.addBase(s, Tally{N: 1, Bad: boolToCount(bad)})
}

// ObserveCandidate records one event of the candidate version and updates the
// evidence.
func (g *Guard) ObserveCandidate(s Stratum, bad bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.own.Candidate[s]
	t.add(bad)
	g.own.Candidate[s] = t
	g.addCandidate(s, Tally{N: 1, Bad: boolToCount(bad)})
}

// boolToCount returns 1 for true and 0 for false.
func boolToCount(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// Counts returns a copy of the cumulative counts of this daemon, to be sent to
// its peers.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own.Clone()
}

// Merge adds the events of a peer, given its cumulative counts. Only the
// increase since the last counts of the same peer is added.
func (g *Guard) Merge(peer string, c Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.lastCounts[peer]
	if !ok {
		last = newCounts()
	}
	for s, t := range c.Base {
		if d := tallyIncrease(t, last.Base[s]); d.N > 0 {
			g.addBase(s, d)
			last.Base[s] = t
		}
	}
	for s, t := range c.Candidate {
		if d := tallyIncrease(t, last.Candidate[s]); d.N > 0 {
			g.addCandidate(s, d)
			last.Candidate[s] = t
		}
	}
	g.lastCounts[peer] = last
}

// addBase adds events of the base version.
func (g *Guard) addBase(s Stratum, d Tally) {
	t := g.base[s]
	t.N += d.N
	t.Bad += d.Bad
	g.base[s] = t
}

// addCandidate adds events of the candidate version to the evidence and halts
// the candidate if the evidence reaches the threshold.
func (g *Guard) addCandidate(s Stratum, d Tally) {
	base := g.base[s]
	if s.Signal >= numSignals || base.N < minBaseEvents && s.Signal != Errors {
		return
	}
	step := logLikelihoodRatio(baseBadRate(base, s.Signal), s.Signal, d)
	sum := &g.evidence[s.Signal]
	*sum = math.Max(0, *sum+step)
	if s.Signal == Errors {
		g.addClassErrors(s.Class, step)
	}
	if !g.halted && *sum >= thresholds[s.Signal]-g.thresholdReduction {
		g.halted, g.cause = true, s.Signal
	}
}

// logLikelihoodRatio returns the logarithm of the ratio between the likelihoods
// of the events at the increased bad rate and at the usual one.
func logLikelihoodRatio(usual float64, s Signal, d Tally) float64 {
	bad := usual + testedIncrease[s]*(1-usual)
	return float64(d.Bad)*math.Log(bad/usual) + float64(d.N-d.Bad)*math.Log((1-bad)/(1-usual))
}

// addClassErrors adds a log-likelihood ratio to the error evidence of one class
// and halts the candidate if it reaches the threshold.
func (g *Guard) addClassErrors(class string, step float64) {
	g.classErrorEvidence[class] = math.Max(0, g.classErrorEvidence[class]+step)
	if !g.halted && g.classErrorEvidence[class] >= classErrorThreshold-g.thresholdReduction {
		g.halted, g.cause = true, Errors
	}
}

// MaxClassEvidence returns the largest error evidence of any class, as a
// log-likelihood ratio.
func (g *Guard) MaxClassEvidence() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0.0
	for _, evidence := range g.classErrorEvidence {
		most = math.Max(most, evidence)
	}
	return most
}

// baseBadRate returns a cautious, that is high, estimate of the bad rate of the
// base.
func baseBadRate(t Tally, s Signal) float64 {
	prior := priorBadRate
	if s == Errors {
		prior = 2 * minBadRate
	}
	n := float64(t.N) + priorEvents
	rate := (float64(t.Bad) + priorEvents*prior) / n
	rate += baseRateStdErrs * math.Sqrt(rate*(1-rate)/n)
	return math.Max(minBadRate, math.Min(maxBadRate, rate))
}

// Halted reports whether the candidate is to be halted and the signal that
// caused it.
func (g *Guard) Halted() (bool, Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.halted, g.cause
}

// Evidence returns the current evidence of a signal, as a log-likelihood ratio.
func (g *Guard) Evidence(s Signal) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence[s]
}
