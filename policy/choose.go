package policy

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// refuseBelow is the probability of an answer in time below which a request
	// is refused at once.
	refuseBelow = 0.03
	// onTimeSlack lets a plan count as feasible when it is nearly as likely to
	// be in time as the best one.
	onTimeSlack = 0.02
	// firstTokenPrice is the cost of one second until the first token, in units
	// of the cost of a mean request of the class on the dearest version.
	firstTokenPrice = 0.003
)

// candidate is one way to begin, with its predicted result.
type candidate struct {
	kind   PlanKind
	option int
	second int
	delay  float64
	onTime float64
	out    outcome
	value  float64
}

// Choose decides how a request begins. The answer is a plan or an early
// refusal, which is given only before anything has run.
func (p *Planner) Choose(v *View, r *Request, now time.Duration) Plan {
	c := v.class(r.Class)
	t := p.target(r.Class)
	left := (r.Deadline - now).Seconds()
	if left <= 0 {
		return Plan{Refusal: errkind.DeadlinePassed}
	}
	var w weigher
	found := w.fill(v, r, c, -1, now)
	if w.n == 0 {
		return Plan{Refusal: choose(found, errkind.NoCapacity, errkind.NoAllowedVersion)}
	}
	w.lambda = t.value() * c.scale
	mu, sigma := lengthFor(r, c)
	value := answerValue * v.scale * v.shareFactor(r) * latencyFactor(r)
	best := w.begin(c, mu, sigma, left, value, r)
	if best.onTime < refuseBelow {
		return Plan{Refusal: errkind.DeadlineTooShort}
	}
	if best.value < 0 {
		return Plan{Refusal: errkind.NoCapacity}
	}
	plan := w.plan(&best, mu, left)
	if k, ok := p.explore.take(&w, &plan, mu, sigma, left, r.LatencyQuantile, p.opts.Exploration); ok {
		best, plan = k, w.plan(&k, mu, left)
		plan.Explore = true
	}
	plan.Priority = priorityOf(r, left, w.options[best.option].total(math.Exp(mu)))
	t.note(r.QualityTarget + qualityMargin + c.bias - plan.Quality)
	p.noteAdmitted(r, &w.options[best.option], math.Exp(mu), now)
	return plan
}

// qualityMargin is added to the quality target against errors of the estimates.
const qualityMargin = 0.007

func choose[T any](cond bool, a, b T) T {
	if cond {
		return a
	}
	return b
}

// lengthFor is the distribution of the logarithm of the answer length.
func lengthFor(r *Request, c *classView) (mu, sigma float64) {
	if r.OutputTokens > 0 {
		return math.Log(r.OutputTokens), c.sigma / 2
	}
	return c.mu, c.sigma
}

// latencyFactor raises the worth of an answer in time for an organisation that
// gives more weight to latency than to cost.
func latencyFactor(r *Request) float64 {
	if r.Weights.Latency <= 0 || r.Weights.Cost <= 0 {
		return 1
	}
	return math.Sqrt(clamp(r.Weights.Latency/r.Weights.Cost, 1, 4))
}

// fill collects the versions to weigh, each on its best engine. It returns
// whether any allowed version exists. Versions are shortlisted by cost and
// quality first, so that engines are looked at for few of them.
func (w *weigher) fill(v *View, r *Request, c *classView, avoid int, now time.Duration) bool {
	w.prompt, w.accuracy, w.delay, w.rating = r.PromptTokens, v.accuracy, v.ratingDelay, v.ratingOK
	found := false
	for _, ver := range r.Versions {
		if ver < 0 || ver >= len(v.versions) || !v.versions[ver].Usable {
			continue
		}
		found = true
		w.insert(v.option(c, ver))
	}
	w.place(v, r, c, avoid, now)
	if w.n > 0 || len(r.Versions) <= maxOptions {
		return found
	}
	for _, ver := range r.Versions {
		if w.n < maxOptions && ver >= 0 && ver < len(v.versions) && v.versions[ver].Usable {
			w.insert(v.option(c, ver))
			w.place(v, r, c, avoid, now)
		}
	}
	return found
}

// option is a version without an engine.
func (v *View) option(c *classView, ver int) option {
	q := &c.quality[ver]
	return option{
		version: ver, upstream: -1, price: v.price[ver],
		tokenCost: v.versions[ver].CostPer1kOutput / 1000,
		doubt:     q.sd,
		quality:   clamp(q.mean-qualityCaution*q.sd, minQuality, maxQuality),
	}
}

// place finds an engine for each option and drops those without one.
func (w *weigher) place(v *View, r *Request, c *classView, avoid int, now time.Duration) {
	n := 0
	for i := range w.n {
		o := w.options[i]
		if o.upstream < 0 {
			s, ok := v.selectUpstream(r, o.version, c.tokens, avoid, now)
			w.examined += s.examined
			if !ok {
				continue
			}
			o.upstream, o.fixed, o.wait, o.perToken = s.upstream, s.fixed, s.wait, s.perToken
		}
		w.options[n] = o
		n++
	}
	w.n = n
}

// qualityCaution is the number of standard deviations by which a quality is
// taken lower than estimated.
const qualityCaution = 0.75

// insert keeps the options in order of cost and, when there are too many,
// drops the one that adds least quality over a cheaper one.
func (w *weigher) insert(o option) {
	if w.n == maxOptions {
		drop := w.weakest()
		copy(w.options[drop:w.n-1], w.options[drop+1:w.n])
		w.n--
	}
	i := w.n
	for i > 0 && w.options[i-1].tokenCost > o.tokenCost {
		w.options[i] = w.options[i-1]
		i--
	}
	w.options[i] = o
	w.n++
}

