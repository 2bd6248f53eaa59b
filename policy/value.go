package policy

import "math"

const (
	// maxOptions is the maximum number of versions that are evaluated for one
	// request.
	maxOptions = 5
	// maxCalls is the number of calls of one cascade up to which follow-up
	// calls are evaluated in advance. Next evaluates one more call even if that
	// many have been made.
	maxCalls = 3
	// quadrature is the number of answer lengths over which the outcome of a
	// plan is averaged.
	quadrature = 5
	// serviceTimeMargin scales the predicted service times of follow-up calls
	// up.
	serviceTimeMargin = 1.08
)

// quadratureZ approximates a standard normal distribution by five equally
// likely values with mean 0 and variance 1. They are in the proportions of the
// medians of the fifths of a normal distribution.
var quadratureZ = [quadrature]float64{-1.463, -0.599, 0, 0.599, 1.463}

// outcome is the predicted result of a sequence of calls.
type outcome struct {
	quality float64
	cost    float64
	// effectiveCost is the cost plus the price of the engine time.
	effectiveCost float64
}

// evaluator evaluates the plans for one request. It does not escape to the
// heap.
type evaluator struct {
	// options[:n] are the versions to evaluate, sorted by token cost.
	options      [maxOptions]option
	n            int
	promptTokens float64
	// qualityValue is the value of one unit of quality, in units of cost.
	qualityValue float64
	// accuracy is the probability that a rating is correct.
	accuracy float64
	// ratingDelay is the expected delay of a rating in seconds.
	ratingDelay     float64
	ratingAvailable bool
	// examined is the number of engines that were examined.
	examined int
}

// posterior returns the probability of a good rating for an answer that is good
// with probability q, and the probability of a good answer after a good and
// after a bad rating.
func (ev *evaluator) posterior(q float64) (rateGood, afterGood, afterBad float64) {
	a := ev.accuracy
	rateGood = q*a + (1-q)*(1-a)
	return rateGood, q * a / rateGood, q * (1 - a) / (1 - rateGood)
}

// utility returns the value of the quality of an outcome less its effective
// cost.
func (ev *evaluator) utility(o outcome) float64 { return ev.qualityValue*o.quality - o.effectiveCost }

// bestFollowUp returns the outcome of the best continuation when the held
// answer is good with probability held, and the index of the option to call
// next, or -1 to deliver the held answer. remaining is the time until the
// deadline in seconds, tried is a bit mask of the options called so far, and
// calls is the number of calls so far.
func (ev *evaluator) bestFollowUp(held, tokens, remaining float64, tried uint, calls int) (outcome, int) {
	best, index := outcome{quality: held}, -1
	bestUtility := ev.utility(best)
	if calls >= maxCalls {
		return best, index
	}
	for i := range ev.n {
		if tried&(1<<i) != 0 {
			continue
		}
		o := &ev.options[i]
		total := o.total(tokens) * serviceTimeMargin
		if total > remaining {
			continue
		}
		out := ev.callOutcome(o, held, tokens, remaining-total, tried|1<<i, calls+1)
		if utility := ev.utility(out); utility > bestUtility {
			best, bestUtility, index = out, utility, i
		}
	}
	return best, index
}

// callOutcome returns the outcome of calling o and of the best follow-up calls.
// held is the probability that the answer held so far is good, and remaining is
// the time from the end of the call to the deadline in seconds.
func (ev *evaluator) callOutcome(o *option, held, tokens, remaining float64, tried uint, calls int) outcome {
	out := outcome{quality: o.quality, cost: o.cost(tokens, ev.promptTokens), effectiveCost: o.effectiveCost(tokens, ev.promptTokens)}
	if !ev.ratingAvailable || remaining < ev.ratingDelay {
		return out
	}
	rateGood, afterGood, afterBad := ev.posterior(o.quality)
	next, _ := ev.bestFollowUp(math.Max(held, afterBad), tokens, remaining-ev.ratingDelay, tried, calls)
	out.quality = rateGood*afterGood + (1-rateGood)*next.quality
	out.cost += (1 - rateGood) * next.cost
	out.effectiveCost += (1 - rateGood) * next.effectiveCost
	return out
}

// onTime returns the probability that a call ends within the remaining time in
// seconds. mu and sigma are the mean and the standard deviation of the
// logarithm of the answer length.
func onTime(o *option, mu, sigma, remaining float64) float64 {
	streamingTime := remaining - o.timeToFirstToken
	if streamingTime <= 0 || o.perToken <= 0 {
		return 0
	}
	z := (math.Log(streamingTime/o.perToken) - mu) / math.Sqrt(sigma*sigma+tokenRateSigma*tokenRateSigma)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
