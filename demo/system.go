package demo

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/daemon"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/infra/standin"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
)

const (
	daemonsPerZone = 2
	// standinLag is the delay of the VM list of the platform stand-in and of the load
	// reports of the engine stand-ins, and the period at which daemons read that list.
	// It is short to keep the demonstration short.
	standinLag = 200 * time.Millisecond
)

var zones = []string{"tt-arima", "tt-maracas", "tt-tucker"}

// system holds the daemons and stand-ins of a demonstration. It is used by one
// goroutine.
type system struct {
	platform *standin.Server
	url      string // of the platform stand-in
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	// urls holds the URLs of engines and services by upstream id.
	urls    map[string]string
	daemons []*node
	closers []func() // stop the stand-in servers
}

// node is one running daemon.
type node struct {
	id          string
	zone        string
	callerURL   string
	operatorURL string
	stop        context.CancelFunc
	done        chan error
}

// startSystem starts the platform stand-in, the upstreams and the daemons. The caller
// closes the returned system, also after an error.
func startSystem(logger *zap.Logger) (*system, error) {
	s := &system{
		engines:  make(map[string]*engine.Engine),
		services: make(map[string]*service.Service),
		urls:     make(map[string]string),
	}
	s.platform = standin.New(standin.Options{
		VMListLag: standinLag,
		RateAnswer: func(r infra.RatingRequest) bool {
			return !strings.Contains(r.Answer, engine.PoorMarker)
		},
	})
	var err error
	if s.url, err = s.serve(s.platform); err != nil {
		return s, err
	}
	if err := s.startUpstreams(); err != nil {
		return s, err
	}
	s.platform.SetVMs(s.listedVMs())
	return s, s.startDaemons(logger)
}

// serve starts a server on a free loopback port and returns its URL.
func (s *system) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.Wrap(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }() // returns after Close
	s.closers = append(s.closers, func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (s *system) startUpstreams() error {
	for _, spec := range engineSpecs {
		e := engine.New(engine.Options{
			Versions:      spec.profiles(),
			Slots:         engineSlots,
			ChecksFencing: spec.checksFencing,
			LoadLag:       standinLag,
			Seed:          spec.seed,
		})
		url, err := s.serve(e)
		if err != nil {
			return err
		}
		s.engines[spec.id], s.urls[spec.id] = e, url
	}
	for _, zone := range zones {
		id := "desk-" + zone
		desk := service.New()
		url, err := s.serve(desk)
		if err != nil {
			return err
		}
		s.services[id], s.urls[id] = desk, url
	}
	return nil
}

// listedVMs returns the VMs that the platform stand-in lists.
func (s *system) listedVMs() []infra.VM {
	var vms []infra.VM
	for _, spec := range engineSpecs {
		vms = append(vms, infra.VM{ID: spec.id, AvailabilityZone: spec.zone, Kind: infra.UpstreamVM, State: infra.VMLive})
	}
	for _, zone := range zones {
		vms = append(vms, infra.VM{ID: "desk-" + zone, AvailabilityZone: zone, Kind: infra.UpstreamVM, State: infra.VMLive})
		for i := range daemonsPerZone {
			vms = append(vms, infra.VM{ID: vmName(i), AvailabilityZone: zone, Kind: infra.EntryVM, State: infra.VMLive})
		}
	}
	return vms
}

// vmName returns the name of daemon i of a zone.
func vmName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *system) startDaemons(logger *zap.Logger) error {
	type listeners struct{ callers, operators, peers net.Listener }
	var all []listeners
	var seeds []settings.SeedPeer
	for _, zone := range zones {
		for i := range daemonsPerZone {
			var b listeners
			for _, l := range []*net.Listener{&b.callers, &b.operators, &b.peers} {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return oops.Wrap(err)
				}
				*l = listener
			}
			all = append(all, b)
			seeds = append(seeds, settings.SeedPeer{VM: vmName(i), AvailabilityZone: zone, Address: b.peers.Addr().String()})
		}
	}
	for n, b := range all {
		zone, name := zones[n/daemonsPerZone], vmName(n%daemonsPerZone)
		file := s.settingsFor(zone, name, seeds)
		file.Listen = settings.Listen{Callers: b.callers.Addr().String(), Operators: b.operators.Addr().String(), Peers: b.peers.Addr().String()}
		d, err := daemon.New(daemon.Options{Settings: file, Logger: logger, Callers: b.callers, Operators: b.operators, Peers: b.peers})
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, runDaemon(d, zone, name, file.Listen))
	}
	return nil
}

// runDaemon runs a daemon in a goroutine.
func runDaemon(d *daemon.Daemon, zone, name string, l settings.Listen) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{id: name, zone: zone, callerURL: "http://" + l.Callers, operatorURL: "http://" + l.Operators, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- d.Run(ctx) }()
	return n
}

func (s *system) settingsFor(zone, name string, seeds []settings.SeedPeer) settings.Settings {
	file := settings.Defaults()
	file.VM = name
	file.AvailabilityZone = zone
	file.Region = "tt-north"
	file.PlatformURL = s.url
	file.SeedPeers = seeds
	file.ClusterToken = clusterToken
	file.OperatorTokens = []settings.OperatorToken{{Name: operatorName, SHA256: digest(operatorToken), Role: settings.Editor}}
	file.SessionKeys = []settings.SessionKey{{ID: "k1", SecretBase64: base64.StdEncoding.EncodeToString([]byte(sessionSecret))}}
	file.Periods.VMListMs = settings.Milliseconds(standinLag.Milliseconds())
	file.Periods.LedgerFlushMs = 500
	file.Periods.ReadinessDelayMs = settings.Milliseconds(readinessDelay.Milliseconds())
	return file
}

// stopAndWait stops the daemon gracefully and waits until it has ended.
func (n *node) stopAndWait(timeout time.Duration) error {
	n.stop()
	select {
	case err := <-n.done:
		n.done <- err
		return err
	case <-time.After(timeout):
		return oops.Errorf("daemon %s/%s did not stop within %s", n.zone, n.id, timeout)
	}
}

// close stops the daemons and the stand-ins.
func (s *system) close() {
	for _, n := range s.daemons {
		n.stop()
	}
	for _, n := range s.daemons {
		_ = n.stopAndWait(stopTimeout)
	}
	for _, c := range s.closers {
		c()
	}
}
