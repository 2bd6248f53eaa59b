package daemontest

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/infra/standin"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/tree"
)

// Names of the tested system.
const (
	Organisation = "club-0"
	ModelService = "brief-model"
	PlainService = "hire-desk"

	// Base and Candidate are versions of the model "small", Medium is the only
	// one of the dearer model "medium".
	Base      = "s1"
	Candidate = "s2"
	Medium    = "m1"
	// Rollout is the id of the roll-out from Base to Candidate.
	Rollout = "s1-to-s2"

	// PlatformHost and ClientZone are labels for Network.Cut.
	PlatformHost = "platform"
	ClientZone   = "clients"

	callerKey     = "caller key"
	operatorToken = "operator token"
	clusterToken  = "cluster token of the tests"
	sessionSecret = "session secret of the tests, 32+ bytes"

	daemonsPerZone  = 2
	tokensPerSecond = 100
	firstToken      = 20 * time.Millisecond
	// vmListLag is the age of the platform's list.
	vmListLag = time.Second
)

// Zones are the AvailabilityZones of the system.
var Zones = []string{"za", "zb", "zc"}

// Options configures a System. Zero values mean the defaults.
type Options struct {
	// Settings changes the settings of each daemon.
	Settings func(*settings.Settings)
	// Platform wraps the platform stand-in.
	Platform func(http.Handler) http.Handler
}

// System is a platform, engines, plain services and daemons in three zones. It
// belongs to the goroutine of the test; Live and the calls of daemons are safe
// for concurrent use.
type System struct {
	T        testing.TB
	Net      *Network
	Platform *standin.Server
	Engines  map[string]*engine.Engine
	Desks    map[string]*service.Service
	Daemons  []*Daemon
	// VMs is the platform's list; call Platform.SetVMs after a change.
	VMs []infra.VM

	o  Options
	mu sync.Mutex // guards Daemons, their retired flags and sent
	// sent is when a daemon sent an attempt, by its id.
	sent map[string]time.Time
	// ended holds the killed incarnations of restarted daemons.
	ended    []*Daemon
	platform *Host
	clients  *Host
	hosts    map[string]*Host // of upstreams
	servers  []*http.Server
	http     *http.Client
}

// New starts a system, with the first settings tree in force on all daemons. It
// must be called inside testing/synctest; Close must be called before the end
// of the bubble.
func New(t testing.TB, o Options) *System {
	s := &System{
		T: t, Net: NewNetwork(), o: o,
		Engines: make(map[string]*engine.Engine),
		Desks:   make(map[string]*service.Service),
		hosts:   make(map[string]*Host),
		sent:    make(map[string]time.Time),
	}
	s.platform = s.Net.NewHost(PlatformHost, PlatformHost)
	s.clients = s.Net.NewHost("client", ClientZone)
	s.http = &http.Client{Transport: &http.Transport{DialContext: s.clients.Dial, DisableKeepAlives: true}}
	s.Platform = standin.New(standin.Options{
		VMListLag:  vmListLag,
		RateAnswer: func(r infra.RatingRequest) bool { return !strings.Contains(r.Answer, engine.PoorMarker) },
	})
	var handler http.Handler = s.Platform
	if o.Platform != nil {
		handler = o.Platform(handler)
	}
	s.serve(s.platform, handler)
	for _, zone := range Zones {
		s.startUpstreams(zone)
		for i := range daemonsPerZone {
			s.list(fmt.Sprintf("entry-%d", i), zone, infra.EntryVM)
		}
	}
	s.Platform.SetVMs(s.VMs)
	for _, zone := range Zones {
		for i := range daemonsPerZone {
			s.StartDaemon(zone, fmt.Sprintf("entry-%d", i))
		}
	}
	s.configure()
	return s
}

func (s *System) serve(h *Host, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: withConn}
	l := h.Listen("80")
	go func() { _ = server.Serve(l) }()
	s.servers = append(s.servers, server)
}

func (s *System) list(id, zone string, kind infra.VMKind) {
	s.VMs = append(s.VMs, infra.VM{ID: id, AvailabilityZone: zone, Kind: kind, State: infra.VMLive})
}

// startUpstreams adds the engine and the desk of a zone.
func (s *System) startUpstreams(zone string) {
	profile := engine.Profile{TokensPerSecond: tokensPerSecond, FirstToken: firstToken, Quality: 1}
	e := engine.New(engine.Options{
		Versions: map[string]engine.Profile{Base: profile, Candidate: profile, Medium: profile},
		Slots:    engineSlots,
		LoadTime: time.Second,
	})
	id := EngineOf(zone)
	s.Engines[id] = e
	s.startUpstream(id, zone, s.recordSent(e))
	desk := service.New()
	s.Desks[DeskOf(zone)] = desk
	s.startUpstream(DeskOf(zone), zone, desk)
}

