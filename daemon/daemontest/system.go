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

// Names and properties of the tested system.
const (
	Organisation = "club-0"
	ModelService = "brief-model"
	PlainService = "hire-desk"

	// Base and Candidate are versions of the model "small". Medium is the only
	// version of the more expensive model "medium".
	Base      = "s1"
	Candidate = "s2"
	Medium    = "m1"
	// Rollout is the ID of the rollout from Base to Candidate.
	Rollout = "s1-to-s2"

	// PlatformHost and ClientZone are the labels of the platform and of the
	// clients for Network.Cut.
	PlatformHost = "platform"
	ClientZone   = "clients"

	clientKey     = "caller key"
	operatorToken = "operator token"
	clusterToken  = "cluster token of the tests"
	sessionSecret = "session secret of the tests, 32+ bytes"

	daemonsPerZone   = 2
	tokensPerSecond  = 100
	timeToFirstToken = 20 * time.Millisecond
	// vmListLag is how far the platform's list of VMs is behind SetVMs.
	vmListLag = time.Second
)

// Zones are the AvailabilityZones of the system.
var Zones = []string{"za", "zb", "zc"}

// Options configures a System. Zero values mean the defaults.
type Options struct {
	// Settings changes the settings of each daemon before it starts.
	Settings func(*settings.Settings)
	// Platform wraps the HTTP handler of the platform.
	Platform func(http.Handler) http.Handler
}

// System is a deployment in three zones: a platform, and in each zone an engine,
// a plain service and two daemons. Only the goroutine of the test may use it,
// except for Live and the methods that send requests to a Daemon, which are safe
// for concurrent use.
type System struct {
	T        testing.TB
	Net      *Network
	Platform *standin.Server
	Engines  map[string]*engine.Engine   // by upstream ID
	Desks    map[string]*service.Service // plain services by upstream ID
	Daemons  []*Daemon
	// VMs is the list of VMs of the platform. Call Platform.SetVMs after a change.
	VMs []infra.VM

	options Options
	mu      sync.Mutex // guards Daemons, their retired flags and sendTimes
	// sendTimes holds the time at which a daemon sent an attempt, by attempt ID.
	sendTimes map[string]time.Time
	// killedDaemons holds the killed Daemons that were restarted. Close waits for
	// their goroutines too.
	killedDaemons []*Daemon
	platform      *Host
	clients       *Host
	upstreamHosts map[string]*Host // by upstream ID
	servers       []*http.Server
	http          *http.Client
}

