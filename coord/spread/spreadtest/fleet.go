package spreadtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/coord/store"
)

const (
	tickEvery          = 100 * time.Millisecond
	defaultZoneDelay   = 500 * time.Microsecond
	defaultRemoteDelay = 1500 * time.Microsecond
	defaultReadDelay   = 5 * time.Millisecond
)

// epoch is the wall-clock time at which the virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options configures a Fleet.
type Options struct {
	// Nodes are spread evenly over Zones.
	Nodes, Zones int
	// Seed decides the phases, delays and losses.
	Seed uint64
	// Loss is the share of messages lost. Range: 0 to 1.
	Loss float64
	// ZoneDelay and RemoteDelay are the mean one-way delays within a zone and
	// between zones; default 0.5 ms and 1.5 ms.
	ZoneDelay, RemoteDelay time.Duration
	// Metered counts encoded bytes, which costs most of the time of a run.
	Metered bool
	// Keep is the number of recent changes that a follower keeps for others;
	// default that of package changelog.
	Keep int
	// Apply is the Apply function of the followers.
	Apply func(state, patch []byte) ([]byte, error)
	// Table wraps the table of the platform; default no wrapper.
	Table func(store.Table) store.Table
	// Hooks replace mechanisms, for tests that prove themselves able to fail.
	Hooks Hooks
}

// Hooks replace mechanisms of the nodes; nil keeps the mechanism.
type Hooks struct {
	// Reply alters a reply before it is handled.
	Reply func(*spread.SyncReply)
	// CountFromReceipt counts the age of evidence from the arrival of a reply
	// instead of from the sending of the request.
	CountFromReceipt bool
	// FrozenClockStops makes the lease's clocks stop while a host is frozen.
	FrozenClockStops bool
	// InForce chooses the revision put in force after a reply; the default is
	// the follower's.
	InForce func(r spread.SyncReply, proven int64) int64
}

// Fleet is a set of hosts with one platform. It is not safe for concurrent use.
type Fleet struct {
	Hosts []*Host
	// Store is the platform, Log the change log in it.
	Store *memstore.Store
	Log   *changelog.Log
	// Zones are the names of the zones.
	Zones []string
	// LinkCut says whether messages between two zones are lost.
	LinkCut func(from, to string) bool
	// PlatformCut holds the zones that cannot reach the platform.
	PlatformCut map[string]bool
	// Slow is added to the delay of each message.
	Slow time.Duration
	// Observe is called for a host after each of its ticks.
	Observe func(*Host)

	timeline
	o    Options
	rng  *rand.Rand
	byID map[string]*Host
}

// New returns a fleet whose hosts all know each other's ids.
func New(o Options) *Fleet {
	if o.ZoneDelay == 0 {
		o.ZoneDelay = defaultZoneDelay
	}
	if o.RemoteDelay == 0 {
		o.RemoteDelay = defaultRemoteDelay
	}
	s := memstore.New()
	var table store.Table = s
	if o.Table != nil {
		table = o.Table(s)
	}
	f := &Fleet{
		Store: s, o: o, rng: rand.New(rand.NewPCG(o.Seed, 0)),
		LinkCut:     func(string, string) bool { return false },
		PlatformCut: make(map[string]bool),
		Observe:     func(*Host) {},
		byID:        make(map[string]*Host),
	}
	f.Log = changelog.New(changelog.Options{Table: table, Objects: s.Objects(), Now: f.WallNow})
	for z := range o.Zones {
		f.Zones = append(f.Zones, fmt.Sprintf("region%d-zone%02d", z%4, z))
	}
	for i := range o.Nodes {
		h := &Host{ID: fmt.Sprintf("%s/vm-%04d", f.Zones[i%o.Zones], i), Zone: f.Zones[i%o.Zones], fleet: f, meter: newMeter()}
		f.Hosts = append(f.Hosts, h)
		f.byID[h.ID] = h
	}
	for _, h := range f.Hosts {
		h.start()
	}
	return f
}

// WallNow returns the virtual wall-clock time.
func (f *Fleet) WallNow() time.Time { return epoch.Add(f.now) }

// IDs returns the ids of all hosts.
func (f *Fleet) IDs() []string {
	ids := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		ids[i] = h.ID
	}
	return ids
}

// delay returns a random delay with the given mean, between half and twice it.
func (f *Fleet) delay(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.rng.ExpFloat64()*float64(mean)/2)
}

// deliver runs handle at the receiver after the network delay, unless the
// message is lost. A frozen receiver handles it when it resumes.
func (f *Fleet) deliver(from, to *Host, handle func()) {
	mean := f.o.RemoteDelay
	if from.Zone == to.Zone {
		mean = f.o.ZoneDelay
	}
	if f.o.Loss > 0 && f.rng.Float64() < f.o.Loss {
		return
	}
	process := to.process
	f.after(f.delay(mean)+f.Slow, func() {
		// A cut also hits what is under way.
		if from.Zone == to.Zone || !f.LinkCut(from.Zone, to.Zone) {
			to.run(process, handle)
		}
	})
}
