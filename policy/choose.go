package policy

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// minOnTimeProbability is the probability of meeting the deadline below
	// which a request is refused at once.
	minOnTimeProbability = 0.03
	// onTimeTolerance is how far the probability of meeting the deadline may
	// lie below the highest one of all plans. A plan is feasible if it is within
	// this tolerance or reaches the LatencyQuantile of the request.
	onTimeTolerance = 0.02
	// firstTokenWaitCost is the cost of one second until the first token, in
	// units of the cost of a mean request of the class on the most expensive
	// version.
	firstTokenWaitCost = 0.003
)

// candidatePlan is one way to start a request, with its predicted outcome.
type candidatePlan struct {
	kind PlanKind
	// first and second are the indices of the evaluator's options for the
	// calls. second is -1 if there is no second call.
	first  int
	second int
	// delay is the time in seconds after which the second call starts.
	delay float64
	// onTime is the probability of meeting the deadline.
	onTime float64
	result outcome
	// netValue is the utility of the result plus the expected value of an on-time
	// answer, less the cost of waiting for the first token.
	netValue float64
}

// Choose decides how to start a request. It returns a plan or an early refusal,
// which is given only before any upstream has run the request.
func (p *Planner) Choose(v *View, r *Request, now time.Duration) Plan {
	c := v.class(r.Class)
	controller := p.qualityController(r.Class)
	remaining := (r.Deadline - now).Seconds()
	if remaining <= 0 {
		return Plan{Refusal: errkind.DeadlinePassed}
	}
	var ev evaluator
	found := ev.collectOptions(v, r, c, -1, now)
	if ev.n == 0 {
		return Plan{Refusal: ternary(found, errkind.NoCapacity, errkind.NoAllowedVersion)}
	}
	ev.qualityValue = controller.qualityValue() * c.meanRequestCost
	mu, sigma := logLengthFor(r, c)
	answerValue := onTimeValue * v.meanRequestCost * v.fairnessFactor(r) * latencyFactor(r)
	best := ev.bestInitialPlan(c, mu, sigma, remaining, answerValue, r)
	if best.onTime < minOnTimeProbability {
		return Plan{Refusal: errkind.DeadlineTooShort}
	}
	if best.netValue < 0 {
		return Plan{Refusal: errkind.NoCapacity}
	}
	plan := ev.plan(&best, mu, remaining)
	if cand, ok := p.explore.tryExplore(&ev, &plan, mu, sigma, remaining, r.LatencyQuantile, p.opts.Exploration); ok {
		best, plan = cand, ev.plan(&cand, mu, remaining)
		plan.Explore = true
	}
	plan.Priority = priorityOf(r, remaining, ev.options[best.first].total(math.Exp(mu)))
	controller.addShortfall(r.QualityTarget + qualityMargin + c.bias - plan.Quality)
	p.recordAdmitted(r, &ev.options[best.first], math.Exp(mu), now)
	return plan
}

// qualityMargin is added to the quality target to allow for estimation errors.
const qualityMargin = 0.007

// ternary returns a if cond is true, else b.
func ternary[T any](cond bool, a, b T) T {
	if cond {
		return a
	}
	return b
}

// logLengthFor returns the mean and the standard deviation of the logarithm of
// the answer length of a request. An expected length in the request replaces
// the mean and halves the standard deviation.
func logLengthFor(r *Request, c *classView) (mu, sigma float64) {
	if r.OutputTokens > 0 {
		return math.Log(r.OutputTokens), c.sigma / 2
	}
	return c.mu, c.sigma
}

// latencyFactor raises the value of an on-time answer for an organisation that
// gives more weight to latency than to cost.
func latencyFactor(r *Request) float64 {
	if r.Weights.Latency <= 0 || r.Weights.Cost <= 0 {
		return 1
	}
	return math.Sqrt(clamp(r.Weights.Latency/r.Weights.Cost, 1, 4))
}

// collectOptions fills in the versions to evaluate, each with its best engine,
// and reports whether any allowed version is usable. Versions are shortlisted
// by cost and quality first, so that engines are examined for few of them. If
// no version of the shortlist has an engine, the other versions are tried too.
func (ev *evaluator) collectOptions(v *View, r *Request, c *classView, avoid int, now time.Duration) bool {
	ev.promptTokens, ev.accuracy, ev.ratingDelay, ev.ratingAvailable = r.PromptTokens, v.accuracy, v.ratingDelay, v.ratingOK
	found := false
	for _, ver := range r.Versions {
		if ver < 0 || ver >= len(v.versions) || !v.versions[ver].Usable {
			continue
		}
		found = true
		ev.insert(v.option(c, ver))
	}
	ev.assignEngines(v, r, c, avoid, now)
	if ev.n > 0 || len(r.Versions) <= maxOptions {
		return found
	}
	for _, ver := range r.Versions {
		if ev.n < maxOptions && ver >= 0 && ver < len(v.versions) && v.versions[ver].Usable {
			ev.insert(v.option(c, ver))
			ev.assignEngines(v, r, c, avoid, now)
		}
	}
	return found
}

