package policy

import (
	"math"
	"sort"
	"time"
)

// View is an immutable snapshot of the versions, the upstreams and the learned
// statistics. Decisions read it without locks. Only the Live counters that it
// refers to change.
type View struct {
	at        time.Duration
	versions  []VersionSpec
	upstreams []UpstreamSpec
	// peerCalls is, by upstream index, the number of calls of the other daemons
	// at the last load report.
	peerCalls []int64
	// engines lists, by version index, the usable engines that have loaded the
	// version, the fastest first.
	engines [][]versionEngine
	// slotPrice is, by version index, the price of occupying a slot for one
	// second.
	slotPrice []float64
	// hints lists, by prefix, the upstreams that may have the prefix in their
	// cache.
	hints   map[uint64][]int32
	classes map[string]*classView
	// defaultClass is used for classes without observations.
	defaultClass *classView
	ratingOK     bool
	// daemons is the number of daemons that share the engines.
	daemons int64
	// ratingDelay is the expected delay of a rating in seconds.
	ratingDelay float64
	// accuracy is the probability that a rating is correct.
	accuracy float64
	// meanTokens is the mean answer length over all classes.
	meanTokens float64
	// usageRatio is, by organisation, its part of the capacity in use divided by
	// its part of all shares.
	usageRatio map[string]float64
	// meanRequestCost is the cost of a mean request on the most expensive
	// version. It is the unit of the value of an on-time answer.
	meanRequestCost float64
}

// versionEngine is an engine that has loaded a version, with its predicted
// times in seconds. first is the time to the first token without waiting and
// network latency.
type versionEngine struct {
	upstream      int32
	slots         int32
	first         float64
	perToken      float64
	oneWayLatency float64
}

// classView holds the statistics of one class of requests.
type classView struct {
	// mu and sigma are the mean and the standard deviation of the logarithm of
	// the answer length.
	mu, sigma      float64
	expectedTokens float64
	// lengthPoints are the answer lengths over which plans are averaged.
	lengthPoints [quadrature]float64
	quality      []estimate
	// bias is the mean by which the predicted quality of the class exceeds the
	// final quality.
	bias float64
	// meanRequestCost is the cost of a mean request of the class on the most
	// expensive version.
	meanRequestCost float64
}

// maxBias bounds the correction of the predicted quality.
const maxBias = 0.05

// HintLifetime is the age above which a cache hint is ignored.
const HintLifetime = 30 * time.Second

// maxHints is the number of engines that are kept per prefix.
const maxHints = 3

// BuildView builds a view from the inputs and from the learned statistics. It
// is called on each control tick.
func (p *Planner) BuildView(in Inputs, now time.Duration) *View {
	p.buildMu.Lock()
	defer p.buildMu.Unlock()
	v := &View{
		at: now, versions: in.Versions, upstreams: in.Upstreams,
		ratingOK: in.RatingAvailable, accuracy: p.opts.RatingAccuracy,
		peerCalls: make([]int64, len(in.Upstreams)),
	}
	for i := range in.Upstreams {
		v.peerCalls[i] = peerCallsAt(&in.Upstreams[i])
	}
	p.mu.Lock()
	l := p.mergeLocked(in)
	v.daemons = int64(len(p.peers) + 1)
	p.mu.Unlock()
	v.ratingDelay = l.ratingDelay
	v.buildClasses(l)
	v.buildEngines(l)
	v.buildSlotPrices()
	v.buildHints(in.Hints, now)
	p.storePeerDebts(l)
	p.buildUsageRatios(v, now)
	return v
}

// peerCallsAt returns the number of calls at an engine that came from other
// daemons at the time of its last load report. The calls of this daemon are
// excluded, because they are counted live.
func peerCallsAt(u *UpstreamSpec) int64 {
	if u.Report == nil {
		return 0
	}
	own := int64(0)
	if u.Live != nil {
		own = u.Live.inFlightAt(u.Report.At)
	}
	return max(0, int64(u.Report.Running+u.Report.Queued)-own)
}

// buildClasses computes the statistics of each class, and the mean answer
// length and request cost over all classes.
func (v *View) buildClasses(l *learnedStats) {
	cheapest, mostExpensive := math.Inf(1), 0.0
	for _, s := range v.versions {
		cheapest, mostExpensive = math.Min(cheapest, s.CostPer1kOutput), math.Max(mostExpensive, s.CostPer1kOutput)
	}
	v.defaultClass = newClassView(v, l, "", MomentStat{}, cheapest, mostExpensive)
	v.classes = make(map[string]*classView, len(l.lengths))
	total, n := 0.0, 0.0
	for name, m := range l.lengths {
		c := newClassView(v, l, name, m, cheapest, mostExpensive)
		v.classes[name] = c
		total += c.expectedTokens * (m.N + 1)
		n += m.N + 1
	}
	v.meanTokens = v.defaultClass.expectedTokens
	if n > 0 {
		v.meanTokens = total / n
	}
	v.meanRequestCost = math.Max(mostExpensive*v.meanTokens*promptMarkup/1000, 1e-9)
}

