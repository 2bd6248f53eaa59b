package guard

import (
	"math"
	"sync"
)

// Options of a guard.
type Options struct {
	// ExposureWeight of the organisations in the roll-out; 1 is neutral. A
	// larger weight halts on less evidence. Range: 0 to 100. Default: 1.
	ExposureWeight float64
}

const (
	// exposureGain is the part of the logarithm of the exposure weight that is
	// taken off the threshold, maxRelief the most that is taken off or added.
	exposureGain = 0.5
	maxRelief    = 1.0
	// baseCaution is the number of standard errors by which the base rate is
	// taken higher than observed.
	baseCaution = 0.9
	// priorBad and priorCount describe a base without observations.
	priorBad   = 0.6
	priorCount = 3.0
	// minBase is the number of base observations below which a stratum does not
	// count.
	minBase = 8
	// minBadRate keeps a few failures among many calls from halting a version
	// whose base has had none.
	minBadRate = 0.05
	maxBadRate = 0.97
)

// worse is the share of additional bad events that is tested, as a part of the
// events that are good at the base. That of delays is what a release shows which
// is eight times slower for a fifth of its requests.
var worse = [signals]float64{Errors: 0.25, Ratings: 0.25, Latency: 0.25, Delay: 0.38}

// thresholds are the evidences, as logarithms, at which the candidate is halted
// with a neutral exposure weight. Failures and slow answers are told apart from
// healthy ones within few requests, so they can wait for more evidence; ratings
// are noisy and could not reach a higher one within 200 requests, and delays not
// within the about 100 requests of the first half of a rollout.
var thresholds = [signals]float64{Errors: 11, Ratings: 8.7, Latency: 11, Delay: 7.5}

// classThreshold is the evidence of failures in one class at which the candidate
// is halted. It is lower than that of all classes together, because a version
// that fails on one route only must not be hidden by the successes of the others
// until it has all traffic.
const classThreshold = 7.5

// Guard compares a candidate with its base. It is safe for concurrent use.
type Guard struct {
	relief float64

	mu   sync.Mutex
	own  Counts
	seen map[string]Counts
	base map[Stratum]Tally
	sums [signals]float64
	// failures is the evidence of failures by class.
	failures map[string]float64
	halted   bool
	cause    Signal
}

// New returns a guard without evidence.
func New(o Options) *Guard {
	relief := 0.0
	if o.ExposureWeight > 0 {
		relief = exposureGain * math.Log(o.ExposureWeight)
	}
	return &Guard{
		relief: math.Max(-maxRelief, math.Min(maxRelief, relief)),
		own:    newCounts(), seen: map[string]Counts{}, base: map[Stratum]Tally{}, failures: map[string]float64{},
	}
}

// ObserveBase notes one event of the base version.
func (g *Guard) ObserveBase(s Stratum, bad bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.own.Base[s]
	t.add(bad)
	g.own.Base[s] = t
	g.addBase(s, Tally{N: 1, Bad: bit(bad)})
}

// ObserveCandidate notes one event of the candidate version.
func (g *Guard) ObserveCandidate(s Stratum, bad bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.own.Candidate[s]
	t.add(bad)
	g.own.Candidate[s] = t
	g.addCandidate(s, Tally{N: 1, Bad: bit(bad)})
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// Counts returns the cumulative counts of this daemon for its peers.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own.Clone()
}

// Merge takes the cumulative counts of a peer. Only what has been added since
// the last counts of the same peer is used.
func (g *Guard) Merge(peer string, c Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.seen[peer]
	if !ok {
		last = newCounts()
	}
	for s, t := range c.Base {
		if d := growth(t, last.Base[s]); d.N > 0 {
			g.addBase(s, d)
			last.Base[s] = t
		}
	}
	for s, t := range c.Candidate {
		if d := growth(t, last.Candidate[s]); d.N > 0 {
			g.addCandidate(s, d)
			last.Candidate[s] = t
		}
	}
	g.seen[peer] = last
}

func (g *Guard) addBase(s Stratum, d Tally) {
	t := g.base[s]
	t.N += d.N
	t.Bad += d.Bad
	g.base[s] = t
}

// addCandidate adds the likelihood ratios of some events to the sums.
func (g *Guard) addCandidate(s Stratum, d Tally) {
	base := g.base[s]
	if s.Signal >= signals || base.N < minBase && s.Signal != Errors {
		return
	}
	step := likelihood(usualRate(base, s.Signal), s.Signal, d)
	sum := &g.sums[s.Signal]
	*sum = math.Max(0, *sum+step)
	if s.Signal == Errors {
		g.addFailures(s.Class, step)
	}
	if !g.halted && *sum >= thresholds[s.Signal]-g.relief {
		g.halted, g.cause = true, s.Signal
	}
}

// likelihood is the logarithm of the likelihood ratio of some events between the
// worse rate of bad ones and the usual rate.
func likelihood(usual float64, s Signal, d Tally) float64 {
	bad := usual + worse[s]*(1-usual)
	return float64(d.Bad)*math.Log(bad/usual) + float64(d.N-d.Bad)*math.Log((1-bad)/(1-usual))
}

// addFailures adds to the evidence of one class.
func (g *Guard) addFailures(class string, step float64) {
	g.failures[class] = math.Max(0, g.failures[class]+step)
	if !g.halted && g.failures[class] >= classThreshold-g.relief {
		g.halted, g.cause = true, Errors
	}
}

// MaxClassEvidence returns the largest evidence of failures in one class, as a logarithm.
func (g *Guard) MaxClassEvidence() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0.0
	for _, evidence := range g.failures {
		most = math.Max(most, evidence)
	}
	return most
}

// usualRate is a cautious estimate of the base rate of bad events.
func usualRate(t Tally, s Signal) float64 {
	prior := priorBad
	if s == Errors {
		prior = 2 * minBadRate
	}
	n := float64(t.N) + priorCount
	rate := (float64(t.Bad) + priorCount*prior) / n
	rate += baseCaution * math.Sqrt(rate*(1-rate)/n)
	return math.Max(minBadRate, math.Min(maxBadRate, rate))
}

// Halted reports whether the candidate is to be halted and by which signal.
func (g *Guard) Halted() (bool, Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.halted, g.cause
}

// Evidence returns the present evidence of a signal as a logarithm.
func (g *Guard) Evidence(s Signal) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sums[s]
}