// option returns a version as an option that has no engine yet.
func (v *View) option(c *classView, ver int) option {
	q := &c.quality[ver]
	return option{
		version: ver, upstream: -1, slotPrice: v.slotPrice[ver],
		tokenCost:     v.versions[ver].CostPer1kOutput / 1000,
		qualityStdDev: q.sd,
		quality:       clamp(q.mean-qualityStdDevs*q.sd, minQuality, maxQuality),
	}
}

// assignEngines selects an engine for each option that has none and drops the
// options for which there is none.
func (ev *evaluator) assignEngines(v *View, r *Request, c *classView, avoid int, now time.Duration) {
	n := 0
	for i := range ev.n {
		o := ev.options[i]
		if o.upstream < 0 {
			s, ok := v.selectUpstream(r, o.version, c.expectedTokens, avoid, now)
			ev.examined += s.examined
			if !ok {
				continue
			}
			o.upstream, o.timeToFirstToken, o.wait, o.perToken = s.upstream, s.timeToFirstToken, s.wait, s.perToken
		}
		ev.options[n] = o
		n++
	}
	ev.n = n
}

// qualityStdDevs is the number of standard deviations that is subtracted from
// the estimated quality of a version.
const qualityStdDevs = 0.75

// insert adds an option and keeps the options sorted by token cost. If there
// are too many, it first drops the one that adds the least quality over the
// cheaper ones.
func (ev *evaluator) insert(o option) {
	if ev.n == maxOptions {
		drop := ev.leastQualityGain()
		copy(ev.options[drop:ev.n-1], ev.options[drop+1:ev.n])
		ev.n--
	}
	i := ev.n
	for i > 0 && ev.options[i-1].tokenCost > o.tokenCost {
		ev.options[i] = ev.options[i-1]
		i--
	}
	ev.options[i] = o
	ev.n++
}

// leastQualityGain returns the index of the option that adds the least quality
// over the cheaper options. The cheapest option is always kept.
func (ev *evaluator) leastQualityGain() int {
	drop, least := ev.n-1, math.Inf(1)
	topQuality := ev.options[0].quality
	for i := 1; i < ev.n; i++ {
		if gain := ev.options[i].quality - topQuality; gain < least {
			drop, least = i, gain
		}
		topQuality = math.Max(topQuality, ev.options[i].quality)
	}
	return drop
}

// bestInitialPlan evaluates all ways to start a request and returns the
// feasible one with the highest net value. answerValue is the value of an on-time
// answer.
func (ev *evaluator) bestInitialPlan(c *classView, mu, sigma, remaining, answerValue float64, r *Request) candidatePlan {
	var list [maxOptions * (maxOptions + 2)]candidatePlan
	n := 0
	lengthPoints := c.lengthPoints
	if r.OutputTokens > 0 {
		for i, z := range quadratureZ {
			lengthPoints[i] = math.Exp(mu + sigma*z)
		}
	}
	for i := range ev.n {
		n += ev.initialPlans(list[n:], i, &lengthPoints, mu, sigma, remaining)
	}
	quantile := r.LatencyQuantile
	bestOnTime := 0.0
	for i := range n {
		bestOnTime = math.Max(bestOnTime, list[i].onTime)
	}
	minOnTime := math.Min(quantile, bestOnTime-onTimeTolerance)
	best := candidatePlan{first: -1, netValue: math.Inf(-1)}
	waitCost := firstTokenWaitCost * c.meanRequestCost * latencyFactor(r)
	for i := range n {
		cand := &list[i]
		cand.netValue = ev.utility(cand.result) + answerValue*cand.onTime - waitCost*ev.firstToken(cand, mu)
		if cand.onTime >= minOnTime && cand.netValue > best.netValue {
			best = *cand
		}
	}
	return best
}

// firstToken returns the predicted time until the caller receives the first
// token, in seconds. A cascade sends nothing before the whole answer is rated.
func (ev *evaluator) firstToken(cand *candidatePlan, mu float64) float64 {
	o := &ev.options[cand.first]
	if cand.kind == OneCall {
		return o.timeToFirstToken
	}
	return o.total(math.Exp(mu)) + ev.ratingDelay
}

