package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// settleUpstreams collects registrations that change together. It is small
	// beside the time in which a leaving upstream must get no more work (2 s).
	settleUpstreams = 400 * time.Millisecond
	// orderReaders and upstreamReaders are the VMs of a zone that read the tables
	// from the store. A configuration must be in force within 2 s, so that a
	// second reader covers for one that stalls. Registrations change far more
	// often, and the readers of the other zones cover for a single one here.
	orderReaders    = 2
	upstreamReaders = 1
	// upstreamWait is below the default, because fewer readers make it likelier
	// that all of them wait for an answer that was lost.
	upstreamWait = 6 * time.Second
	// memoryShare is the part of the machine's memory that the runtime aims at.
	memoryShare = 0.6
	// gcPercent trades a little memory for less processor time; the heap is small.
	gcPercent = 200
	// headerTimeout and idleTimeout hold until a configuration is known. Callers
	// reuse connections that were idle for most of the configured timeout.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
)

// Options configures an Entry.
type Options struct {
	Settings platform.Settings
	Log      *zap.Logger
	// SettingsPath is the file that Settings came from; it is followed if set.
	SettingsPath string
	// MetricsAddress is IP:PORT of the metrics, empty for none.
	MetricsAddress string
	// DroppedLogLines returns the number of log lines that were lost.
	DroppedLogLines func() uint64
}

// Entry is the router of one VM.
type Entry struct {
	o       Options
	log     *zap.Logger
	store   *platform.Store
	book    *placement.Balancer
	pool    *exchange.Pool
	gateway *gateway.Server
	budget  *retryBudget

	metrics  *gateway.Metrics
	rollouts *rollout.Manager
	fleet    *fleet.Fleet
	idle     *idleCloser
	started  time.Time

	orders, upstreams, status *mirror.Mirror
	tables                    map[string]*table

	configured atomic.Bool
	listed     atomic.Bool
	// configurationRevision is used by the mirror of the orders only.
	configurationRevision int64
	statusKnown           atomic.Bool
	stopping              atomic.Bool
}

// New returns an entry that is not running.
func New(o Options) *Entry {
	s := o.Settings
	e := &Entry{
		o: o, log: o.Log, started: time.Now(), metrics: gateway.NewMetrics(), pool: exchange.NewPool(),
		book: placement.NewBalancer(placement.Options{
			AvailabilityZone: s.AvailabilityZone, CacheLifetime: s.Bounds.CacheLifetime,
			LapseGrace: min(placement.DefaultLapseGrace, s.Bounds.Drain*3/4),
		}),
		budget: newRetryBudget(s.Bounds),
	}
	e.store = platform.NewStore(s.StoreAddress, e.storeCalled)
	e.rollouts = rollout.New(rollout.Options{SessionIdle: s.Bounds.SessionIdle, Exposure: s.Bounds.ExposureShare, Log: o.Log})
	e.fleet = fleet.New(fleet.Options{
		Self:        fleet.Member{VM: s.VM, AvailabilityZone: s.AvailabilityZone, Address: s.Peer, Capacity: s.Cores},
		Incarnation: e.started.UnixNano(), Seeds: s.Seeds, Node: e, Log: o.Log,
	})
	e.gateway = gateway.New(gateway.Options{
		Codec: platform.Codec{}, Balancer: e.book, Pool: e.pool, Splitter: e.rollouts, RetryBudget: e.budget, Log: o.Log, Metrics: e.metrics, AnnounceLoad: e.fleet.AnnounceLoad,
	})
	e.tables = map[string]*table{}
	e.orders = e.follow(mirror.Options{Name: "orders", Table: e.store.Orders(), Passive: e.readers(orderReaders), Changed: e.ordersChanged})
	e.upstreams = e.follow(mirror.Options{
		Name: "upstreams", Table: e.store.Upstreams(), Passive: e.readers(upstreamReaders), Changed: e.upstreamsChanged,
		BatchDelay: settleUpstreams, Wait: upstreamWait,
	})
	// Only the VM that writes the progress of rollouts needs to see it at once.
	others := func() bool { return e.fleet.Rank(time.Now()) > 0 }
	e.status = e.follow(mirror.Options{Name: "status", Table: e.store.Status(), Passive: others, Changed: e.statusChanged})
	e.publish(e.metrics.Set())
	return e
}

// readers reports whether peers read a table for this VM, when so many VMs of
// each zone read it.
func (e *Entry) readers(perZone int) func() bool {
	return func() bool { return !e.fleet.ReadsStore(time.Now(), perZone) }
}

// follow returns the mirror of a table. A change that this VM has read itself is
// told to peers at once.
func (e *Entry) follow(o mirror.Options) *mirror.Mirror {
	changed := o.Changed
	o.Log = e.log
	o.Changed = func(c mirror.Copy, now time.Time) {
		changed(c, now)
		if !o.Passive() {
			e.fleet.AnnounceTableChange()
		}
	}
	m := mirror.New(o)
	e.tables[o.Name] = &table{Mirror: m, passive: o.Passive}
	return m
}