func (w *weigher) weakest() int {
	drop, least := w.n-1, math.Inf(1)
	top := w.options[0].quality
	for i := 1; i < w.n; i++ {
		if gain := w.options[i].quality - top; gain < least {
			drop, least = i, gain
		}
		top = math.Max(top, w.options[i].quality)
	}
	return drop
}

// begin weighs all ways to begin.
func (w *weigher) begin(c *classView, mu, sigma, left, value float64, r *Request) candidate {
	var list [maxOptions * (maxOptions + 2)]candidate
	n := 0
	points := c.points
	if r.OutputTokens > 0 {
		for i, z := range quadratureZ {
			points[i] = math.Exp(mu + sigma*z)
		}
	}
	for i := range w.n {
		n += w.beginWith(list[n:], i, &points, mu, sigma, left)
	}
	quantile := r.LatencyQuantile
	top := 0.0
	for i := range n {
		top = math.Max(top, list[i].onTime)
	}
	floor := math.Min(quantile, top-onTimeSlack)
	best := candidate{option: -1, value: math.Inf(-1)}
	wait := firstTokenPrice * c.scale * latencyFactor(r)
	for i := range n {
		k := &list[i]
		k.value = w.worth(k.out) + value*k.onTime - wait*w.firstToken(k, mu)
		if k.onTime >= floor && k.value > best.value {
			best = *k
		}
	}
	return best
}

// firstToken is the predicted time at which the caller sees the first token.
func (w *weigher) firstToken(k *candidate, mu float64) float64 {
	o := &w.options[k.option]
	if k.kind == OneCall {
		return o.fixed
	}
	return o.total(math.Exp(mu)) + w.delay
}

// beginWith lists the ways to begin with option i and returns their number.
func (w *weigher) beginWith(list []candidate, i int, points *[quadrature]float64, mu, sigma, left float64) int {
	o := &w.options[i]
	p := onTime(o, mu, sigma, left)
	single := candidate{kind: OneCall, option: i, second: -1, onTime: p}
	for _, tokens := range points {
		single.out.add(outcome{quality: o.quality, cost: o.cost(tokens, w.prompt), burden: o.burden(tokens, w.prompt)})
	}
	list[0] = single
	if !w.rating {
		return 1
	}
	cascade := candidate{kind: Cascade, option: i, second: -1, onTime: p}
	for _, tokens := range points {
		cascade.out.add(w.after(o, 0, tokens, left-o.total(tokens), 1<<i, 1))
	}
	list[1] = cascade
	n := 2
	for j := i + 1; j < w.n; j++ {
		known := o.total(points[quadrature/2]) + w.delay
		latest := left - w.options[j].total(points[quadrature-2])*timeCaution
		for _, delay := range [...]float64{latest, 0} {
			if delay >= 0 && delay < known {
				list[n] = w.early(i, j, delay, points, p, left)
				n++
			}
		}
	}
	return n
}

// add adds one quadrature point.
func (o *outcome) add(x outcome) {
	o.quality += x.quality / quadrature
	o.cost += x.cost / quadrature
	o.burden += x.burden / quadrature
}

// early weighs a cascade whose second call starts after the given delay, before
// the rating of the first answer is known.
func (w *weigher) early(i, j int, delay float64, points *[quadrature]float64, p, left float64) candidate {
	x, y := &w.options[i], &w.options[j]
	k := candidate{kind: EarlyCascade, option: i, second: j, delay: delay, onTime: p}
	rateGood, afterGood, afterBad := w.posterior(x.quality)
	for _, tokens := range points {
		known := x.total(tokens) + w.delay
		out := outcome{quality: x.quality, cost: x.cost(tokens, w.prompt), burden: x.burden(tokens, w.prompt)}
		if known <= left {
			second := math.Max(y.quality, afterBad)
			if delay+y.total(tokens) > left {
				second = afterBad
			}
			part := y.started(tokens, known-delay)
			rest := rateGood*part + 1 - rateGood
			out.quality = rateGood*afterGood + (1-rateGood)*second
			out.cost += rest * y.cost(tokens, w.prompt)
			out.burden += rest * y.burden(tokens, w.prompt)
		}
		k.out.add(out)
	}
	return k
}

// started is the part of the cost of a call that is spent after some time.
func (o *option) started(tokens, elapsed float64) float64 {
	if elapsed <= o.wait {
		return 0
	}
	done := (elapsed - o.fixed) / math.Max(o.perToken*tokens, 1e-6)
	return clamp(done, 0.2, 1)
}

// plan turns a candidate into a plan.
func (w *weigher) plan(k *candidate, mu, left float64) Plan {
	o := &w.options[k.option]
	plan := Plan{Kind: k.kind, N: 1, Quality: k.out.quality, Cost: k.out.cost, OnTime: k.onTime}
	plan.Calls[0] = o.call(math.Exp(mu), 0)
	if k.second >= 0 {
		plan.N = 2
		plan.Calls[1] = w.options[k.second].call(math.Exp(mu), k.delay)
	}
	return plan
}

func (o *option) call(tokens, delay float64) Call {
	return Call{
		Version: o.version, Upstream: o.upstream,
		StartAfter: time.Duration(delay * float64(time.Second)),
		Expected:   time.Duration(o.total(tokens) * float64(time.Second)),
	}
}

// priorityOf raises the priority of a request whose deadline leaves little
// room; the priority of the organisation shifts it.
func priorityOf(r *Request, left, expected float64) int {
	tight := clamp(expected/math.Max(left, 1e-3), 0, 1)
	return int(clamp(math.Round(tight*6+float64(r.Priority-5)+1.5), 0, 9))
}
