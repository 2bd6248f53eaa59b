package policy

import "math"

// Constants of the quality estimates.
const (
	// qualityMemory bounds the effective number of ratings. Beyond it, each new
	// rating reduces the weight of the older ones.
	qualityMemory = 400
	// cheapestPriorRatings is the weight of the prior of the cheapest versions,
	// in ratings, and priorRatings that of the other versions.
	cheapestPriorRatings = 4
	priorRatings         = 12
	// cheapestPriorMean is the prior mean quality of the cheapest versions.
	cheapestPriorMean = 0.80
	// priorLogOddsPerLogCost is the prior increase in the log odds of a good
	// answer per unit of the logarithm of the cost.
	priorLogOddsPerLogCost = 0.87
	// maxSameModelRatings is the maximum weight, in ratings, of the ratings of
	// other versions of the same model.
	maxSameModelRatings = 12
	// minQuality and maxQuality bound the estimated quality.
	minQuality = 0.02
	maxQuality = 0.995
)

// CountStat counts ratings and the good ones among them.
type CountStat struct {
	N, Good float64
}

// add counts one rating.
func (c *CountStat) add(good bool) {
	keep := 1.0
	if c.N >= qualityMemory {
		keep = 1 - 1.0/qualityMemory
	}
	c.N = c.N*keep + 1
	c.Good *= keep
	if good {
		c.Good++
	}
}

// estimate is an estimated quality and its standard deviation.
type estimate struct {
	mean, sd float64
}

// correctRatingShare converts a share of good ratings to a quality, given the
// accuracy of the rating service.
func correctRatingShare(share, accuracy float64) float64 {
	gain := 2*accuracy - 1
	if gain < 0.05 {
		return share
	}
	return clamp((share+accuracy-1)/gain, minQuality, maxQuality)
}

// goodRatingShare returns the expected share of good ratings at the given
// quality and accuracy of the rating service.
func goodRatingShare(quality, accuracy float64) float64 {
	return quality*accuracy + (1-quality)*(1-accuracy)
}

// estimateQuality combines ratings with a prior mean that has the given weight
// in ratings.
func estimateQuality(c CountStat, prior, weight, accuracy float64) estimate {
	n := c.N + weight
	share := (c.Good + weight*goodRatingShare(prior, accuracy)) / n
	gain := math.Max(2*accuracy-1, 0.05)
	sd := math.Sqrt(share*(1-share)/(n+1)) / gain
	return estimate{mean: correctRatingShare(share, accuracy), sd: math.Min(sd, 0.3)}
}

// priorQuality returns the prior mean quality of a version, derived from the
// quality of the cheapest versions for the class and from the ratio of the
// costs.
func priorQuality(cheapestQuality, cost, cheapest float64) float64 {
	if cheapest <= 0 || cost <= cheapest {
		return cheapestQuality
	}
	odds := math.Log(cheapestQuality/(1-cheapestQuality)) + priorLogOddsPerLogCost*math.Log(cost/cheapest)
	return 1 / (1 + math.Exp(-odds))
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }
