package daemon

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/coord/claim"
	"github.com/savoryshift/savoryshift/coord/fence"
	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/share"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/session"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	dialTimeout = 2 * time.Second
	// unackedTimeout bounds the time for which sent bytes may be unacknowledged, also
	// after the call that sent them was given up.
	unackedTimeout = 2 * time.Second
	// platformIdleConns is the number of idle connections kept to the platform.
	platformIdleConns = 64
)

// buildConfiguration builds the platform client, the configuration that follows
// the change log, the registry of peer addresses and the acceptance check.
func (d *Daemon) buildConfiguration() {
	s := d.opts.Settings
	d.platform = infra.New(infra.Options{
		URL:  s.PlatformURL,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: d.opts.Dial, MaxIdleConnsPerHost: platformIdleConns, MaxResponseHeaderBytes: infra.MaxReplyHeaderBytes}},
	})
	d.config = newConfiguration(configurationOptions{
		table:   d.platform,
		objects: d.platform.Objects(),
		self: member.VM{
			ID:          member.JoinID(s.AvailabilityZone, s.VM),
			Incarnation: time.Now().UnixNano(),
		},
		evidenceLease: s.Periods.EvidenceLeaseMs.Duration(),
		syncPeriod:    s.Periods.PeerPullMs.Duration(),
		headPeriod:    s.Periods.HeadReadMs.Duration(),
		clock:         d.opts.Clock,
		logger:        d.logger,
	})
	address := s.AdvertisedPeerAddress
	if address == "" {
		address = s.Listen.Peers
	}
	d.registry = newRegistry(d.platform, d.config.members.Self(), address, s.SeedPeers)
	d.config.members.SetSeeds(d.registry.knownPeers())
	d.acceptance = &acceptance{
		evidenceLease:  s.Periods.EvidenceLeaseMs.Duration(),
		unacknowledged: d.config.node.Unacknowledged,
		now:            time.Now,
	}
	d.config.onApplied = func(old, next *tree.Snapshot) {
		d.acceptance.recordApplied(old, next)
		d.compareDeadlines(old, next)
	}
}

// buildCoordination builds the claims, the ledger, the control lease and the
// shares of the rate limits.
func (d *Daemon) buildCoordination() {
	s := d.opts.Settings
	self := d.config.members.Self()
	d.claimer = claim.New(claim.Options{
		Table:           d.platform,
		Daemon:          self.ID,
		GroupWindow:     s.Periods.ClaimGroupMs.Duration(),
		Ungrouped:       s.Periods.ClaimGroupMs == 0,
		MaxOutcomeBytes: int(s.Bounds.OutcomeBytes),
	})
	d.ledger = ledger.New(ledger.Options{
		Self:        ledger.Peer{ID: ledgerID(self), AvailabilityZone: s.AvailabilityZone},
		Objects:     d.platform.Objects(),
		Copier:      copier{d.peerClient},
		Peers:       d.config.ledgerPeers,
		FlushPeriod: s.Periods.LedgerFlushMs.Duration(),
		MaxBytes:    int(s.Bounds.LedgerBytes),
	})
	d.leadership = &leadership{
		lease: fence.New(fence.Options{
			Table:     d.platform,
			Name:      controlLeaseName,
			Holder:    ledgerID(self),
			Duration:  controlLeaseDuration,
			MaxCall:   system.OrderTimeout,
			Clock:     leaseClock(d.opts.Clock),
			WaitClock: bootClock(d.opts.Clock),
		}),
		candidate: d.config.node.Delegate,
	}
	holder, incarnation := shareHolder(self)
	d.shares = share.New(share.Options{
		Table:       d.platform,
		VM:          holder,
		Incarnation: incarnation,
		// The peer listener is bound before shares are used, so no earlier
		// process of this VM can be running.
		AdoptEarlier: true,
		Holders:      d.config.expectedHolders,
	})
	d.sweeper = claim.NewSweeper(claim.SweeperOptions{Table: d.platform, Lease: d.leadership.lease})
}

// buildControl builds the upstream client, the control loop, the routing that it
// updates, and the exchange of learned data with other daemons.
func (d *Daemon) buildControl() {
	s := d.opts.Settings
	d.upstream = upstream.New(upstream.Options{Dial: d.opts.Dial, StreamIdle: s.Bounds.StreamIdleTimeoutMs.Duration(), MaxBuffered: d.responseMemory()})
	d.guards = newGuards(d.haltCandidate)
	d.routing = newRouting(s.AvailabilityZone, d.guards)
	d.control = &control{
		tick:         s.Periods.TickMs.Duration(),
		vmListPeriod: s.Periods.VMListMs.Duration(),
		config:       d.config,
		routing:      d.routing,
		upstream:     d.upstream,
		platform:     d.platform,
		advance:      d.config.advance,
		lease:        d.leadership.current,
		logger:       d.logger,
		limits:       limiter{d.shares},
		calls:        make(chan system.CallResult, callResultBuffer),
	}
	d.reclaimer = &reclaimer{table: d.platform, shares: d.shares, held: d.leadership.lease.Held, listed: d.control.isListed}
	d.routing.observe = d.control.observe
	d.learning = &learning{config: d.config, routing: d.routing, client: d.peerClient}
	d.learning.findings = findings{table: d.platform, log: d.logger}
	d.learning.quarantine = quarantine.New(quarantine.Options{MayTest: d.learning.mayTest})
}

// buildProxy builds the proxy that serves callers.
func (d *Daemon) buildProxy() error {
	s := d.opts.Settings
	ring, err := sessionRing(s.SessionKeys)
	if err != nil {
		return err
	}
	d.proxy = proxy.New(proxy.Options{
		Snapshot:   d.config.Snapshot,
		Evidence:   d.config.evidenceLease,
		Halts:      d.config,
		Router:     d.routing,
		Rater:      rater{platform: d.platform, onFailure: d.control.recordRatingFailure},
		Upstream:   d.upstream,
		Sessions:   proxy.RingSessions{Ring: ring},
		Limiter:    limiter{d.shares},
		Biller:     biller{d.ledger},
		Claims:     proxy.TableClaims{Claimer: d.claimer},
		Quarantine: d.learning.quarantine,
		Bounds: proxy.Bounds{
			BodyBytes:          s.Bounds.BodyBytes,
			BodyReadTimeout:    s.Bounds.BodyReadTimeoutMs.Duration(),
			ConcurrentRequests: s.Bounds.ConcurrentRequests,
			OutcomeBytes:       s.Bounds.OutcomeBytes,
		},
		Log: d.logger,
	})
	return nil
}

// sessionRing builds the ring of keys that sign and verify session tokens.
func sessionRing(keys []settings.SessionKey) (*session.Ring, error) {
	var o session.Options
	for _, k := range keys {
		secret, err := base64.StdEncoding.DecodeString(k.SecretBase64)
		if err != nil {
			return nil, oops.Wrapf(err, "session key %q", k.ID)
		}
		o.Keys = append(o.Keys, session.Key{ID: k.ID, Secret: secret})
	}
	return session.New(o)
}
