package bench

import "math"

// routerOracle is the name of the lower bound in the tables.
const routerOracle = "oracle"

const (
	// oracleCalls bounds the calls of one plan of the oracle.
	oracleCalls = 3
	// oracleDelays is the number of start delays tried for an early second call.
	oracleDelays = 8
	// oracleSteps is the number of bisection steps for the price of quality.
	oracleSteps = 60
)

// oracleOption is a model version with its true quality and its true time for
// one request on the fastest idle engine.
type oracleOption struct {
	model   int
	quality float64
	time    float64
	first   float64
	cost    float64
	prompt  float64
}

// oracle computes, for one class, the least expected cost of answering every
// feasible request in time with the mean quality at the target. It knows the
// true qualities, answer lengths and times, engines are never busy, prefixes
// are always cached and ratings only cost their delay. The bound is the
// Lagrangian dual of the linear program that mixes plans over requests, so it
// is exact for this set of plans: up to three calls in sequence with a rating
// after each, and two calls with the second one started early.
type oracle struct {
	accuracy, delay float64
	requests        []oracleRequest
}

type oracleRequest struct {
	options []oracleOption
	left    float64
}

// solveOracle fills the cell-level results of the world with the bound.
func (w *world) solveOracle(arrivals []*arrival) {
	byClass := make([]oracle, len(w.load.Classes))
	members := make([][]*request, len(w.load.Classes))
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
		members[a.class] = append(members[a.class], q)
	}
	for k := range byClass {
		cost, quality := byClass[k].bound(w.load.Classes[k].QualityTarget)
		for _, q := range members[k] {
			q.answered, q.calls = true, 1
			q.cost, q.expected = cost, quality
			q.fractional = true
		}
	}
}

func (w *world) oracleRequest(q *request) oracleRequest {
	r := oracleRequest{left: (q.deadline + q.leaves - w.clientLatency()).Seconds()}
	for _, v := range w.allowed(q) {
		spec := &w.load.Versions[v]
		best := math.Inf(1)
		var o oracleOption
		for _, e := range w.byVersion[v] {
			first := spec.FirstTokenMs/1000*(1-prefixSaving*q.prefixShare)/e.spec.SpeedFactor + 2*w.latency(q.daemon, e).Seconds()
			total := first + q.output/spec.OutputTokensPerSSlot/e.spec.SpeedFactor
			if total < best {
				best = total
				o.first, o.time = first, total
			}
		}
		price := spec.CostPer1kOutput / 1000
		o.model, o.quality = w.modelOf[v], w.trueQuality(v, q.class)
		o.cost, o.prompt = price*(q.output+q.prompt/5), price*q.prompt/5
		if best <= r.left {
			r.options = append(r.options, o)
		}
	}
	return r
}

// bound returns the least mean cost at the target and the quality reached,
// which is below the target only when no plan mix can reach it.
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
	part := (target - q0) / (q1 - q0)
	return c0 + part*(c1-c0), target
}

// mean is the mean cost and quality when each request maximises
// lambda x quality - cost.
func (o *oracle) mean(lambda float64) (cost, quality float64) {
	for i := range o.requests {
		r := &o.requests[i]
		c, q := o.begin(r, lambda)
		cost += c
		quality += q
	}
	n := float64(len(o.requests))
	return cost / n, quality / n
}

func (o *oracle) begin(r *oracleRequest, lambda float64) (cost, quality float64) {
	best := math.Inf(-1)
	take := func(c, q float64) {
		if v := lambda*q - c; v > best {
			best, cost, quality = v, c, q
		}
	}
	for i := range r.options {
		take(o.call(r, i, 0, r.left, 0, lambda, 1))
		for j := range r.options {
			if r.options[i].model != r.options[j].model {
				o.early(r, i, j, take)
			}
		}
	}
	return cost, quality
}

// call is the result of calling option i, rating its answer and going on in
// the best way.
func (o *oracle) call(r *oracleRequest, i int, held, left float64, used uint, lambda float64, calls int) (cost, quality float64) {
	x := &r.options[i]
	left -= x.time + o.delay
	if left < 0 {
		return x.cost, x.quality
	}
	used |= 1 << x.model
	a := o.accuracy
	good := x.quality*a + (1-x.quality)*(1-a)
	bad := x.quality * (1 - a) / (1 - good)
	held = math.Max(held, bad)
	nextCost, nextQuality := 0.0, held
	for j := range r.options {
		y := &r.options[j]
		if calls >= oracleCalls || used&(1<<y.model) != 0 || y.time > left {
			continue
		}
		c, q := o.call(r, j, held, left, used, lambda, calls+1)
		if lambda*q-c > lambda*nextQuality-nextCost {
			nextCost, nextQuality = c, q
		}
	}
	return x.cost + (1-good)*nextCost, x.quality*a + (1-good)*nextQuality
}

// early weighs starting option j before the rating of option i is known.
func (o *oracle) early(r *oracleRequest, i, j int, take func(c, q float64)) {
	x, y := &r.options[i], &r.options[j]
	known := x.time + o.delay
	if known > r.left {
		return
	}
	latest := math.Min(r.left-y.time, known)
	good := x.quality*o.accuracy + (1-x.quality)*(1-o.accuracy)
	for d := range oracleDelays {
		delay := latest * float64(d+1) / oracleDelays
		spent := y.prompt
		if run := known - delay - y.first; run > 0 {
			spent += (y.cost - y.prompt) * math.Min(1, run/math.Max(y.time-y.first, 1e-9))
		}
		c := x.cost + good*spent + (1-good)*y.cost
		take(c, x.quality*o.accuracy+(1-good)*y.quality)
	}
}
