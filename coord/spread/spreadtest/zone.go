package spreadtest

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy selects the peers to which a zone spreads a change.
type Strategy int

// Strategies. With each of them, a zone notifies its peers when it learns of the
// change, and exchanges state with its peers once a second. The strategies differ
// in the choice of the peers.
const (
	// FullMesh chooses all other zones.
	FullMesh Strategy = iota
	// Gossip chooses Fanout random zones.
	Gossip
	// CriticalLinks chooses all zones to which fewer than MinPaths link-disjoint
	// paths are known, and Fanout random ones.
	CriticalLinks
)

// ZoneRegions is the number of regions. Zone i is in region i modulo ZoneRegions.
const ZoneRegions = 4

const (
	exchangeEvery = time.Second
	regionDelay   = 1500 * time.Microsecond // mean one-way delay within a region
	distantDelay  = 40 * time.Millisecond   // mean one-way delay between regions
	linkExpiry    = 5 * time.Second         // time after which a link that has not been seen again is ignored
	maxHops       = 8                       // longest path that a heartbeat records
)

// Average sizes of the messages of package spread, and of the heartbeats and hops
// that CriticalLinks adds to them.
const (
	notifyBytes    = 60
	requestBytes   = 70
	replyBytes     = 70
	changeBytes    = 900
	heartbeatBytes = 4
	hopBytes       = 1
)

// ZoneExperiment configures a simulation with one node per zone and one change.
type ZoneExperiment struct {
	Strategy Strategy
	// Fanout is the number of random peers of Gossip and CriticalLinks, and
	// MinPaths the number of known link-disjoint paths below which CriticalLinks
	// chooses a zone as a peer.
	Fanout   int
	MinPaths int
	Zones    int
	Seed     uint64
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// LinkDown reports whether a link fails. It is called once per link, with
	// a < b.
	LinkDown func(a, b int, rng *rand.Rand) bool
	// ChangeDelay is the time between the failure of the links and the change.
	ChangeDelay time.Duration
}

// ZoneResults holds the measurements of one run of a ZoneExperiment.
type ZoneResults struct {
	// Messages and Bytes count the messages that the change causes, and their
	// bytes.
	Messages, Bytes int
	// LastLearned is the time from the change until the last zone learned of it,
	// among the zones that have a path to the origin. Complete is true when all
	// of these zones learned of the change within the run.
	LastLearned time.Duration
	Complete    bool
	// Within1s is the share of the zones with a path to the origin that learned of
	// the change within 1 s.
	Within1s float64
	// IdleBytes is the number of bytes sent per zone and second before the change.
	IdleBytes float64
}

const (
	zoneWarmup = 10 * time.Second
	zoneRun    = 20 * time.Second
)

// heartbeat is a numbered heartbeat of a zone and the path of zones over which it
// arrived.
type heartbeat struct {
	seq  int
	path []int
}

type zone struct {
	id         int
	hasChange  bool
	learnedAt  time.Duration
	heartbeats []heartbeat
	linkSeen   [][]time.Duration // time when each link was last seen, by its two ends; 0 if never
}

type zoneRunner struct {
	timeline
	experiment  ZoneExperiment
	rng         *rand.Rand
	zones       []*zone
	linkDown    [][]bool
	linksFailed bool
	results     ZoneResults
	idleBytes   int
}

// MeasureZones runs the experiment and returns its results.
func MeasureZones(experiment ZoneExperiment) ZoneResults {
	r := &zoneRunner{experiment: experiment, rng: rand.New(rand.NewPCG(experiment.Seed, 1)), zones: make([]*zone, experiment.Zones), linkDown: squareMatrix[bool](experiment.Zones)}
	for i := range r.zones {
		z := &zone{id: i, heartbeats: make([]heartbeat, experiment.Zones), linkSeen: squareMatrix[time.Duration](experiment.Zones)}
		r.zones[i] = z
		r.after(time.Duration(r.rng.Int64N(int64(exchangeEvery))), func() { r.tick(z) })
	}
	for a := range experiment.Zones {
		for b := a + 1; b < experiment.Zones; b++ {
			r.linkDown[a][b] = experiment.LinkDown(a, b, r.rng)
			r.linkDown[b][a] = r.linkDown[a][b]
		}
	}
	r.Run(zoneWarmup)
	r.linksFailed = true
	r.Run(experiment.ChangeDelay)
	r.results.IdleBytes = float64(r.idleBytes) / r.now.Seconds() / float64(experiment.Zones)
	start := r.now
	r.learn(r.zones[0])
	r.Run(zoneRun)
	r.computeResults(start)
	return r.results
}

