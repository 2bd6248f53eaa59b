package bench

import (
	"math"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// Properties of the network, the daemons and the platform.
const (
	daemonsPerZone = 2
	// latencySameZone is the one-way latency within a zone.
	latencySameZone = 100 * time.Microsecond
	// unreachableTimeout is how long a daemon waits for an unreachable engine.
	unreachableTimeout = 250 * time.Millisecond
	// ratingTimeout is how long a daemon waits for an unreachable rating service.
	ratingTimeout = time.Second
	// evidenceLease is the duration of the evidence lease. A daemon that gets no
	// evidence of the configuration for that long is isolated.
	evidenceLease = 4 * time.Second
	// tickPeriod is the interval between two calls of router.tick.
	tickPeriod = 100 * time.Millisecond
	// cacheEventLossOneIn is the inverse of the share of cache events that are
	// lost: one in ten.
	cacheEventLossOneIn = 10
)

// request is an arrival in one run, with its state and its result.
type request struct {
	*arrival
	arrived          time.Duration // when it reached its daemon
	cost             float64
	calls            int
	retries          int
	openCalls        []*call
	done             bool
	answered         bool // answered before the client left
	refused          bool
	good             bool
	version          int     // of the delivered answer, or -1
	predictedQuality float64 // probability of a good answer as the router predicts it
	// ratings holds the ratings received before the answer was delivered, by
	// version.
	ratings map[int]bool
	// goodProbability is the true probability, given the ratings, that the delivered
	// answer is good.
	goodProbability float64
	firstToken      time.Duration
	total           time.Duration
	// fractional marks a request of the oracle. Its predictedQuality counts as a
	// fraction of a good answer, in place of a drawn result.
	fractional bool
}

// zoneState is the state of one zone's connections.
type zoneState struct {
	cutFromPlatform, cutFromZones bool
	evidenceLostAt                time.Duration // since when the zone has no evidence, or -1
}

// world is the state of one simulation run. It is not safe for concurrent use.
type world struct {
	clock
	load             *Workload // the simulated workload
	seed             uint64
	engines          []*engine
	enginesByVersion [][]*engine
	models           []string
	modelOf          []int // index of the model by version
	zones            []zoneState
	qualityFactor    []float64 // by version, 1 without a fault
	errorProbability []float64 // by version, 0 without a fault
	platformDown     bool
	ratingDelay      time.Duration
	router           router
	requests         []*request
	pins             map[[2]int]int  // version by session and model
	halted           []haltMark      // by daemon
	firstHalt        time.Duration   // when the first daemon halted the candidate, or -1
	badSince         []time.Duration // by version, when its fault began, or -1
	badCalls         int             // calls to versions during their faults
	callSeq          int             // number of calls and cache events so far
	// firstTokens holds the time from sending a call to its first token at the
	// daemon, for each call that had one.
	firstTokens []time.Duration
	cacheHints  []cacheHint
}

// haltMark records whether one daemon knows that the candidate is halted.
type haltMark struct {
	set bool
	at  time.Duration
}

// cacheHint is a cache event that daemons can see from visibleAt on.
type cacheHint struct {
	visibleAt time.Duration
	at        time.Duration // when the engine cached the prefix
	engine    int
	prefix    uint64
}

// router routes the requests of all daemons in a run.
type router interface {
	// handle is called when a request reaches its daemon.
	handle(q *request)
	// tick is called once per tickPeriod.
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
		w.qualityFactor = append(w.qualityFactor, 1)
		w.errorProbability = append(w.errorProbability, 0)
		w.badSince = append(w.badSince, -1)
	}
	w.enginesByVersion = make([][]*engine, len(load.Versions))
	for i := range load.Upstreams {
		u := &load.Upstreams[i]
		e := &engine{world: w, index: i, spec: u, zone: w.zoneIndex(u.AvailabilityZone), speed: u.SpeedFactor}
		w.engines = append(w.engines, e)
		for _, v := range u.Versions {
			w.enginesByVersion[index[v]] = append(w.enginesByVersion[index[v]], e)
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

// latency returns the one-way latency between a daemon and an engine.
func (w *world) latency(daemon int, e *engine) time.Duration {
	if w.daemonZone(daemon) == e.zone {
		return latencySameZone
	}
	return time.Duration(w.load.OneWayMsZones * float64(time.Millisecond))
}

func (w *world) reachable(daemon int, e *engine) bool {
	z := w.daemonZone(daemon)
	return z == e.zone || !w.zones[z].cutFromZones && !w.zones[e.zone].cutFromZones
}

func (w *world) platformReachable(daemon int) bool {
	return !w.platformDown && !w.zones[w.daemonZone(daemon)].cutFromPlatform
}

// isolated reports whether the evidence lease of a daemon has expired.
func (w *world) isolated(daemon int) bool {
	lost := w.zones[w.daemonZone(daemon)].evidenceLostAt
	return lost >= 0 && w.now-lost > evidenceLease
}

// noise returns a random factor on the service time of a call.
func (w *world) noise(c *call) float64 {
	u := uniformDraw(w.seed, 3, uint64(c.req.id), uint64(c.version), uint64(c.engine.index))
	v := uniformDraw(w.seed, 4, uint64(c.req.id), uint64(c.version), uint64(c.engine.index))
	normal := math.Sqrt(-2*math.Log(1-u)) * math.Cos(2*math.Pi*v)
	return math.Exp(serviceNoiseSigma * normal)
}

// trueQuality returns the current probability that the answer of a version to a
// request of a class is good.
func (w *world) trueQuality(version, class int) float64 {
	return w.load.Versions[version].GoodAnswer[w.load.Classes[class].Name] * w.qualityFactor[version]
}

// isGood reports whether the answer of a version to a request is good. Versions
// of one model share the random number, so calling the same model again does not
// help.
func (w *world) isGood(q *request, version int) bool {
	u := uniformDraw(w.seed, 5, uint64(q.id), uint64(w.modelOf[version]))
	return u < w.trueQuality(version, q.class)
}

// run simulates the arrivals with a router until the given time and returns the
// requests.
func (w *world) run(arrivals []*arrival, r router, until time.Duration) []*request {
	w.router = r
	for i := range w.zones {
		w.zones[i].evidenceLostAt = -1
	}
	for t := time.Duration(0); t < until; t += tickPeriod {
		w.at(t, w.tick)
	}
	for _, a := range arrivals {
		q := &request{arrival: a, version: -1}
		w.requests = append(w.requests, q)
		w.at(a.at+w.clientLatency(), func() { w.receiveRequest(q) })
	}
	w.runUntil(until)
	return w.requests
}

// receiveRequest passes a request to the router when it reaches its daemon, and
// ends it without an answer when the client leaves.
func (w *world) receiveRequest(q *request) {
	q.arrived = w.now
	w.after(q.deadline+q.abandonDelay, func() {
		if !q.done {
			q.done = true
			w.cancelOpenCalls(q)
		}
	})
	w.router.handle(q)
}

func (w *world) tick() {
	for z := range w.zones {
		w.updateEvidence(z)
	}
	for _, e := range w.engines {
		if e.down {
			continue
		}
		e.samples = append(e.samples, loadSample{at: w.now, running: len(e.running), queued: e.queueLength()})
	}
	w.router.tick()
}

// updateEvidence records since when a zone has had no evidence of the
// configuration, neither from the platform nor through another zone.
func (w *world) updateEvidence(z int) {
	fresh := !w.platformDown && !w.zones[z].cutFromPlatform
	for other := range w.zones {
		linked := !w.zones[z].cutFromZones && !w.zones[other].cutFromZones
		fresh = fresh || linked && !w.platformDown && !w.zones[other].cutFromPlatform
	}
	switch {
	case fresh:
		w.zones[z].evidenceLostAt = -1
	case w.zones[z].evidenceLostAt < 0:
		w.zones[z].evidenceLostAt = w.now
	}
}