// New starts a system and waits until the configuration of Tree is in force on
// all daemons. It must be called inside testing/synctest; Close must be called
// before the end of the bubble.
func New(t testing.TB, options Options) *System {
	s := &System{
		T: t, Net: NewNetwork(), options: options,
		Engines:       make(map[string]*engine.Engine),
		Desks:         make(map[string]*service.Service),
		upstreamHosts: make(map[string]*Host),
		sendTimes:     make(map[string]time.Time),
	}
	s.platform = s.Net.NewHost(PlatformHost, PlatformHost)
	s.clients = s.Net.NewHost("client", ClientZone)
	s.http = &http.Client{Transport: &http.Transport{DialContext: s.clients.Dial, DisableKeepAlives: true}, Timeout: maxWait}
	s.Platform = standin.New(standin.Options{
		VMListLag:  vmListLag,
		RateAnswer: func(r infra.RatingRequest) bool { return !strings.Contains(r.Answer, engine.PoorMarker) },
	})
	var handler http.Handler = s.Platform
	if options.Platform != nil {
		handler = options.Platform(handler)
	}
	s.serve(s.platform, handler)
	for _, zone := range Zones {
		s.startUpstreams(zone)
		for i := range daemonsPerZone {
			s.addVM(fmt.Sprintf("entry-%d", i), zone, infra.EntryVM)
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

// serve runs an HTTP server on port 80 of a host.
func (s *System) serve(h *Host, handler http.Handler) {
	server := &http.Server{Handler: handler, ConnContext: withConn}
	l := h.Listen("80")
	go func() { _ = server.Serve(l) }()
	s.servers = append(s.servers, server)
}

// addVM adds a live VM to s.VMs.
func (s *System) addVM(id, zone string, kind infra.VMKind) {
	s.VMs = append(s.VMs, infra.VM{ID: id, AvailabilityZone: zone, Kind: kind, State: infra.VMLive})
}

// startUpstreams starts the engine and the plain service of a zone.
func (s *System) startUpstreams(zone string) {
	profile := engine.Profile{TokensPerSecond: tokensPerSecond, FirstToken: timeToFirstToken, Quality: 1}
	e := engine.New(engine.Options{
		Versions: map[string]engine.Profile{Base: profile, Candidate: profile, Medium: profile},
		Slots:    engineSlots,
		LoadTime: time.Second,
	})
	id := EngineID(zone)
	s.Engines[id] = e
	s.startUpstream(id, zone, s.recordSendTimes(e))
	desk := service.New()
	s.Desks[DeskID(zone)] = desk
	s.startUpstream(DeskID(zone), zone, desk)
}

const engineSlots = 64

func (s *System) startUpstream(id, zone string, h http.Handler) {
	s.upstreamHosts[id] = s.Net.NewHost(id, zone)
	s.serve(s.upstreamHosts[id], h)
	s.addVM(id, zone, infra.UpstreamVM)
}

// EngineID returns the upstream ID and host name of the engine of a zone.
func EngineID(zone string) string { return "engine-" + zone }

// DeskID returns the upstream ID and host name of the plain service of a zone.
func DeskID(zone string) string { return "desk-" + zone }

// Host returns the host of the upstream with the given ID.
func (s *System) Host(id string) *Host { return s.upstreamHosts[id] }

// Tree returns the initial configuration.
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
			KeySHA256: []string{digest(clientKey)},
			Services:  map[string]tree.OrganisationService{ModelService: {}, PlainService: {}},
		}},
	}
	var engines, desks []string
	for _, zone := range Zones {
		engines, desks = append(engines, EngineID(zone)), append(desks, DeskID(zone))
		t.Upstreams[EngineID(zone)] = tree.Upstream{
			Kind: tree.EngineUpstream, URL: s.upstreamURL(EngineID(zone)), AvailabilityZone: zone,
			Versions: []string{Base, Candidate, Medium}, Slots: engineSlots,
		}
		t.Upstreams[DeskID(zone)] = tree.Upstream{Kind: tree.ServiceUpstream, URL: s.upstreamURL(DeskID(zone)), AvailabilityZone: zone}
	}
	t.Services = map[string]tree.Service{
		ModelService: {Kind: tree.ModelService, Upstreams: engines},
		PlainService: {Kind: tree.PlainService, PathPrefix: "/hire-desk/", Upstreams: desks},
	}
	return t
}

func (s *System) upstreamURL(upstream string) string {
	return "http://" + s.upstreamHosts[upstream].IP + ":80"
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// configure proposes the initial configuration and waits until it is in force on
// all daemons.
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

// warmUp is enough time for the daemons to read load reports and the list of
// VMs.
const warmUp = 3 * time.Second

// settings returns the settings of a daemon on the given host and VM.
func (s *System) settings(h *Host, zone, vm string) settings.Settings {
	file := settings.Defaults()
	file.VM, file.AvailabilityZone, file.Region = vm, zone, "region"
	file.PlatformURL = "http://" + s.platform.IP + ":80"
	file.AdvertisedPeerAddress = h.IP + ":3"
	file.ClusterToken = clusterToken
	file.OperatorTokens = []settings.OperatorToken{{Name: "test", SHA256: digest(operatorToken), Role: settings.Editor}}
	file.SessionKeys = []settings.SessionKey{{ID: "k1", SecretBase64: base64.StdEncoding.EncodeToString([]byte(sessionSecret))}}
	file.Bounds.DrainTimeoutMs = 30_000
	if s.options.Settings != nil {
		s.options.Settings(&file)
	}
	return file
}

// Close kills all daemons, closes the network and the servers, and waits until
// all daemons have returned from Run.
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
	for _, d := range append(s.killedDaemons, s.Daemons...) {
		d.waitEnded()
	}
}