// initialPlans writes the ways to start with option i to list and returns their
// number: one call and, while ratings are available, a cascade and early
// cascades with each more expensive option.
func (ev *evaluator) initialPlans(list []candidatePlan, i int, points *[quadrature]float64, mu, sigma, remaining float64) int {
	o := &ev.options[i]
	onTimeProb := onTime(o, mu, sigma, remaining)
	single := candidatePlan{kind: OneCall, first: i, second: -1, onTime: onTimeProb}
	for _, tokens := range points {
		single.result.add(outcome{quality: o.quality, cost: o.cost(tokens, ev.promptTokens), effectiveCost: o.effectiveCost(tokens, ev.promptTokens)})
	}
	list[0] = single
	if !ev.ratingAvailable {
		return 1
	}
	cascade := candidatePlan{kind: Cascade, first: i, second: -1, onTime: onTimeProb}
	for _, tokens := range points {
		cascade.result.add(ev.callOutcome(o, 0, tokens, remaining-o.total(tokens), 1<<i, 1))
	}
	list[1] = cascade
	n := 2
	for j := i + 1; j < ev.n; j++ {
		ratedAt := o.total(points[quadrature/2]) + ev.ratingDelay
		latest := remaining - ev.options[j].total(points[quadrature-2])*serviceTimeMargin
		for _, delay := range [...]float64{latest, 0} {
			if delay >= 0 && delay < ratedAt {
				list[n] = ev.earlyCascade(i, j, delay, points, onTimeProb, remaining)
				n++
			}
		}
	}
	return n
}

// add adds the outcome for one answer length of the quadrature to the mean.
func (o *outcome) add(x outcome) {
	o.quality += x.quality / quadrature
	o.cost += x.cost / quadrature
	o.effectiveCost += x.effectiveCost / quadrature
}

// earlyCascade evaluates a cascade whose second call starts after the given
// delay, before the rating of the first answer is known.
func (ev *evaluator) earlyCascade(i, j int, delay float64, points *[quadrature]float64, onTimeProb, remaining float64) candidatePlan {
	firstOption, secondOption := &ev.options[i], &ev.options[j]
	cand := candidatePlan{kind: EarlyCascade, first: i, second: j, delay: delay, onTime: onTimeProb}
	rateGood, afterGood, afterBad := ev.posterior(firstOption.quality)
	for _, tokens := range points {
		ratedAt := firstOption.total(tokens) + ev.ratingDelay
		result := outcome{quality: firstOption.quality, cost: firstOption.cost(tokens, ev.promptTokens), effectiveCost: firstOption.effectiveCost(tokens, ev.promptTokens)}
		if ratedAt <= remaining {
			// second is the quality after a bad rating of the first answer.
			second := math.Max(secondOption.quality, afterBad)
			if delay+secondOption.total(tokens) > remaining {
				second = afterBad
			}
			spentIfCancelled := secondOption.spentFraction(tokens, ratedAt-delay)
			spent := rateGood*spentIfCancelled + 1 - rateGood
			result.quality = rateGood*afterGood + (1-rateGood)*second
			result.cost += spent * secondOption.cost(tokens, ev.promptTokens)
			result.effectiveCost += spent * secondOption.effectiveCost(tokens, ev.promptTokens)
		}
		cand.result.add(result)
	}
	return cand
}

// spentFraction returns the fraction of the cost of a call that is spent when
// the call is cancelled after the given time.
func (o *option) spentFraction(tokens, elapsed float64) float64 {
	if elapsed <= o.wait {
		return 0
	}
	done := (elapsed - o.timeToFirstToken) / math.Max(o.perToken*tokens, 1e-6)
	return clamp(done, 0.2, 1)
}

// plan converts a candidate to a Plan.
func (ev *evaluator) plan(cand *candidatePlan, mu, remaining float64) Plan {
	o := &ev.options[cand.first]
	plan := Plan{Kind: cand.kind, N: 1, Quality: cand.result.quality, Cost: cand.result.cost, OnTime: cand.onTime}
	plan.Calls[0] = o.call(math.Exp(mu), 0)
	if cand.second >= 0 {
		plan.N = 2
		plan.Calls[1] = ev.options[cand.second].call(math.Exp(mu), cand.delay)
	}
	return plan
}

// call returns the call of an option that starts after the given delay, in
// seconds.
func (o *option) call(tokens, delay float64) Call {
	return Call{
		Version: o.version, Upstream: o.upstream,
		StartAfter: time.Duration(delay * float64(time.Second)),
		Expected:   time.Duration(o.total(tokens) * float64(time.Second)),
	}
}

// priorityOf returns the priority that is sent to the engine. It rises as the
// expected time takes up more of the remaining time, and it is shifted by the
// priority of the organisation.
func priorityOf(r *Request, remaining, expected float64) int {
	tight := clamp(expected/math.Max(remaining, 1e-3), 0, 1)
	return int(clamp(math.Round(tight*6+float64(r.Priority-5)+1.5), 0, 9))
}
