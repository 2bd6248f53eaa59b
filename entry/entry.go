package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/internal/idleconn"
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// upstreamBatchDelay batches registrations that change in quick succession. It
	// is short compared with the 2 s within which a draining upstream must stop
	// receiving new requests.
	upstreamBatchDelay = 400 * time.Millisecond
	// readersPerZone is the number of VMs per zone that read the orders and the
	// registrations from the store; the others receive them from peers.
	readersPerZone = 1
	// confirmStatusAfter and maxStatusAge are the same for the progress of rollouts,
	// which must be acted on within 5 s.
	confirmStatusAfter = 2500 * time.Millisecond
	maxStatusAge       = 3200 * time.Millisecond
	// memoryLimitShare is the fraction of the VM's memory that is set as the soft
	// memory limit of the Go runtime.
	memoryLimitShare = 0.6
	// bufferedShare is the fraction of the VM's memory for response bodies that are
	// being read.
	bufferedShare = 0.12
	// receivedShare is the fraction of the VM's memory for long messages of peers that are
	// being received.
	receivedShare = 0.08
	// gcPercent is the GOGC value. It is above the default of 100, which trades
	// memory for less CPU time of the garbage collector; the heap is small.
	gcPercent = 200
	// maxPeerWait bounds the time for which a starting VM is not ready because it has not
	// heard from a peer.
	maxPeerWait = time.Second
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
)

// Names of the tables of the store in logs, in metrics and in messages between VMs.
const (
	tableOrders    = "orders"
	tableUpstreams = "upstreams"
	tableStatus    = "status"
	tableFindings  = "quarantine"
)

// Options configures an Entry.
type Options struct {
	Settings platform.Settings
	Log      *zap.Logger
	// SettingsPath is the file that Settings was loaded from. If it is not empty,
	// the file is reloaded when it changes or on SIGHUP.
	SettingsPath string
	// MetricsAddress is the IP:PORT at which metrics are served; empty for none.
	MetricsAddress string
	// DroppedLogLines returns the number of log lines that were dropped; it may be nil.
	DroppedLogLines func() uint64
}

// Entry is the router process of one VM.
type Entry struct {
	opts     Options
	log      *zap.Logger
	store    *platform.Store
	balancer *placement.Balancer
	pool     *exchange.Pool
	gateway  *gateway.Server
	budget   *retryBudget

	metrics  *gateway.Metrics
	rollouts *rollout.Manager
	// quarantine holds the parts of prompts that end upstreams.
	quarantine *quarantine.Tracker
	// fairness holds the engine time that organisations use.
	fairness *admission.Fairness
	fleet    *fleet.Fleet
	idle     *idleconn.Closer
	clients  *clients
	started  time.Time
	// peerListener is nil until Run starts the actors.
	peerListener atomic.Pointer[clientlimit.PeerListener]

	orders, upstreams, status, findings *mirror.Mirror
	tables                              map[string]*table

	configurationLoaded atomic.Bool
	upstreamsLoaded     atomic.Bool
	// configurationAt is the position of the last configuration row that was decoded,
	// valid or not. Only ordersChanged uses it, which is never called concurrently.
	configurationAt mirror.Position
	// drained holds the upstreams that were seen draining. Only upstreamsChanged uses it,
	// which is never called concurrently.
	drained        drainedUpstreams
	statusLoaded   atomic.Bool
	findingsLoaded atomic.Bool
	// streamed holds the services of streamed requests by name, nil before the first
	// configuration.
	streamed atomic.Pointer[map[string]bool]
	// registrations decodes the table of upstreams. Only upstreamsChanged uses it, which is
	// never called concurrently.
	registrations platform.UpstreamDecoder
	// registered holds the upstreams that are registered until the quarantine knows them.
	registered atomic.Pointer[[]placement.Upstream]
	// oddEvacuations holds the malformed rows of evacuations.
	oddEvacuations ignoredRows
	// releasesMu serialises setReleases, so that older counts do not replace newer ones.
	releasesMu sync.Mutex
	// nextFindings is the time from which findings of the quarantine may be written again.
	// Only the periodic tasks use it.
	nextFindings time.Time
	stopping     atomic.Bool
	// cold holds the upstreams that were logged as cold. Only the periodic tasks use it.
	cold map[placement.Instance]bool
	// evictedParts is the number of prompt parts that were forgotten, as it was logged last.
	// Only the periodic tasks use it.
	evictedParts uint64
	// heard is set once this VM has heard from a peer, or no longer waits for one.
	heard atomic.Bool
}