const engineSlots = 64

func (s *System) startUpstream(id, zone string, h http.Handler) {
	s.hosts[id] = s.Net.NewHost(id, zone)
	s.serve(s.hosts[id], h)
	s.list(id, zone, infra.UpstreamVM)
}

// EngineOf returns the upstream id and host name of the engine of a zone.
func EngineOf(zone string) string { return "engine-" + zone }

// DeskOf returns the upstream id and host name of the plain service of a zone.
func DeskOf(zone string) string { return "desk-" + zone }

// Host returns the host of an upstream.
func (s *System) Host(id string) *Host { return s.hosts[id] }

// Tree is the first settings tree.
func (s *System) Tree() tree.Tree {
	target, deadline := 0.5, int64(10_000)
	t := tree.Tree{
		Versions: map[string]tree.Version{
			Base:      {Model: "small", CostPer1kOutputTokens: 1, State: tree.VersionSettled},
			Candidate: {Model: "small", CostPer1kOutputTokens: 1, State: tree.VersionCandidate},
			Medium:    {Model: "medium", CostPer1kOutputTokens: 3, State: tree.VersionSettled},
		},
		Upstreams: make(map[string]tree.Upstream),
		Defaults:  tree.Overrides{QualityTarget: &target, DeadlineMs: &deadline},
		Organisations: map[string]tree.Organisation{Organisation: {
			Overrides: tree.Overrides{Models: []string{"small", "medium"}},
			KeySHA256: []string{digest(callerKey)},
			Services:  map[string]tree.OrganisationService{ModelService: {}, PlainService: {}},
		}},
	}
	var engines, desks []string
	for _, zone := range Zones {
		engines, desks = append(engines, EngineOf(zone)), append(desks, DeskOf(zone))
		t.Upstreams[EngineOf(zone)] = tree.Upstream{
			Kind: tree.EngineUpstream, URL: s.urlOf(EngineOf(zone)), AvailabilityZone: zone,
			Versions: []string{Base, Candidate, Medium}, Slots: engineSlots,
		}
		t.Upstreams[DeskOf(zone)] = tree.Upstream{Kind: tree.ServiceUpstream, URL: s.urlOf(DeskOf(zone)), AvailabilityZone: zone}
	}
	t.Services = map[string]tree.Service{
		ModelService: {Kind: tree.ModelService, Upstreams: engines},
		PlainService: {Kind: tree.PlainService, PathPrefix: "/hire-desk/", Upstreams: desks},
	}
	return t
}

func (s *System) urlOf(upstream string) string { return "http://" + s.hosts[upstream].IP + ":80" }

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// configure writes the first tree and waits until it is in force everywhere.
func (s *System) configure() {
	s.T.Helper()
	time.Sleep(2 * time.Second)
	patch, err := json.Marshal(s.Tree())
	assert.NilError(s.T, err)
	r, err := s.Daemons[0].Operators.Propose(s.T.Context(), operator.Edit{Reason: "first configuration", Patch: patch})
	assert.NilError(s.T, err)
	s.WaitAccepted(s.Daemons[0], r.Revision)
	time.Sleep(warmUp)
}

// warmUp lets the daemons read load reports and the list of VMs.
const warmUp = 3 * time.Second

// settings returns the settings of a daemon on a host.
func (s *System) settings(h *Host, zone, vm string) settings.Settings {
	file := settings.Defaults()
	file.VM, file.AvailabilityZone, file.Region = vm, zone, "region"
	file.PlatformURL = "http://" + s.platform.IP + ":80"
	file.AdvertisedPeerAddress = h.IP + ":3"
	file.ClusterToken = clusterToken
	file.OperatorTokens = []settings.OperatorToken{{Name: "test", SHA256: digest(operatorToken), Role: settings.Editor}}
	file.SessionKeys = []settings.SessionKey{{ID: "k1", SecretBase64: base64.StdEncoding.EncodeToString([]byte(sessionSecret))}}
	file.Bounds.DrainTimeoutMs = 30_000
	if s.o.Settings != nil {
		s.o.Settings(&file)
	}
	return file
}

// Close ends all daemons, without waiting for the platform, and the network.
func (s *System) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	s.http.CloseIdleConnections()
	s.Net.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{})
	}
	for _, d := range append(s.ended, s.Daemons...) {
		<-d.done
	}
}
