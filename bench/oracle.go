package bench

import "math"

// routerOracle is the name of the oracle, a lower bound on the cost, in the
// tables.
const routerOracle = "oracle"

const (
	// oracleMaxCalls is the maximum number of calls in one plan of the oracle.
	oracleMaxCalls = 3
	// oracleDelays is the number of start delays that are tried for a second call
	// before the rating of the first one.
	oracleDelays = 8
	// oracleSteps is the number of bisection steps for the Lagrange multiplier.
	oracleSteps = 60
)

// oracleOption is a model version with its true quality and its true time for
// one request on the fastest idle engine.
type oracleOption struct {
	model            int
	quality          float64
	time             float64 // from sending the call to the end of the answer, in seconds
	timeToFirstToken float64 // in seconds
	cost             float64
	prompt           float64 // the prompt's part of the cost
}

// oracle computes, for one class, the least expected cost of answering every
// feasible request in time with the mean quality at the target. It knows the
// true qualities, answer lengths and times. It assumes that engines are never
// busy, that prefixes are always cached, and that ratings cost nothing but their
// delay. The bound is the Lagrangian dual of the linear program that mixes plans
// over requests, so it is exact for this set of plans: up to three calls in
// sequence with a rating after each, and two calls of which the second starts
// before the rating of the first.
type oracle struct {
	accuracy, delay float64 // of ratings; the delay is in seconds
	requests        []oracleRequest
}

// oracleRequest is a feasible request with the versions that can answer it.
type oracleRequest struct {
	options  []oracleOption
	timeLeft float64 // until the client leaves, in seconds
}

// solveOracle records the requests of the run with the oracle's mean cost and
// quality of their class.
func (w *world) solveOracle(arrivals []*arrival) {
	byClass := make([]oracle, len(w.load.Classes))
	requestsByClass := make([][]*request, len(w.load.Classes))
	for _, a := range arrivals {
		q := &request{arrival: a, version: -1}
		w.requests = append(w.requests, q)
		if !w.feasible(q) {
			q.refused = true
			continue
		}
		o := &byClass[a.class]
		o.accuracy, o.delay = w.load.Rating.Accuracy, w.load.Rating.DelayMs/1000
		o.requests = append(o.requests, w.oracleRequest(q))
		requestsByClass[a.class] = append(requestsByClass[a.class], q)
	}
	for k := range byClass {
		cost, quality := byClass[k].bound(w.load.Classes[k].QualityTarget)
		for _, q := range requestsByClass[k] {
			q.answered, q.calls = true, 1
			q.cost, q.predictedQuality = cost, quality
			q.fractional = true
		}
	}
}

// oracleRequest returns the options that can answer a request in time, each on
// the engine where its answer ends first.
func (w *world) oracleRequest(q *request) oracleRequest {
	r := oracleRequest{timeLeft: (q.deadline + q.abandonDelay - w.clientLatency()).Seconds()}
	for _, v := range w.allowed(q) {
		spec := &w.load.Versions[v]
		best := math.Inf(1)
		var o oracleOption
		for _, e := range w.enginesByVersion[v] {
			timeToFirstToken := spec.FirstTokenMs/1000*(1-prefixSaving*q.prefixShare)/e.spec.SpeedFactor + 2*w.latency(q.daemon, e).Seconds()
			total := timeToFirstToken + q.output/spec.OutputTokensPerSSlot/e.spec.SpeedFactor
			if total < best {
				best = total
				o.timeToFirstToken, o.time = timeToFirstToken, total
			}
		}
		price := spec.CostPer1kOutput / 1000
		o.model, o.quality = w.modelOf[v], w.trueQuality(v, q.class)
		o.cost, o.prompt = price*(q.output+q.prompt/5), price*q.prompt/5
		if best <= r.timeLeft {
			r.options = append(r.options, o)
		}
	}
	return r
}

