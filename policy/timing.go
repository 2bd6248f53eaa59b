package policy

import (
	"math"
	"time"
)

// Time statistics are kept as decayed means of logarithms, because service
// times differ by factors.
const (
	// sampleDecay is the factor by which each new sample reduces the weight of
	// the older samples of a cell. The effective number of samples is about
	// three.
	sampleDecay = 0.65
	// shrinkageSamples is the weight, in samples, of the times that are
	// predicted from the typical times of the version and from the other
	// versions of the engine.
	shrinkageSamples = 0.3
	// sampleHalfLife is the age, relative to the newest sample of any daemon,
	// at which the weight of a daemon's samples is halved.
	sampleHalfLife = 10 * time.Second
	// defaultFirst and defaultPerToken are the time to the first token and the
	// time per token, in seconds, before any observation.
	defaultFirst    = 0.4
	defaultPerToken = 0.02
	// defaultTokens and defaultTokensSigma describe the distribution of the
	// answer length of a class without observations: the exponential of the
	// mean, and the standard deviation, of the logarithm of the length.
	defaultTokens      = 150
	defaultTokensSigma = 0.7
	// tokenRateSigma is the standard deviation of the logarithm of the token
	// rate of an engine around the predicted rate.
	tokenRateSigma = 0.12
)

// MeanStat is an exponentially decayed mean of logarithms. At is the time of
// the newest sample.
type MeanStat struct {
	Weight, Sum float64
	At          time.Duration
}

// add records a sample and decays the older ones.
func (s *MeanStat) add(x float64, decay float64, now time.Duration) {
	s.Weight = s.Weight*decay + 1
	s.Sum = s.Sum*decay + x
	s.At = now
}

// CellStat holds the statistics of one version on one engine: the time to the
// first token and the time per token, both in seconds.
type CellStat struct {
	First, PerToken MeanStat
}

// MomentStat holds the number, the sum and the sum of the squares of
// logarithms.
type MomentStat struct {
	N, Sum, Squares float64
}

// add records a sample. Memory bounds the effective number of samples.
func (m *MomentStat) add(x float64, memory float64) {
	keep := 1.0
	if m.N >= memory {
		keep = 1 - 1/memory
	}
	m.N = m.N*keep + 1
	m.Sum = m.Sum*keep + x
	m.Squares = m.Squares*keep + x*x
}

// estimateLogLength returns the mean and the standard deviation of the
// logarithm of the answer length. The defaults count as a few samples.
func estimateLogLength(m MomentStat) (mu, sigma float64) {
	const prior = 2
	base := math.Log(defaultTokens)
	n := m.N + prior
	mu = (m.Sum + prior*base) / n
	if m.N < 1 {
		return mu, defaultTokensSigma
	}
	sampleMean := m.Sum / m.N
	mu = (m.Sum + 0.2*base) / (m.N + 0.2)
	variance := math.Max(0, m.Squares-m.N*sampleMean*sampleMean) + prior*defaultTokensSigma*defaultTokensSigma
	return mu, math.Sqrt(variance / n)
}

// discountedWeight returns the weight of the samples, discounted by their age
// relative to the newest ones.
func (s *MeanStat) discountedWeight(newest time.Duration) float64 {
	age := max(0, newest-s.At)
	return s.Weight * math.Exp2(-age.Seconds()/sampleHalfLife.Seconds())
}

// mean returns the mean and its weight, both 0 if there are no samples.
func (s MeanStat) mean() (mean, weight float64) {
	if s.Weight <= 0 {
		return 0, 0
	}
	return s.Sum / s.Weight, s.Weight
}

// pool combines the statistics of several daemons for the same quantity.
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
		w := stats[i].discountedWeight(newest)
		weight += w
		sum += w * stats[i].Sum / stats[i].Weight
	}
	if weight == 0 {
		return 0, 0
	}
	return sum / weight, weight
}

// poolTwo combines the statistics of two daemons into one. The discount by age
// is exponential, so the order in which statistics are combined does not
// matter.
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
