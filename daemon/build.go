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
	"github.com/savoryshift/savoryshift/session"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	dialTimeout = 2 * time.Second
	// platformConns is the number of idle connections kept to the platform.
	platformConns = 64
)

// buildConfiguration builds what follows the change log.
func (d *Daemon) buildConfiguration() {
	s := d.o.Settings
	d.platform = infra.New(infra.Options{
		URL:  s.PlatformURL,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: d.o.Dial, MaxIdleConnsPerHost: platformConns}},
	})
	d.config = newConfiguration(configurationOptions{
		table:   d.platform,
		objects: d.platform.Objects(),
		self: member.VM{
			ID:          member.JoinID(s.AvailabilityZone, s.VM),
			Incarnation: time.Now().UnixNano(),
		},
		lease:  s.Periods.EvidenceLeaseMs.Duration(),
		sync:   s.Periods.PeerPullMs.Duration(),
		head:   s.Periods.HeadReadMs.Duration(),
		clock:  d.o.Clock,
		logger: d.logger,
	})
	address := s.AdvertisedPeerAddress
	if address == "" {
		address = s.Listen.Peers
	}
	d.registry = newRegistry(d.platform, d.config.members.Self(), address, s.SeedPeers)
	d.config.members.SetSeeds(d.registry.known())
	d.acceptance = &acceptance{
		lease:          s.Periods.EvidenceLeaseMs.Duration(),
		unacknowledged: d.config.node.Unacknowledged,
		now:            time.Now,
	}
	d.config.applied = d.acceptance.note
}

// buildCoordination builds claims, ledger and the control lease.
func (d *Daemon) buildCoordination() {
	s := d.o.Settings
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
			Name:      controlLease,
			Holder:    ledgerID(self),
			Duration:  controlLeaseTime,
			MaxCall:   system.OrderTimeout,
			Clock:     leaseClock(d.o.Clock),
			WaitClock: bootClock(d.o.Clock),
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

// buildControl builds the control loop, the routing that it feeds, and what the
// daemons learn from each other.
func (d *Daemon) buildControl() {
	s := d.o.Settings
	d.upstream = upstream.New(upstream.Options{Dial: d.o.Dial, StreamIdle: s.Bounds.StreamIdleTimeoutMs.Duration()})
	d.guards = newGuards(d.haltCandidate)
	d.routing = newRouting(s.AvailabilityZone, d.guards)
	d.control = &control{
		tick:     s.Periods.TickMs.Duration(),
		vmsEvery: s.Periods.VMListMs.Duration(),
		config:   d.config,
		routing:  d.routing,
		upstream: d.upstream,
		platform: d.platform,
		advance:  d.config.advance,
		lease:    d.leadership.current,
		logger:   d.logger,
		limits:   limiter{d.shares},
		calls:    make(chan system.CallResult, callResults),
	}
	d.reclaimer = &reclaimer{table: d.platform, shares: d.shares, held: d.leadership.lease.Held, listed: d.control.isListed}
	d.routing.observe = d.control.observe
	d.learning = &learning{config: d.config, routing: d.routing, client: d.peerClient}
}

// buildProxy builds the caller side.
func (d *Daemon) buildProxy() error {
	s := d.o.Settings
	ring, err := sessionRing(s.SessionKeys)
	if err != nil {
		return err
	}
	d.proxy = proxy.New(proxy.Options{
		Snapshot: d.config.Snapshot,
		Evidence: d.config.lease,
		Halts:    d.config,
		Router:   d.routing,
		Rater:    rater{platform: d.platform, failed: d.control.ratingFailed},
		Upstream: d.upstream,
		Sessions: proxy.RingSessions{Ring: ring},
		Limiter:  limiter{d.shares},
		Biller:   biller{d.ledger},
		Claims:   proxy.TableClaims{Claimer: d.claimer},
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