// bound returns the least mean cost at which the mean quality reaches the target,
// and that quality. The quality is below the target only when no mix of plans
// reaches it.
func (o *oracle) bound(target float64) (cost, quality float64) {
	if len(o.requests) == 0 {
		return 0, 0
	}
	low, high := 0.0, 1.0
	for range oracleSteps {
		if _, q := o.mean(high); q >= target || high > 1e6 {
			break
		}
		high *= 2
	}
	topCost, topQuality := o.mean(high)
	if topQuality < target {
		return topCost, topQuality
	}
	for range oracleSteps {
		mid := (low + high) / 2
		if _, q := o.mean(mid); q >= target {
			high = mid
		} else {
			low = mid
		}
	}
	c0, q0 := o.mean(low)
	c1, q1 := o.mean(high)
	if q1-q0 < 1e-12 || q0 >= target {
		return c0, q0
	}
	fraction := (target - q0) / (q1 - q0)
	return c0 + fraction*(c1-c0), target
}

// mean returns the mean cost and quality when the plan of each request maximises
// lambda x quality - cost.
func (o *oracle) mean(lambda float64) (cost, quality float64) {
	for i := range o.requests {
		r := &o.requests[i]
		c, q := o.bestPlan(r, lambda)
		cost += c
		quality += q
	}
	n := float64(len(o.requests))
	return cost / n, quality / n
}

// bestPlan returns the expected cost and quality of the plan that maximises
// lambda x quality - cost for one request.
func (o *oracle) bestPlan(r *oracleRequest, lambda float64) (cost, quality float64) {
	best := math.Inf(-1)
	consider := func(c, q float64) {
		if v := lambda*q - c; v > best {
			best, cost, quality = v, c, q
		}
	}
	for i := range r.options {
		consider(o.callInSequence(r, i, 0, r.timeLeft, 0, lambda, 1))
		for j := range r.options {
			if r.options[i].model != r.options[j].model {
				o.earlySecondCall(r, i, j, consider)
			}
		}
	}
	return cost, quality
}

// callInSequence returns the expected cost and quality of calling option i,
// rating its answer and, when the rating is bad, continuing in the best way. held
// is the quality of the best answer so far, usedModels the set of models called.
func (o *oracle) callInSequence(r *oracleRequest, i int, held, timeLeft float64, usedModels uint, lambda float64, calls int) (cost, quality float64) {
	option := &r.options[i]
	timeLeft -= option.time + o.delay
	if timeLeft < 0 {
		return option.cost, option.quality
	}
	usedModels |= 1 << option.model
	a := o.accuracy
	good := option.quality*a + (1-option.quality)*(1-a)
	bad := option.quality * (1 - a) / (1 - good)
	held = math.Max(held, bad)
	nextCost, nextQuality := 0.0, held
	for j := range r.options {
		next := &r.options[j]
		if calls >= oracleMaxCalls || usedModels&(1<<next.model) != 0 || next.time > timeLeft {
			continue
		}
		c, q := o.callInSequence(r, j, held, timeLeft, usedModels, lambda, calls+1)
		if lambda*q-c > lambda*nextQuality-nextCost {
			nextCost, nextQuality = c, q
		}
	}
	return option.cost + (1-good)*nextCost, option.quality*a + (1-good)*nextQuality
}

// earlySecondCall passes to consider the plans that start option j before the
// rating of option i is known.
func (o *oracle) earlySecondCall(r *oracleRequest, i, j int, consider func(c, q float64)) {
	first, second := &r.options[i], &r.options[j]
	ratedAt := first.time + o.delay
	if ratedAt > r.timeLeft {
		return
	}
	latest := math.Min(r.timeLeft-second.time, ratedAt)
	good := first.quality*o.accuracy + (1-first.quality)*(1-o.accuracy)
	for d := range oracleDelays {
		delay := latest * float64(d+1) / oracleDelays
		secondCost := second.prompt
		if decodeTime := ratedAt - delay - second.timeToFirstToken; decodeTime > 0 {
			secondCost += (second.cost - second.prompt) * math.Min(1, decodeTime/math.Max(second.time-second.timeToFirstToken, 1e-9))
		}
		c := first.cost + good*secondCost + (1-good)*second.cost
		consider(c, first.quality*o.accuracy+(1-good)*second.quality)
	}
}
