package policy

import "math"

const (
	// maxOptions bounds the versions that are weighed for one request.
	maxOptions = 5
	// maxCalls bounds the calls of one cascade.
	maxCalls = 3
	// quadrature is the number of answer lengths over which a plan is averaged.
	quadrature = 5
	// timeCaution scales predicted service times of follow-up calls.
	timeCaution = 1.08
)

// quadratureZ are five equally likely values with mean 0 and variance 1, in the
// proportions of the medians of the fifths of a normal distribution.
var quadratureZ = [quadrature]float64{-1.463, -0.599, 0, 0.599, 1.463}

// outcome is the predicted result of a policy from some state on.
type outcome struct {
	quality float64
	cost    float64
	// burden is the cost with the price of the engine time.
	burden float64
}

// weigher evaluates follow-up calls for one request. It lives on the stack.
type weigher struct {
	options  [maxOptions]option
	n        int
	prompt   float64
	lambda   float64
	accuracy float64
	delay    float64
	rating   bool
	// examined counts the engines that were looked at.
	examined int
}

// posterior returns the probability of a good rating, and the probability of a
// good answer after a good and after a bad rating.
func (w *weigher) posterior(q float64) (rateGood, afterGood, afterBad float64) {
	a := w.accuracy
	rateGood = q*a + (1-q)*(1-a)
	return rateGood, q * a / rateGood, q * (1 - a) / (1 - rateGood)
}

func (w *weigher) worth(o outcome) float64 { return w.lambda*o.quality - o.burden }

// follow returns the best continuation when an answer with probability held of
// being good is at hand, and the index of the option to call, or -1 to deliver.
// left is the time that remains, in seconds, and used the options called so
// far, as a bit mask.
func (w *weigher) follow(held, tokens, left float64, used uint, calls int) (outcome, int) {
	best, index := outcome{quality: held}, -1
	bestWorth := w.worth(best)
	if calls >= maxCalls {
		return best, index
	}
	for i := range w.n {
		if used&(1<<i) != 0 {
			continue
		}
		o := &w.options[i]
		total := o.total(tokens) * timeCaution
		if total > left {
			continue
		}
		out := w.after(o, held, tokens, left-total, used|1<<i, calls+1)
		if worth := w.worth(out); worth > bestWorth {
			best, bestWorth, index = out, worth, i
		}
	}
	return best, index
}

// after is the outcome of calling o, with left the time after its answer.
func (w *weigher) after(o *option, held, tokens, left float64, used uint, calls int) outcome {
	out := outcome{quality: o.quality, cost: o.cost(tokens, w.prompt), burden: o.burden(tokens, w.prompt)}
	if !w.rating || left < w.delay {
		return out
	}
	rateGood, afterGood, afterBad := w.posterior(o.quality)
	next, _ := w.follow(math.Max(held, afterBad), tokens, left-w.delay, used, calls)
	out.quality = rateGood*afterGood + (1-rateGood)*next.quality
	out.cost += (1 - rateGood) * next.cost
	out.burden += (1 - rateGood) * next.burden
	return out
}

// onTime is the probability that a call with the given answer length
// distribution ends within left seconds.
func onTime(o *option, mu, sigma, left float64) float64 {
	room := left - o.fixed
	if room <= 0 || o.perToken <= 0 {
		return 0
	}
	z := (math.Log(room/o.perToken) - mu) / math.Sqrt(sigma*sigma+rateSigma*rateSigma)
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
