package bench

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// Behaviour of the network and the platform.
const (
	daemonsPerZone = 2
	// latencySameZone is the one-way latency within a zone.
	latencySameZone = 100 * time.Microsecond
	// cutTimeout is how long a daemon waits for an unreachable engine.
	cutTimeout = 250 * time.Millisecond
	// ratingTimeout is how long a daemon waits for an unreachable rating service.
	ratingTimeout = time.Second
	// isolationAfter is the duration of the evidence lease.
	isolationAfter = 4 * time.Second
	// tickPeriod is the period of the control tick of a daemon.
	tickPeriod = 100 * time.Millisecond
	// cacheEventLossOneIn is the share of cache events that are lost.
	cacheEventLossOneIn = 10
)

// request is an arrival in one run, with what has happened to it.
type request struct {
	*arrival
	arrived  time.Duration
	cost     float64
	calls    int
	retries  int
	open     []*call
	done     bool
	answered bool
	refused  bool
	good     bool
	version  int
	expected float64
	// ratings holds what the rating service has said before the answer was
	// delivered, by version.
	ratings map[int]bool
	// chance is the true probability, given the ratings, that the delivered
	// answer is good.
	chance     float64
	firstToken time.Duration
	total      time.Duration
	// fractional marks a request of the oracle, whose expected quality counts
	// in place of a drawn one.
	fractional bool
}

// zoneState says what a zone is cut off from.
type zoneState struct {
	cutPlatform, cutZones bool
	platformLost          time.Duration
}

// world is the state of one run. It is used by one goroutine.
type world struct {
	clock
	load         *Workload
	seed         uint64
	engines      []*engine
	byVersion    [][]*engine
	models       []string
	modelOf      []int
	zones        []zoneState
	quality      []float64
	errors       []float64
	platformDown bool
	ratingDelay  time.Duration
	router       router
	requests     []*request
	pins         map[[2]int]int
	halted       []haltMark
	firstHalt    time.Duration
	bad          []time.Duration
	badCalls     int
	callSeq      int
	// firstTokens holds the times from sending a call to its first token at the
	// daemon.
	firstTokens []time.Duration
	caches      []cacheHint
}

// haltMark is the halt of the candidate as one daemon knows it.
type haltMark struct {
	set bool
	at  time.Duration
}

// cacheHint is one cache event on its way to the daemons.
type cacheHint struct {
	visible time.Duration
	at      time.Duration
	engine  int
	prefix  uint64
}

// router decides for all daemons of a run.
type router interface {
	// arrive is called when a request reaches its daemon.
	arrive(q *request)
	// tick is called once per tick period.
	tick()
}

func newWorld(load *Workload, fault *workload.Fault, seed uint64) *world {
	w := &world{load: load, seed: seed, pins: map[[2]int]int{}, firstHalt: -1}
	w.ratingDelay = time.Duration(load.Rating.DelayMs * float64(time.Millisecond))
	w.zones = make([]zoneState, len(load.AvailabilityZones))
	w.halted = make([]haltMark, len(load.AvailabilityZones)*daemonsPerZone)
	index := map[string]int{}
	models := map[string]int{}
	for i, v := range load.Versions {
		index[v.Version] = i
		if _, ok := models[v.Model]; !ok {
			models[v.Model] = len(w.models)
			w.models = append(w.models, v.Model)
		}
		w.modelOf = append(w.modelOf, models[v.Model])
		w.quality = append(w.quality, 1)
		w.errors = append(w.errors, 0)
		w.bad = append(w.bad, -1)
	}
	w.byVersion = make([][]*engine, len(load.Versions))
	for i := range load.Upstreams {
		u := &load.Upstreams[i]
		e := &engine{world: w, index: i, spec: u, zone: w.zoneIndex(u.AvailabilityZone), speed: u.SpeedFactor}
		w.engines = append(w.engines, e)
		for _, v := range u.Versions {
			w.byVersion[index[v]] = append(w.byVersion[index[v]], e)
		}
	}
	w.scheduleFault(fault)
	return w
}

func (w *world) zoneIndex(name string) int {
	for i, z := range w.load.AvailabilityZones {
		if z == name {
			return i
		}
	}
	return -1
}