func squareMatrix[T any](n int) [][]T {
	s := make([][]T, n)
	for i := range s {
		s[i] = make([]T, n)
	}
	return s
}

// computeResults computes the results over the zones that have a path to the
// origin.
func (r *zoneRunner) computeResults(start time.Duration) {
	reachable, early := 0, 0
	r.results.Complete = true
	for _, z := range r.zones {
		if len(shortestPath(r.experiment.Zones, 0, z.id, func(a, b int) bool { return !r.linkDown[a][b] })) == 0 {
			continue
		}
		reachable++
		took := z.learnedAt - start
		switch {
		case !z.hasChange:
			r.results.Complete = false
			continue
		case took <= time.Second:
			early++
		}
		r.results.LastLearned = max(r.results.LastLearned, took)
	}
	r.results.Within1s = float64(early) / float64(reachable)
}

// send delivers a message unless the link is down or the message is lost.
func (r *zoneRunner) send(from, to *zone, deliver func()) {
	delay := regionDelay
	if from.id%ZoneRegions != to.id%ZoneRegions {
		delay = distantDelay
	}
	lost := r.experiment.Loss > 0 && r.rng.Float64() < r.experiment.Loss
	r.after(delay/2+time.Duration(r.rng.ExpFloat64()*float64(delay)/2), func() {
		if !lost && !(r.linksFailed && r.linkDown[from.id][to.id]) {
			deliver()
		}
	})
}

// countChangeMessage counts a message that is caused by the change.
func (r *zoneRunner) countChangeMessage(bytes int) {
	r.results.Messages++
	r.results.Bytes += bytes
}

func (r *zoneRunner) learn(z *zone) {
	if z.hasChange {
		return
	}
	z.hasChange, z.learnedAt = true, r.now
	for _, to := range r.choosePeers(z) {
		r.countChangeMessage(notifyBytes)
		r.send(z, to, func() {
			if !to.hasChange {
				r.pull(to, z)
			}
		})
	}
}

func (r *zoneRunner) pull(z, from *zone) {
	r.countChangeMessage(requestBytes)
	r.send(z, from, func() {
		r.countChangeMessage(replyBytes + changeBytes)
		r.send(from, z, func() { r.learn(z) })
	})
}

// tick sends the state and the heartbeats of z to its peers and schedules the next
// tick.
func (r *zoneRunner) tick(z *zone) {
	r.after(exchangeEvery, func() { r.tick(z) })
	z.heartbeats[z.id] = heartbeat{seq: z.heartbeats[z.id].seq + 1, path: []int{z.id}}
	for _, to := range r.choosePeers(z) {
		forwarded, size := r.heartbeatsOf(z)
		r.idleBytes += requestBytes + size
		r.send(z, to, func() {
			r.mergeHeartbeats(to, forwarded)
			if z.hasChange && !to.hasChange {
				r.pull(to, z)
			}
			r.reply(to, z)
		})
	}
}

func (r *zoneRunner) reply(from, to *zone) {
	forwarded, size := r.heartbeatsOf(from)
	r.idleBytes += replyBytes + size
	if from.hasChange && !to.hasChange {
		r.countChangeMessage(changeBytes)
	}
	hasChange := from.hasChange
	r.send(from, to, func() {
		r.mergeHeartbeats(to, forwarded)
		if hasChange {
			r.learn(to)
		}
	})
}

// choosePeers returns the peers of z according to the strategy.
func (r *zoneRunner) choosePeers(z *zone) []*zone {
	var others []*zone
	for _, other := range r.zones {
		if other != z {
			others = append(others, other)
		}
	}
	if r.experiment.Strategy == FullMesh {
		return others
	}
	r.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	chosen := slices.Clone(others[:r.experiment.Fanout])
	if r.experiment.Strategy == CriticalLinks {
		for _, other := range others[r.experiment.Fanout:] {
			if r.critical(z, other) {
				chosen = append(chosen, other)
			}
		}
	}
	return chosen
}
