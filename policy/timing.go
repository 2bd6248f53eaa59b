package policy

import (
	"math"
	"time"
)

// Time statistics are kept as decayed means of logarithms, because service
// times differ by factors.
const (
	// sampleDecay is the factor on the weight of older samples of one engine;
	// it makes the memory about three samples long.
	sampleDecay = 0.65
	// versionPull is the weight, in samples, of the estimate that comes from
	// the version and from the other versions of an engine.
	versionPull = 0.3
	// peerHalfLife is the age difference at which the samples of another
	// daemon count half.
	peerHalfLife = 10 * time.Second
	// defaultFirst and defaultPerToken are used before anything is known, in
	// seconds.
	defaultFirst    = 0.4
	defaultPerToken = 0.02
	// defaultTokens and defaultTokensSigma describe answers of an unknown class.
	defaultTokens      = 150
	defaultTokensSigma = 0.7
	// rateSigma is the sigma of the logarithm of the rate of a known engine.
	rateSigma = 0.12
)

// MeanStat is a decayed mean of logarithms.
type MeanStat struct {
	Weight, Sum float64
	At          time.Duration
}

func (s *MeanStat) add(x float64, decay float64, now time.Duration) {
	s.Weight = s.Weight*decay + 1
	s.Sum = s.Sum*decay + x
	s.At = now
}

// CellStat holds what is known about one version on one engine.
type CellStat struct {
	First, PerToken MeanStat
}

// MomentStat holds count, sum and sum of squares of logarithms.
type MomentStat struct {
	N, Sum, Squares float64
}

func (m *MomentStat) add(x float64, memory float64) {
	keep := 1.0
	if m.N >= memory {
		keep = 1 - 1/memory
	}
	m.N = m.N*keep + 1
	m.Sum = m.Sum*keep + x
	m.Squares = m.Squares*keep + x*x
}

// lengthOf returns mean and sigma of the logarithm of the answer length, with
// the default worth a few samples.
func lengthOf(m MomentStat) (mu, sigma float64) {
	const prior = 2
	base := math.Log(defaultTokens)
	n := m.N + prior
	mu = (m.Sum + prior*base) / n
	if m.N < 1 {
		return mu, defaultTokensSigma
	}
	own := m.Sum / m.N
	mu = (m.Sum + 0.2*base) / (m.N + 0.2)
	variance := math.Max(0, m.Squares-m.N*own*own) + prior*defaultTokensSigma*defaultTokensSigma
	return mu, math.Sqrt(variance / n)
}

// weightAt discounts the weight of samples against the newest ones.
func (s *MeanStat) weightAt(newest time.Duration) float64 {
	age := max(0, newest-s.At)
	return s.Weight * math.Exp2(-age.Seconds()/peerHalfLife.Seconds())
}

// mean returns the mean and its weight.
func (s MeanStat) mean() (mean, weight float64) {
	if s.Weight <= 0 {
		return 0, 0
	}
	return s.Sum / s.Weight, s.Weight
}

// pool joins the samples of several daemons for one engine.
func pool(stats []MeanStat) (mean, weight float64) {
	var newest time.Duration
	for i := range stats {
		if stats[i].Weight > 0 {
			newest = max(newest, stats[i].At)
		}
	}
	sum := 0.0
	for i := range stats {
		if stats[i].Weight <= 0 {
			continue
		}
		w := stats[i].weightAt(newest)
		weight += w
		sum += w * stats[i].Sum / stats[i].Weight
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// poolTwo joins the samples of two daemons into one. The discount is exponential,
// so it does not matter in which order samples are joined.
func poolTwo(a, b MeanStat) MeanStat {
	switch {
	case a.Weight <= 0:
		return b
	case b.Weight <= 0:
		return a
	}
	mean, weight := pool([]MeanStat{a, b})
	return MeanStat{Weight: weight, Sum: mean * weight, At: max(a.At, b.At)}
}