func (w *world) versionIndex(id string) int {
	for i, v := range w.load.Versions {
		if v.Version == id {
			return i
		}
	}
	return -1
}

func (w *world) daemons() int         { return len(w.load.AvailabilityZones) * daemonsPerZone }
func (w *world) daemonZone(d int) int { return d / daemonsPerZone }
func (w *world) clientLatency() time.Duration {
	return time.Duration(w.load.OneWayMsClients * float64(time.Millisecond))
}

// latency is the one-way latency between a daemon and an engine.
func (w *world) latency(daemon int, e *engine) time.Duration {
	if w.daemonZone(daemon) == e.zone {
		return latencySameZone
	}
	return time.Duration(w.load.OneWayMsZones * float64(time.Millisecond))
}

func (w *world) reachable(daemon int, e *engine) bool {
	z := w.daemonZone(daemon)
	return z == e.zone || !w.zones[z].cutZones && !w.zones[e.zone].cutZones
}

func (w *world) platformReachable(daemon int) bool {
	return !w.platformDown && !w.zones[w.daemonZone(daemon)].cutPlatform
}

// isolated reports whether the evidence lease of a daemon has lapsed.
func (w *world) isolated(daemon int) bool {
	lost := w.zones[w.daemonZone(daemon)].platformLost
	return lost >= 0 && w.now-lost > isolationAfter
}

// noise is the factor on the service time of a call.
func (w *world) noise(c *call) float64 {
	u := uniformDraw(w.seed, 3, uint64(c.req.id), uint64(c.version), uint64(c.engine.index))
	v := uniformDraw(w.seed, 4, uint64(c.req.id), uint64(c.version), uint64(c.engine.index))
	normal := math.Sqrt(-2*math.Log(1-u)) * math.Cos(2*math.Pi*v)
	return math.Exp(serviceNoiseSigma * normal)
}

// trueQuality is the present probability that a version answers a class well.
func (w *world) trueQuality(version, class int) float64 {
	return w.load.Versions[version].GoodAnswer[w.load.Classes[class].Name] * w.quality[version]
}

// isGood tells whether the answer of a version to a request is good. Versions
// of one model share the draw, so asking the same model again does not help.
func (w *world) isGood(q *request, version int) bool {
	u := uniformDraw(w.seed, 5, uint64(q.id), uint64(w.modelOf[version]))
	return u < w.trueQuality(version, q.class)
}

// run feeds the arrivals to the router and returns the requests.
func (w *world) run(arrivals []*arrival, r router, until time.Duration) []*request {
	w.router = r
	for i := range w.zones {
		w.zones[i].platformLost = -1
	}
	for t := time.Duration(0); t < until; t += tickPeriod {
		w.at(t, w.tick)
	}
	for _, a := range arrivals {
		q := &request{arrival: a, version: -1}
		w.requests = append(w.requests, q)
		w.at(a.at+w.clientLatency(), func() { w.accept(q) })
	}
	w.runUntil(until)
	return w.requests
}

func (w *world) accept(q *request) {
	q.arrived = w.now
	w.after(q.deadline+q.leaves, func() {
		if !q.done {
			q.done = true
			w.giveUp(q)
		}
	})
	w.router.arrive(q)
}

func (w *world) tick() {
	for z := range w.zones {
		w.noteEvidence(z)
	}
	for _, e := range w.engines {
		if e.down {
			continue
		}
		e.samples = append(e.samples, loadSample{at: w.now, running: len(e.running), queued: e.waiting()})
	}
	w.router.tick()
}

// noteEvidence notes since when a zone has had no evidence of the
// configuration, neither from the platform nor through another zone.
func (w *world) noteEvidence(z int) {
	fresh := !w.platformDown && !w.zones[z].cutPlatform
	for other := range w.zones {
		linked := !w.zones[z].cutZones && !w.zones[other].cutZones
		fresh = fresh || linked && !w.platformDown && !w.zones[other].cutPlatform
	}
	switch {
	case fresh:
		w.zones[z].platformLost = -1
	case w.zones[z].platformLost < 0:
		w.zones[z].platformLost = w.now
	}
}
