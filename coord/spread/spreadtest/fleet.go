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
	// Nodes is the number of hosts, which are distributed evenly over the given
	// number of Zones.
	Nodes, Zones int
	// Seed is the seed of the random phases, delays and losses.
	Seed uint64
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// ZoneDelay and RemoteDelay are the mean one-way delays within a zone and
	// between zones; default 0.5 ms and 1.5 ms.
	ZoneDelay, RemoteDelay time.Duration
	// Metered enables the counting of encoded bytes, which takes most of the
	// processor time of a run.
	Metered bool
	// Keep is changelog.FollowerOptions.Keep of the followers.
	Keep int
	// Apply is changelog.FollowerOptions.Apply of the followers.
	Apply func(state, patch []byte) ([]byte, error)
	// Table wraps the table of the platform; default no wrapper.
	Table func(store.Table) store.Table
	// Hooks switch off mechanisms, for negative-control tests.
	Hooks Hooks
}

// Hooks replace mechanisms of the nodes. The zero value keeps all mechanisms.
type Hooks struct {
	// Reply alters a reply before it is handled.
	Reply func(*spread.SyncReply)
	// CountFromReceipt counts the age of evidence from the arrival of a reply
	// instead of from the sending of the request.
	CountFromReceipt bool
	// FrozenClockStops makes the lease's clocks stop while a host is frozen.
	FrozenClockStops bool
	// InForce returns the revision to put in force after a reply, given the
	// follower's verified revision; the default is the latter.
	InForce func(r spread.SyncReply, verified int64) int64
}

// Fleet is a set of simulated hosts with one platform. It is not safe for
// concurrent use.
type Fleet struct {
	Hosts []*Host
	// Store is the store of the platform, Log the change log in it.
	Store *memstore.Store
	Log   *changelog.Log
	// Zones holds the names of the zones.
	Zones []string
	// LinkCut reports whether messages between two zones are lost.
	LinkCut func(from, to string) bool
	// PlatformCut holds the zones that cannot reach the platform.
	PlatformCut map[string]bool
	// ExtraDelay is added to the delay of each message.
	ExtraDelay time.Duration
	// Observe is called for a host after each of its ticks.
	Observe func(*Host)

	timeline
	options Options
	rng     *rand.Rand
	byID    map[string]*Host
}

// New returns a fleet of running hosts, each of which has the ids of all hosts as
// the platform's list.
func New(options Options) *Fleet {
	if options.ZoneDelay == 0 {
		options.ZoneDelay = defaultZoneDelay
	}
	if options.RemoteDelay == 0 {
		options.RemoteDelay = defaultRemoteDelay
	}
	s := memstore.New()
	var table store.Table = s
	if options.Table != nil {
		table = options.Table(s)
	}
	f := &Fleet{
		Store: s, options: options, rng: rand.New(rand.NewPCG(options.Seed, 0)),
		LinkCut:     func(string, string) bool { return false },
		PlatformCut: make(map[string]bool),
		Observe:     func(*Host) {},
		byID:        make(map[string]*Host),
	}
	f.Log = changelog.New(changelog.Options{Table: table, Objects: s.Objects(), Now: f.WallNow})
	for z := range options.Zones {
		f.Zones = append(f.Zones, fmt.Sprintf("region%d-zone%02d", z%4, z))
	}
	for i := range options.Nodes {
		h := &Host{ID: fmt.Sprintf("%s/vm-%04d", f.Zones[i%options.Zones], i), Zone: f.Zones[i%options.Zones], fleet: f, meter: newMeter()}
		f.Hosts = append(f.Hosts, h)
		f.byID[h.ID] = h
	}
	for _, h := range f.Hosts {
		h.start()
	}
	return f
}

// WallNow returns the current virtual time as a wall-clock time.
func (f *Fleet) WallNow() time.Time { return epoch.Add(f.now) }

// IDs returns the ids of all hosts.
func (f *Fleet) IDs() []string {
	ids := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		ids[i] = h.ID
	}
	return ids
}

// delay returns a random delay with the given mean: half of the mean plus an
// exponentially distributed part.
func (f *Fleet) delay(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.rng.ExpFloat64()*float64(mean)/2)
}

// deliver runs handle at the receiver after the network delay, unless the
// message is lost. A frozen receiver handles it when it resumes.
func (f *Fleet) deliver(from, to *Host, handle func()) {
	mean := f.options.RemoteDelay
	if from.Zone == to.Zone {
		mean = f.options.ZoneDelay
	}
	if f.options.Loss > 0 && f.rng.Float64() < f.options.Loss {
		return
	}
	process := to.process
	f.after(f.delay(mean)+f.ExtraDelay, func() {
		// The link is checked at the arrival, so a cut also drops messages in
		// flight.
		if from.Zone == to.Zone || !f.LinkCut(from.Zone, to.Zone) {
			to.run(process, handle)
		}
	})
}
