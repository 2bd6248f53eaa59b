package policy

import (
	"math"
	"sort"
	"time"
)

// View is an immutable picture of versions, upstreams and what has been
// learned. Decisions read it without locks; only the Live counters inside
// change.
type View struct {
	at        time.Duration
	versions  []VersionSpec
	upstreams []UpstreamSpec
	others    []int64
	holders   [][]holder
	price     []float64
	hints     map[uint64][]int32
	classes   map[string]*classView
	unknown   *classView
	ratingOK  bool
	// daemons is the number of daemons that share the engines.
	daemons     int64
	ratingDelay float64
	accuracy    float64
	meanTokens  float64
	// excess is, by organisation, the use of capacity over the share.
	excess map[string]float64
	// scale is the cost of a mean request on the dearest version; values are
	// expressed in it.
	scale float64
}

// holder is an engine that holds a version, with its predicted times in
// seconds.
type holder struct {
	upstream int32
	slots    int32
	first    float64
	perToken float64
	distance float64
}

// classView is what is known about a class.
type classView struct {
	mu, sigma float64
	tokens    float64
	points    [quadrature]float64
	quality   []estimate
	// bias is by how much plans of the class promise too much quality.
	bias float64
	// scale is the cost of a mean request of the class on the dearest version.
	scale float64
}

// maxBias bounds the correction of promised quality.
const maxBias = 0.05

// HintLifetime is the age at which a cache hint is no longer used.
const HintLifetime = 30 * time.Second

// maxHints is the number of engines remembered per prefix.
const maxHints = 3

// BuildView compiles a view from the surroundings and from what has been
// learned. It is called on each control tick.
func (p *Planner) BuildView(in Inputs, now time.Duration) *View {
	p.building.Lock()
	defer p.building.Unlock()
	v := &View{
		at: now, versions: in.Versions, upstreams: in.Upstreams,
		ratingOK: in.RatingAvailable, accuracy: p.opts.RatingAccuracy,
		others: make([]int64, len(in.Upstreams)),
	}
	for i := range in.Upstreams {
		v.others[i] = othersAt(&in.Upstreams[i])
	}
	p.mu.Lock()
	l := p.joinLocked(in)
	v.daemons = int64(len(p.peers) + 1)
	p.mu.Unlock()
	v.ratingDelay = l.ratingDelay
	v.buildClasses(l)
	v.buildHolders(l)
	v.buildPrices()
	v.buildHints(in.Hints, now)
	p.shareDebts(l)
	p.buildShares(v, now)
	return v
}

// othersAt is the load of an engine that other daemons have caused, as of its
// last report. The calls of this daemon are counted live instead.
func othersAt(u *UpstreamSpec) int64 {
	if u.Report == nil {
		return 0
	}
	own := int64(0)
	if u.Live != nil {
		own = u.Live.at(u.Report.At)
	}
	return max(0, int64(u.Report.Running+u.Report.Queued)-own)
}

func (v *View) buildClasses(l *learned) {
	cheapest, dearest := math.Inf(1), 0.0
	for _, s := range v.versions {
		cheapest, dearest = math.Min(cheapest, s.CostPer1kOutput), math.Max(dearest, s.CostPer1kOutput)
	}
	v.unknown = newClassView(v, l, "", MomentStat{}, cheapest, dearest)
	v.classes = make(map[string]*classView, len(l.lengths))
	total, n := 0.0, 0.0
	for name, m := range l.lengths {
		c := newClassView(v, l, name, m, cheapest, dearest)
		v.classes[name] = c
		total += c.tokens * (m.N + 1)
		n += m.N + 1
	}
	v.meanTokens = v.unknown.tokens
	if n > 0 {
		v.meanTokens = total / n
	}
	v.scale = math.Max(dearest*v.meanTokens*promptMarkup/1000, 1e-9)
}

// promptMarkup allows for the prompt in the cost of a mean request.
const promptMarkup = 1.6

func newClassView(v *View, l *learned, name string, m MomentStat, cheapest, dearest float64) *classView {
	c := &classView{quality: make([]estimate, len(v.versions))}
	c.mu, c.sigma = lengthOf(m)
	c.tokens = math.Exp(c.mu + c.sigma*c.sigma/2)
	c.scale = math.Max(dearest*c.tokens*promptMarkup/1000, 1e-9)
	for i, z := range quadratureZ {
		c.points[i] = math.Exp(c.mu + c.sigma*z)
	}
	b := l.settled[name]
	c.bias = clamp(b.Sum/(b.N+biasPrior), -maxBias, maxBias)
	anchor := l.anchor(name, v.versions, cheapest, v.accuracy)
	for i, s := range v.versions {
		prior := priorOf(anchor, s.CostPer1kOutput, cheapest)
		c.quality[i] = l.quality(name, v.versions, i, s, prior, v.accuracy)
	}
	return c
}

func (v *View) buildHolders(l *learned) {
	v.holders = make([][]holder, len(v.versions))
	for i := range v.upstreams {
		u := &v.upstreams[i]
		if !u.Usable {
			continue
		}
		for _, ver := range u.Versions {
			if !v.versions[ver].Usable {
				continue
			}
			first, perToken := l.times(u.ID, ver)
			v.holders[ver] = append(v.holders[ver], holder{
				upstream: int32(i), slots: int32(max(1, u.Slots)),
				first: first, perToken: perToken, distance: u.OneWayLatency.Seconds(),
			})
		}
	}
	for _, h := range v.holders {
		sort.SliceStable(h, func(i, j int) bool {
			return h[i].first+h[i].perToken*v.meanTokens < h[j].first+h[j].perToken*v.meanTokens
		})
	}
}

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

// class returns what is known about the class of a request.
func (v *View) class(name string) *classView {
	if c, ok := v.classes[name]; ok {
		return c
	}
	return v.unknown
}

// UpstreamID returns the id of an upstream of the view.
func (v *View) UpstreamID(i int) string { return v.upstreams[i].ID }

// VersionID returns the id of a version of the view.
func (v *View) VersionID(i int) string { return v.versions[i].ID }

// Live returns the counters of an upstream of the view.
func (v *View) Live(i int) *Live { return v.upstreams[i].Live }

// RatingAvailable reports whether answers can be rated.
func (v *View) RatingAvailable() bool { return v.ratingOK }

// RatingDelay is the predicted delay of a rating.
func (v *View) RatingDelay() time.Duration {
	return time.Duration(v.ratingDelay * float64(time.Second))
}

// Prior is the estimated quality of a version for a class.
func (v *View) Prior(class string, version int) float64 {
	return v.class(class).quality[version].mean
}

// HasFreeSlots reports whether an upstream had free slots when it was last heard of,
// so that a call sent then did not wait.
func (v *View) HasFreeSlots(upstream int) bool {
	return float64(v.backlog(int32(upstream))) < idleShare*float64(v.upstreams[upstream].Slots)
}

// idleShare is the utilisation below which an engine counts as idle.
const idleShare = 0.7