// promptMarkup is the factor on the cost of the output tokens that accounts for
// the prompt in the cost of a mean request.
const promptMarkup = 1.6

// newClassView computes the statistics of one class.
func newClassView(v *View, l *learnedStats, name string, m MomentStat, cheapest, mostExpensive float64) *classView {
	c := &classView{quality: make([]estimate, len(v.versions))}
	c.mu, c.sigma = estimateLogLength(m)
	c.expectedTokens = math.Exp(c.mu + c.sigma*c.sigma/2)
	c.meanRequestCost = math.Max(mostExpensive*c.expectedTokens*promptMarkup/1000, 1e-9)
	for i, z := range quadratureZ {
		c.lengthPoints[i] = math.Exp(c.mu + c.sigma*z)
	}
	b := l.settled[name]
	c.bias = clamp(b.Sum/(b.N+biasPrior), -maxBias, maxBias)
	cheapestQuality := l.cheapestQuality(name, v.versions, cheapest, v.accuracy)
	for i, s := range v.versions {
		prior := priorQuality(cheapestQuality, s.CostPer1kOutput, cheapest)
		c.quality[i] = l.quality(name, v.versions, i, s, prior, v.accuracy)
	}
	return c
}

// buildEngines lists the usable engines of each usable version with their
// predicted times, the fastest first.
func (v *View) buildEngines(l *learnedStats) {
	v.engines = make([][]versionEngine, len(v.versions))
	for i := range v.upstreams {
		u := &v.upstreams[i]
		if !u.Usable {
			continue
		}
		for _, ver := range u.Versions {
			if !v.versions[ver].Usable {
				continue
			}
			first, perToken := l.predictTimes(u.ID, ver)
			v.engines[ver] = append(v.engines[ver], versionEngine{
				upstream: int32(i), slots: int32(max(1, u.Slots)),
				first: first, perToken: perToken, oneWayLatency: u.OneWayLatency.Seconds(),
			})
		}
	}
	for _, list := range v.engines {
		sort.SliceStable(list, func(i, j int) bool {
			return list[i].first+list[i].perToken*v.meanTokens < list[j].first+list[j].perToken*v.meanTokens
		})
	}
}

// buildHints indexes the cache hints by prefix and keeps the newest maxHints of
// each.
func (v *View) buildHints(hints []PrefixHint, now time.Duration) {
	v.hints = make(map[uint64][]int32, len(hints))
	for i := len(hints) - 1; i >= 0; i-- {
		h := hints[i]
		list := v.hints[h.Prefix]
		if now-h.At > HintLifetime || len(list) >= maxHints {
			continue
		}
		v.hints[h.Prefix] = append(list, int32(h.Upstream))
	}
}

func (v *View) class(name string) *classView {
	if c, ok := v.classes[name]; ok {
		return c
	}
	return v.defaultClass
}

// UpstreamID returns the id of the upstream with index i.
func (v *View) UpstreamID(i int) string { return v.upstreams[i].ID }

// VersionID returns the id of the version with index i.
func (v *View) VersionID(i int) string { return v.versions[i].ID }

// Live returns the counters of the upstream with index i.
func (v *View) Live(i int) *Live { return v.upstreams[i].Live }

// RatingAvailable reports whether the rating service can be reached.
func (v *View) RatingAvailable() bool { return v.ratingOK }

// RatingDelay returns the expected delay of a rating.
func (v *View) RatingDelay() time.Duration {
	return time.Duration(v.ratingDelay * float64(time.Second))
}

// Prior returns the estimated quality of a version for a class, which is the
// probability that an answer is good before it is rated.
func (v *View) Prior(class string, version int) float64 {
	return v.class(class).quality[version].mean
}

// HasFreeSlots reports whether an upstream is estimated to have free slots, so
// that a call sent to it does not wait.
func (v *View) HasFreeSlots(upstream int) bool {
	return float64(v.backlog(int32(upstream))) < idleUtilisation*float64(v.upstreams[upstream].Slots)
}

// idleUtilisation is the utilisation below which an engine is taken to have
// free slots.
const idleUtilisation = 0.7
