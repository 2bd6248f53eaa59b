package policy

import "math"

// Constants of the quality estimates.
const (
	// qualityMemory is the number of ratings after which older ones fade.
	qualityMemory = 400
	// anchorRatings is the weight of the prior of the cheapest version, in
	// ratings, and priorRatings that of the others.
	anchorRatings = 4
	priorRatings  = 12
	// priorCheapest is the prior mean of the cheapest version.
	priorCheapest = 0.80
	// priorPerCost is the prior gain in the log odds of a good answer per unit
	// of the logarithm of cost.
	priorPerCost = 0.87
	// siblingRatings is the weight that the ratings of other versions of the
	// same model have at most, in ratings.
	siblingRatings = 12
	minQuality     = 0.02
	maxQuality     = 0.995
)

// CountStat counts ratings.
type CountStat struct {
	N, Good float64
}

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

// estimate is a quality with its standard deviation.
type estimate struct {
	mean, sd float64
}

// corrected turns a share of good ratings into a quality, for a rating
// service that is right with the given accuracy.
func corrected(share, accuracy float64) float64 {
	gain := 2*accuracy - 1
	if gain < 0.05 {
		return share
	}
	return clamp((share+accuracy-1)/gain, minQuality, maxQuality)
}

// rated is the share of good ratings that a quality leads to.
func rated(quality, accuracy float64) float64 {
	return quality*accuracy + (1-quality)*(1-accuracy)
}

// qualityOf joins ratings with a prior that is worth a number of ratings.
func qualityOf(c CountStat, prior, weight, accuracy float64) estimate {
	n := c.N + weight
	share := (c.Good + weight*rated(prior, accuracy)) / n
	gain := math.Max(2*accuracy-1, 0.05)
	sd := math.Sqrt(share*(1-share)/(n+1)) / gain
	return estimate{mean: corrected(share, accuracy), sd: math.Min(sd, 0.3)}
}

// priorOf is the prior mean of a version, judged by the quality of the cheapest
// version for the class and by how much more it costs.
func priorOf(anchor, cost, cheapest float64) float64 {
	if cheapest <= 0 || cost <= cheapest {
		return anchor
	}
	odds := math.Log(anchor/(1-anchor)) + priorPerCost*math.Log(cost/cheapest)
	return 1 / (1 + math.Exp(-odds))
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }
