package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/share"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/internal/idleconn"
	"github.com/savoryshift/savoryshift/internal/sockopt"
	"github.com/savoryshift/savoryshift/peer"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/upstream"
)

// Options configures a Daemon.
type Options struct {
	Settings settings.Settings
	// Logger defaults to one that discards.
	Logger *zap.Logger
	// Callers, Operators and Peers are listeners to use in place of the
	// addresses in Settings.
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
	// Dial opens the connections to the platform, upstreams and other daemons. It
	// defaults to that of a net.Dialer.
	Dial DialFunc
	// Clock measures the evidence lease and the control lease. It defaults to the
	// clocks of the operating system; tests on virtual time replace it.
	Clock evidence.Clock
}

// Daemon is the process that runs on an entry VM.
type Daemon struct {
	opts       Options
	logger     *zap.Logger
	platform   *infra.Client
	config     *configuration
	claimer    *claim.Claimer
	ledger     *ledger.Ledger
	upstream   *upstream.Client
	routing    *routing
	guards     *guards
	proxy      *proxy.Server
	acceptance *acceptance
	leadership *leadership
	learning   *learning
	registry   *registry
	peerClient *peer.Client
	peerServer *peer.Server
	sweeper    *claim.Sweeper
	shares     *share.Manager
	reclaimer  *reclaimer
	control    *control
	// callerConns are the connections of callers, operatorConns those of operators.
	callerConns, operatorConns *idleconn.Closer
	// callerLimit and operatorLimit bound what they use.
	callerLimit, operatorLimit *clientlimit.Limiter
	// peerConns bounds the connections of other daemons.
	peerConns *clientlimit.PeerListener
	// draining is set when a planned stop begins.
	draining atomic.Bool
	// stopBy is when a planned stop ends the requests that still run. It is set and
	// read by the goroutine that interrupts the actors.
	stopBy time.Time
}

// New builds a daemon and binds its listeners. It starts no goroutine.
func New(opts Options) (*Daemon, error) {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout, Control: sockopt.LimitUnacked(unackedTimeout)}).DialContext
	}
	d := &Daemon{opts: opts, logger: opts.Logger, callerConns: idleconn.New(), operatorConns: idleconn.New()}
	d.buildClientLimits()
	d.buildConfiguration()
	if err := d.connectPeers(); err != nil {
		return nil, err
	}
	d.buildCoordination()
	d.buildControl()
	if err := d.buildProxy(); err != nil {
		return nil, err
	}
	var err error
	if d.peerServer, err = d.newPeerServer(); err != nil {
		return nil, err
	}
	return d, d.listen()
}

// haltCandidate halts the candidate of a rollout after the guard has found it worse.
func (d *Daemon) haltCandidate(version, rollout, reason string) {
	d.logger.Warn("candidate halted", zap.String("version", version), zap.String("rollout", rollout), zap.String("reason", reason))
	if err := d.config.halt(d.config.runCtx, version, rollout, reason); err != nil {
		d.logger.Error("halt mark was not accepted", zap.String("version", version), zap.Error(err))
	}
}

// Run starts the daemon and returns after a graceful shutdown, which begins
// when ctx ends or an actor fails. Actors are interrupted in the order in which
// they are added: the caller listener first, so that requests in flight can
// still use all other components.
func (d *Daemon) Run(ctx context.Context) error {
	for _, w := range d.opts.Settings.Warnings() {
		d.logger.Warn("setting with a drawback", zap.String("path", w.Path), zap.String("value", w.Value), zap.String("advised", w.Allowed))
	}
	var g run.Group
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error { <-stop.Done(); return nil }, func(error) { cancel(); d.leaveBalancer() })
	d.addCallers(&g)
	d.addLedger(&g)
	d.addPeers(&g)
	d.addLearning(&g)
	d.addLoop(&g, d.config.Run)
	d.addLoop(&g, d.registry.Run)
	d.addLoop(&g, d.control.Run)
	d.addLoop(&g, d.leadership.Run)
	d.addLoop(&g, d.sweeper.Run)
	d.addLimits(&g)
	d.addLoop(&g, d.claimer.Run)
	d.addOperators(&g)
	return g.Run()
}

// leaveBalancer makes the readiness check fail and waits for the readiness delay,
// in which the load balancer stops sending requests. Requests that end before the
// stop does are still accepted.
func (d *Daemon) leaveBalancer() {
	d.draining.Store(true)
	d.stopBy = time.Now().Add(d.opts.Settings.LongestStop())
	d.proxy.StopBy(d.stopBy)
	d.logger.Info("planned stop: readiness fails")
	<-time.After(d.opts.Settings.Periods.ReadinessDelayMs.Duration())
}

// addLoop adds an actor that runs until its context ends.
func (d *Daemon) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// flushTimeout bounds the flush of the ledger and of the outcomes of bookings at a planned
// stop.
const flushTimeout = 10 * time.Second

// addLedger adds the ledger. Its interrupt returns when all entries are flushed
// or handed over to other daemons and the outcomes of all bookings are stored, or after
// flushTimeout.
func (d *Daemon) addLedger(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.ledger.Run(ctx) }, func(error) {
		defer cancel()
		flushCtx, done := context.WithTimeout(context.Background(), flushTimeout)
		defer done()
		var claims sync.WaitGroup
		claims.Go(func() { d.closeClaims(flushCtx) })
		defer claims.Wait()
		if err := d.ledger.Drain(flushCtx); err != nil {
			d.logger.Error("ledger was not drained", zap.Error(err))
		}
	})
}

// closeClaims waits until the outcomes of bookings that are answered, and the releases of
// claims, are stored. Without them a repeat of such a booking gets no outcome.
func (d *Daemon) closeClaims(ctx context.Context) {
	if err := d.claimer.Close(ctx); err != nil {
		d.logger.Error("outcomes of bookings were not stored", zap.Error(err))
	}
}