// New returns an Entry that does not run yet; Run starts it.
func New(opts Options) *Entry {
	s, r := opts.Settings, resourcesOf(opts.Settings)
	e := &Entry{
		opts: opts, log: opts.Log, started: time.Now(), metrics: gateway.NewMetrics(), pool: exchange.NewPool(),
		balancer: placement.NewBalancer(placement.Options{
			AvailabilityZone: s.AvailabilityZone, CacheLifetime: s.Bounds.CacheLifetime,
			LapseGrace: lapseGrace(s.Bounds), MaxHeld: r.promptParts,
		}),
		budget: newRetryBudget(s.Bounds), drained: drainedUpstreams{},
	}
	e.clients = e.newClients(r)
	e.store = platform.NewStore(s.StoreAddress, e.recordStoreCall)
	e.rollouts = rollout.New(rollout.Options{SessionIdle: s.Bounds.SessionIdle, Exposure: s.Bounds.ExposureShare, Log: opts.Log})
	e.fleet = fleet.New(fleet.Options{
		Self:        fleet.Member{VM: s.VM, AvailabilityZone: s.AvailabilityZone, Address: s.Peer, Capacity: s.Cores},
		Incarnation: e.started.UnixNano(), Seeds: s.Seeds, Node: e, Log: opts.Log, MaxReceived: r.messages,
	})
	e.updateRoster(e.started)
	e.quarantine = e.newQuarantine()
	e.fairness = admission.NewFairness()
	e.gateway = gateway.New(gateway.Options{
		Codec: platform.Codec{}, Balancer: e.balancer, Pool: e.pool, Splitter: e.rollouts, RetryBudget: e.budget, Log: opts.Log, Metrics: e.metrics, Quarantine: e.quarantine, Fairness: e.fairness, Announce: e.fleet.Announce, Outdated: e.ordersOutdated,
		MaxBuffered: r.responses,
	})
	e.tables = map[string]*table{}
	ages := copyAgesFor(s.Bounds)
	holds := holdTimesFor(s.Bounds)
	clock, reach, eras := &mirror.Clock{}, &mirror.Reach{}, &mirror.Eras{}
	sharedBy := func() float64 { return e.fleet.SharedBy(time.Now(), readersPerZone) }
	e.orders = e.addMirror(mirror.Options{
		Name: tableOrders, Table: e.store.Orders(), Passive: e.isPassive, Changed: e.ordersChanged, Hold: holds.orders, Compare: platform.CompareOrders,
		Wait: ages.confirm, MaxAge: ages.most, Clock: clock, Reach: reach, Eras: eras, SharedBy: sharedBy,
	})
	e.upstreams = e.addMirror(mirror.Options{
		Name: tableUpstreams, Table: e.store.Upstreams(), Passive: e.isPassive, Changed: e.upstreamsChanged, Hold: holds.registrations, Compare: platform.CompareRegistrations,
		BatchDelay: upstreamBatchDelay, Wait: ages.confirm, MaxAge: ages.most, Clock: clock, Reach: reach, Eras: eras, SharedBy: sharedBy,
	})
	// The VM of rank 0 writes the progress of rollouts and needs to see it at once;
	// the others receive the status table from peers. The manager of the rollouts keeps
	// what it knows of them when the store is restored, so that no row is held.
	passive := func() bool { return e.fleet.Rank(time.Now()) > 0 }
	e.status = e.addMirror(mirror.Options{
		Name: tableStatus, Table: e.store.Status(), Passive: passive, Changed: e.statusChanged,
		Wait: confirmStatusAfter, MaxAge: maxStatusAge, Clock: clock, Reach: reach, Eras: eras, SharedBy: sharedBy,
	})
	e.findings = e.addMirror(mirror.Options{
		Name: tableFindings, Table: e.store.Findings(), Passive: passive, Changed: e.findingsChanged, Hold: holds.orders,
		Clock: clock, Reach: reach, Eras: eras, SharedBy: sharedBy,
	})
	e.registerGauges(e.metrics.Set())
	return e
}

// isPassive reports whether a peer reads the store for this VM.
func (e *Entry) isPassive() bool { return !e.fleet.ReadsStore(time.Now(), readersPerZone) }

// addMirror adds the mirror of a table. A change that this VM has read from the
// store itself is announced to peers at once.
func (e *Entry) addMirror(o mirror.Options) *mirror.Mirror {
	changed := o.Changed
	o.Log = e.log
	o.Changed = func(c mirror.Change) {
		changed(c)
		if c.Source != mirror.Peer {
			e.fleet.AnnounceTableChange()
		}
	}
	m := mirror.New(o)
	e.tables[o.Name] = &table{Mirror: m, passive: o.Passive}
	return m
}

// Run serves until ctx ends, and then drains the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(e.opts.Settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	var g run.Group
	if err := e.addServers(&g); err != nil {
		return err
	}
	for _, m := range []*mirror.Mirror{e.findings, e.orders, e.upstreams, e.status} {
		e.addLoop(&g, m.Run)
	}
	if err := e.addMetrics(&g); err != nil {
		return err
	}
	e.addLoop(&g, e.runPeriodicTasks)
	e.addLoop(&g, e.watchSettings)
	if err := e.addFleet(&g); err != nil {
		return err
	}
	stopped := make(chan struct{})
	g.Add(func() error { return e.drain(ctx, stopped) }, func(error) { close(stopped) })
	e.log.Info("started", zap.Int("pid", os.Getpid()), zap.Strings("seeds", e.opts.Settings.Seeds))
	return g.Run()
}