// Run serves until ctx ends, and then drains.
func (e *Entry) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(e.o.Settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	var g run.Group
	if err := e.addServers(&g); err != nil {
		return err
	}
	for _, m := range []*mirror.Mirror{e.orders, e.upstreams, e.status} {
		e.addLoop(&g, m.Run)
	}
	if err := e.addMetrics(&g); err != nil {
		return err
	}
	e.addLoop(&g, e.control)
	e.addLoop(&g, e.watchSettings)
	if err := e.addFleet(&g); err != nil {
		return err
	}
	stopped := make(chan struct{})
	g.Add(func() error { return e.drain(ctx, stopped) }, func(error) { close(stopped) })
	e.log.Info("started", zap.Int("pid", os.Getpid()), zap.Strings("seeds", e.o.Settings.Seeds))
	return g.Run()
}

// addLoop adds an actor that runs until the group ends.
func (e *Entry) addLoop(g *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { loop(ctx); return nil }, func(error) { cancel() })
}

// addServers adds the listeners for callers and for the balancer.
func (e *Entry) addServers(g *run.Group) error {
	s := e.o.Settings
	e.idle = newIdleCloser()
	front := &http.Server{
		Handler: e.gateway, ConnState: e.idle.state, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(e.log),
	}
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(e.log)}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{front, s.Front}, {ready, s.Ready}} {
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return oops.Wrapf(err, "listening at %s", l.address)
		}
		if l.server == front {
			listener = e.idle.wrap(listener)
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

// serveReady answers the balancer's question whether new connections may come.
func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusServiceUnavailable
	if r.URL.Path == platform.ReadyPath && e.ready() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func (e *Entry) ready() bool {
	return e.configured.Load() && e.listed.Load() && !e.stopping.Load()
}

const (
	// drainPoll is the pause between looks whether the last request has ended.
	drainPoll = 50 * time.Millisecond
	// minDrain is how long a stopping VM serves at least: the balancer asks once
	// a second and turns away after two misses.
	minDrain = 3500 * time.Millisecond
	// closeIdleAfter is when a stopping VM closes kept connections without a
	// request: the balancer has turned away, so their clients come to other VMs.
	closeIdleAfter = 2200 * time.Millisecond
	// graceMargin is left of the grace period for the end of the process.
	graceMargin = 300 * time.Millisecond
)

// drain waits for the request to stop, and then until the last request has
// ended or the grace period is over.
func (e *Entry) drain(ctx context.Context, stopped <-chan struct{}) error {
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
	}
	now := time.Now()
	e.stopping.Store(true)
	e.gateway.Stop(now)
	e.fleet.SetStopping()
	e.log.Info("stopping", zap.Int("active", e.gateway.Active()))
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for since := time.Duration(0); since < e.o.Settings.Bounds.Grace-graceMargin; since = time.Since(now) {
		if since >= closeIdleAfter {
			e.idle.CloseIdle()
		}
		if since >= minDrain && e.gateway.Active() == 0 {
			break
		}
		<-tick.C
	}
	e.log.Info("stopped", zap.Int("active", e.gateway.Active()), zap.Duration("took", time.Since(now)))
	return nil
}

// ordersChanged takes over the operator's rows.
func (e *Entry) ordersChanged(c mirror.Copy, now time.Time) {
	orders, problems := platform.DecodeOrders(c.Rows)
	for _, err := range problems {
		e.log.Error("rollout order ignored", zap.Error(err))
	}
	for _, o := range orders {
		e.rollouts.SetOrder(o, now)
	}
	row, ok := c.Rows[platform.ConfigurationKey]
	if !ok || row.Revision == e.configurationRevision {
		return
	}
	e.configurationRevision = row.Revision
	snapshot, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		e.log.Error("configuration refused; the last one stays in force", zap.Int64("revision", row.Revision), zap.Error(err))
		return
	}
	e.gateway.SetState(&gateway.State{Snapshot: snapshot, Revision: row.Revision})
	e.configured.Store(true)
	e.log.Info("configuration in force", zap.Int64("configuration", snapshot.Version), zap.Int64("revision", row.Revision), zap.Int("routes", len(snapshot.Routes)))
}

// upstreamsChanged takes over the registrations of upstreams.
func (e *Entry) upstreamsChanged(c mirror.Copy, now time.Time) {
	list := make([]placement.Upstream, 0, len(c.Rows))
	for id, row := range c.Rows {
		u, err := platform.DecodeUpstream(id, row.Value)
		if err != nil {
			e.log.Warn("registration ignored", zap.String("upstream", id), zap.Error(err))
			continue
		}
		list = append(list, u)
	}
	e.book.SetUpstreams(list, now)
	releases := map[string]map[string]int{}
	for _, u := range list {
		if releases[u.Service] == nil {
			releases[u.Service] = map[string]int{}
		}
		releases[u.Service][u.Release]++
	}
	for service, r := range releases {
		e.rollouts.SetReleases(service, r)
	}
	e.listed.Store(true)
	e.log.Info("upstreams changed", zap.Int("upstreams", len(list)), zap.Int64("revision", c.Revision))
}
