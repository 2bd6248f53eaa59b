package spreadtest

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Strategy is a way of spreading a change between zones.
type Strategy int

// Strategies. All of them notify peers when a change is learned, and exchange
// state with peers once a second; they differ in the choice of the peers.
const (
	// FullMesh chooses all other zones.
	FullMesh Strategy = iota
	// Gossip chooses Fanout random zones.
	Gossip
	// CriticalLinks chooses all zones to which fewer than K link-disjoint paths
	// are known, and Fanout random ones.
	CriticalLinks
)

// ZoneRegions is the number of regions that the zones are spread over.
const ZoneRegions = 4

const (
	exchangeEvery = time.Second
	regionDelay   = 1500 * time.Microsecond // one way, within a region
	distantDelay  = 40 * time.Millisecond   // one way, between regions
	linkExpiry    = 5 * time.Second         // age at which a seen link is forgotten
	maxHops       = 8                       // longest path that a heartbeat records
)

// Sizes of messages, as the messages of package spread have on average, and of
// what CriticalLinks adds to them.
const (
	notifyBytes    = 60
	requestBytes   = 70
	replyBytes     = 70
	changeBytes    = 900
	heartbeatBytes = 4
	hopBytes       = 1
)

// ZonePlan is an experiment with one node per zone and one change.
type ZonePlan struct {
	Strategy Strategy
	Fanout   int
	K        int
	Zones    int
	Seed     uint64
	// Loss is the share of messages lost. Range: 0 to 1.
	Loss float64
	// Down says which links fail. It is called once per link, with a < b.
	Down func(a, b int, rng *rand.Rand) bool
	// Settled is the time between the failure and the change.
	Settled time.Duration
}

// ZoneFigures are the results of one run.
type ZoneFigures struct {
	// Messages and Bytes are those caused by the change.
	Messages, Bytes int
	// Last is the time until the last zone that has a path to the origin knew
	// the change; Complete says whether all of them did within the run.
	Last     time.Duration
	Complete bool
	// Within1s is the share of those zones that knew the change after 1 s.
	Within1s float64
	// IdleBytes are sent per zone and second when nothing changes.
	IdleBytes float64
}

const (
	zoneWarmup = 10 * time.Second
	zoneRun    = 20 * time.Second
)

// heartbeat is the newest sign of life of a zone and the way that it took.
type heartbeat struct {
	seq  int
	path []int
}

type zone struct {
	id         int
	knows      bool
	knewAt     time.Duration
	heartbeats []heartbeat
	linkSeen   [][]time.Duration // by the two ends; 0: never
}

type zoneRunner struct {
	timeline
	p      ZonePlan
	rng    *rand.Rand
	zones  []*zone
	down   [][]bool
	failed bool
	f      ZoneFigures
	idle   int
}

// MeasureZones runs the experiment.
func MeasureZones(p ZonePlan) ZoneFigures {
	r := &zoneRunner{p: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), zones: make([]*zone, p.Zones), down: square[bool](p.Zones)}
	for i := range r.zones {
		z := &zone{id: i, heartbeats: make([]heartbeat, p.Zones), linkSeen: square[time.Duration](p.Zones)}
		r.zones[i] = z
		r.after(time.Duration(r.rng.Int64N(int64(exchangeEvery))), func() { r.tick(z) })
	}
	for a := range p.Zones {
		for b := a + 1; b < p.Zones; b++ {
			r.down[a][b] = p.Down(a, b, r.rng)
			r.down[b][a] = r.down[a][b]
		}
	}
	r.Run(zoneWarmup)
	r.failed = true
	r.Run(p.Settled)
	r.f.IdleBytes = float64(r.idle) / r.now.Seconds() / float64(p.Zones)
	start := r.now
	r.learn(r.zones[0])
	r.Run(zoneRun)
	r.finish(start)
	return r.f
}

func square[T any](n int) [][]T {
	s := make([][]T, n)
	for i := range s {
		s[i] = make([]T, n)
	}
	return s
}

// finish computes the figures over the zones that have a path to the origin.
func (r *zoneRunner) finish(start time.Duration) {
	reachable, early := 0, 0
	r.f.Complete = true
	for _, z := range r.zones {
		if len(shortestPath(r.p.Zones, 0, z.id, func(a, b int) bool { return !r.down[a][b] })) == 0 {
			continue
		}
		reachable++
		took := z.knewAt - start
		switch {
		case !z.knows:
			r.f.Complete = false
			continue
		case took <= time.Second:
			early++
		}
		r.f.Last = max(r.f.Last, took)
	}
	r.f.Within1s = float64(early) / float64(reachable)
}

// send delivers a message unless the link is down or the message is lost.
func (r *zoneRunner) send(from, to *zone, deliver func()) {
	delay := regionDelay
	if from.id%ZoneRegions != to.id%ZoneRegions {
		delay = distantDelay
	}
	lost := r.p.Loss > 0 && r.rng.Float64() < r.p.Loss
	r.after(delay/2+time.Duration(r.rng.ExpFloat64()*float64(delay)/2), func() {
		if !lost && !(r.failed && r.down[from.id][to.id]) {
			deliver()
		}
	})
}

// spend counts a message that the change has caused.
func (r *zoneRunner) spend(bytes int) {
	r.f.Messages++
	r.f.Bytes += bytes
}

func (r *zoneRunner) learn(z *zone) {
	if z.knows {
		return
	}
	z.knows, z.knewAt = true, r.now
	for _, to := range r.choose(z) {
		r.spend(notifyBytes)
		r.send(z, to, func() {
			if !to.knows {
				r.pull(to, z)
			}
		})
	}
}

func (r *zoneRunner) pull(z, from *zone) {
	r.spend(requestBytes)
	r.send(z, from, func() {
		r.spend(replyBytes + changeBytes)
		r.send(from, z, func() { r.learn(z) })
	})
}

// tick exchanges state with the chosen peers.
func (r *zoneRunner) tick(z *zone) {
	r.after(exchangeEvery, func() { r.tick(z) })
	z.heartbeats[z.id] = heartbeat{seq: z.heartbeats[z.id].seq + 1, path: []int{z.id}}
	for _, to := range r.choose(z) {
		beats, extra := r.beats(z)
		r.idle += requestBytes + extra
		r.send(z, to, func() {
			r.takeBeats(to, beats)
			if z.knows && !to.knows {
				r.pull(to, z)
			}
			r.reply(to, z)
		})
	}
}

func (r *zoneRunner) reply(from, to *zone) {
	beats, extra := r.beats(from)
	r.idle += replyBytes + extra
	if from.knows && !to.knows {
		r.spend(changeBytes)
	}
	knows := from.knows
	r.send(from, to, func() {
		r.takeBeats(to, beats)
		if knows {
			r.learn(to)
		}
	})
}

// choose returns the peers according to the strategy.
func (r *zoneRunner) choose(z *zone) []*zone {
	var others []*zone
	for _, other := range r.zones {
		if other != z {
			others = append(others, other)
		}
	}
	if r.p.Strategy == FullMesh {
		return others
	}
	r.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	chosen := slices.Clone(others[:r.p.Fanout])
	if r.p.Strategy == CriticalLinks {
		for _, other := range others[r.p.Fanout:] {
			if r.critical(z, other) {
				chosen = append(chosen, other)
			}
		}
	}
	return chosen
}