// addLoop adds an actor that runs until the group ends.
func (e *Entry) addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { loop(ctx); return nil }, func(error) { cancel() })
}

// addServers adds the HTTP servers for clients and for readiness probes.
func (e *Entry) addServers(g *run.Group) error {
	s := e.opts.Settings
	e.idle = idleconn.New()
	front := &http.Server{
		Handler: e.gateway, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log), ConnContext: cutoff.ConnContext,
	}
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReady), MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log)}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{front, s.Front}, {ready, s.Ready}} {
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return oops.Wrapf(err, "listening at %s", l.address)
		}
		if l.server == front {
			listener = e.clients.front.Setup(front, listener, e.idle, refuseClient)
		} else {
			listener = e.clients.probes.Setup(ready, listener, idleconn.New(), refuseClient)
		}
		addServer(g, l.server, listener)
	}
	return nil
}

// addServer adds an HTTP server as an actor.
func addServer(g *run.Group, server *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return oops.Wrapf(err, "serving at %s", l.Addr())
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// serveReady answers the readiness probes of the platform's load balancer: 200 if
// the VM accepts new connections, 503 otherwise.
func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	if r.URL.Path == platform.ReadyPath && e.ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func (e *Entry) ready() bool {
	return e.configurationLoaded.Load() && e.upstreamsLoaded.Load() && !e.stopping.Load() && e.knowsPeers() && !e.ordersOutdated(time.Now())
}

// knowsPeers reports whether this VM has heard from a peer and has read the findings of the
// quarantine, or has waited long enough. Before that it does not know which prompts are kept
// from upstreams, nor what peers know better than a store that was restored.
func (e *Entry) knowsPeers() bool {
	if !e.heard.Load() && (e.fleet.Heard() && e.findingsLoaded.Load() && !e.lacksRows() || time.Since(e.started) > maxPeerWait) {
		e.heard.Store(true)
	}
	return e.heard.Load()
}

// ordersChanged applies the operator's evacuations, rollout orders and configuration. The
// evacuations come first, because the VM may be ready once it has a configuration. An invalid
// configuration leaves the previous one in force.
func (e *Entry) ordersChanged(c mirror.Change) {
	e.applyEvacuations(c)
	orders, problems := platform.DecodeOrders(c.Rows)
	e.setIgnored(tableOrders, problems, zap.ErrorLevel, "rollout order ignored")
	for _, o := range orders {
		if o.Era == c.Era {
			o.Base = c.Base
		}
		e.rollouts.SetOrder(o, c.At)
	}
	row, ok := c.Rows[platform.ConfigurationKey]
	if !ok || row.Position() == e.configurationAt {
		return
	}
	e.configurationAt = row.Position()
	snapshot, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		e.log.Error("configuration refused; the last one stays in force", zap.Int64("revision", row.Revision), zap.Error(err))
		return
	}
	if e.isOlderConfiguration(c, row, snapshot.Version) {
		e.log.Warn("configuration of the restored store ignored; the last one stays in force", zap.Int64("configuration", snapshot.Version),
			zap.Int64("in_force", e.gateway.Version()), zap.Int64("era", row.Era), zap.Int64("revision", row.Revision))
		return
	}
	e.streamed.Store(streamedServices(snapshot))
	e.balancer.SetColdLimits(coldLimits(snapshot, e.opts.Settings.Bounds))
	e.clients.setTimeouts(snapshot.Limits)
	e.balancer.SetMemory(engineMemory(snapshot))
	e.gateway.SetState(&gateway.State{Snapshot: snapshot, Revision: row.Revision})
	e.configurationLoaded.Store(true)
	e.log.Info("configuration in force", zap.Int64("configuration", snapshot.Version), zap.Int64("revision", row.Revision), zap.Int("routes", len(snapshot.Routes)))
}

// upstreamsChanged applies the registrations of upstreams. Invalid registrations are
// ignored.
func (e *Entry) upstreamsChanged(c mirror.Change) {
	list, problems := e.registrations.Decode(c.Rows)
	e.setIgnored(tableUpstreams, problems, zap.WarnLevel, "registration ignored")
	e.keepDraining(list, c)
	e.balancer.SetUpstreams(list, c.ConfirmedAt, c.At)
	e.registered.Store(&list)
	e.setReleases()
	e.upstreamsLoaded.Store(true)
	e.log.Info("upstreams changed", zap.Int("upstreams", len(list)), zap.Int("ignored", len(problems)), zap.Int64("revision", c.Revision))
}
