package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// stopGrace is the time between SIGTERM and SIGKILL in a planned stop.
	stopGrace = 5 * time.Second
	// recoverBound is the time within which a VM must serve again after the last fault:
	// RecoverS of the platform.
	recoverBound = 15 * time.Second
	// entryTTL is how long the registration of a crashed upstream stays in the store:
	// three heartbeats.
	entryTTL = 1500 * time.Millisecond
	vmMemory = 256 << 20
	// probePeriod is the interval of the checks whether a VM serves again,
	// stopPollPeriod that of the checks whether a process has ended.
	probePeriod    = 100 * time.Millisecond
	stopPollPeriod = 10 * time.Millisecond
)

// System consists of a store, upstreams and VMs, connected by links, and the callers.
type System struct {
	t      *testing.T
	binary string
	dir    string
	store  *standin.RowStore
	server *httptest.Server
	vms    []*vm
	load   *loadGenerator
	// directCalls makes callers connect straight to a VM that stops as planned.
	directCalls bool
	// oddListener accepts connections to the address of registrations that name no
	// upstream.
	oddListener net.Listener
	// platform makes the upstreams that are started later cold and gives each
	// configuration a key of its own.
	platform bool
	// storeWrites is held for reading by a write to the store, and for writing while the
	// store is unavailable and restored, because such a write would not be accepted.
	storeWrites sync.RWMutex

	mu            sync.Mutex
	upstreams     []*upstream
	upstreamCount int // upstreams started so far
	configVersion int // of the newest configuration
	record        Record
	activeFaults  map[StepKind]int // number of store faults in effect, by kind
}

// vm is an entry VM, on which at most one process runs at a time.
type vm struct {
	settings     platform.Settings
	settingsPath string
	// frontLink connects the callers to the VM, storeLink the VM to the store.
	frontLink, storeLink *faultlink.Link

	mu      sync.Mutex
	process *e2e.Process // nil while stopped
	ready   bool         // in the balancer's rotation
}

// upstream is a stand-in of a model engine or of a booking service, behind a link.
type upstream struct {
	*standin.Upstream
	link         *faultlink.Link
	leaving      bool
	activeFaults map[StepKind]int  // number of faults in effect, by kind
	variants     map[StepKind]Step // the newest step of each kind, which selects its variant
}

// Start starts a system of a shape and waits until all VMs are ready.
func Start(t *testing.T, binary string, shape Shape) *System {
	t.Helper()
	s := &System{t: t, binary: binary, dir: t.TempDir(), store: standin.NewRowStore(), directCalls: shape.DirectCalls, platform: shape.Platform, activeFaults: make(map[StepKind]int)}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	var err error
	s.oddListener, err = net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.oddListener.Close() })
	go s.countOddConnections()
	s.configure()
	s.mu.Lock()
	for range shape.Upstreams {
		for _, service := range []string{"model", "desk", "desk2"} {
			if service != "model" || !shape.Engines {
				s.addUpstream(service)
			}
		}
	}
	s.mu.Unlock()
	for i := range shape.VMs {
		s.addVM(i, shape)
	}
	for _, m := range s.vms {
		s.launch(m)
	}
	for _, m := range s.vms {
		e2e.Eventually(t, m.settings.VM+" is ready", m.checkReady)
		m.ready = true
	}
	return s
}

// addVM prepares VM i: its links and its settings file.
func (s *System) addVM(i int, shape Shape) {
	m := &vm{settings: platform.Settings{
		VM: fmt.Sprintf("vm%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%shape.Zones),
		Front: e2e.FreePort(s.t), Ready: e2e.FreePort(s.t), Peer: e2e.FreePort(s.t), MemoryBytes: vmMemory, Cores: 1,
		Bounds: platform.Bounds{
			Drain: drainBound, Grace: stopGrace, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 200,
			ExposureShare: 0.15, SessionIdle: 6 * time.Second, CacheLifetime: 10 * time.Second,
		},
	}}
	if shape.Platform {
		m.settings.Bounds.Evacuation, m.settings.Bounds.ColdRatio, m.settings.Bounds.ColdSlack = evacuationBound, coldRatio, coldSlack
	}
	if shape.FewRetries {
		m.settings.Bounds.RetryRatio, m.settings.Bounds.RetrySlack = 0, 1
	}
	const maxSeeds = 3
	for _, other := range s.vms[:min(i, maxSeeds)] {
		m.settings.Seeds = append(m.settings.Seeds, other.settings.Peer)
		if shape.Engines && len(other.settings.Seeds) < maxSeeds {
			// A VM that was started first finds the others again after a restart.
			other.settings.Seeds = append(other.settings.Seeds, m.settings.Peer)
			s.writeSettings(other)
		}
	}
	m.frontLink, m.storeLink = s.newLink(m.settings.Front), s.newLink(strings.TrimPrefix(s.server.URL, "http://"))
	m.settings.StoreAddress = m.storeLink.Address()
	m.settingsPath = filepath.Join(s.dir, m.settings.VM+".json")
	s.vms = append(s.vms, m)
	s.writeSettings(m)
}

func (s *System) newLink(target string) *faultlink.Link {
	l, err := faultlink.New(target)
	assert.NilError(s.t, err)
	s.t.Cleanup(l.Close)
	return l
}

// writeSettings replaces the settings file of a VM, which may be starting.
func (s *System) writeSettings(m *vm) {
	data, err := standin.SettingsFile(m.settings)
	assert.NilError(s.t, err)
	next := m.settingsPath + ".next"
	assert.NilError(s.t, os.WriteFile(next, data, 0o600))
	assert.NilError(s.t, os.Rename(next, m.settingsPath))
}

// launch starts the process of a VM. The caller holds m.mu unless m is not shared yet.
func (s *System) launch(m *vm) {
	cmd := exec.Command(s.binary, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settingsPath)
	m.process = e2e.Start(s.t, cmd)
}

// endProcess ends the process of a VM with the function end and reports whether there
// was one. The test fails if the process has already exited by itself.
func (s *System) endProcess(m *vm, end func(*e2e.Process)) bool {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p == nil {
		return false
	}
	if !p.Running() {
		s.t.Errorf("%s exited by itself", m.settings.VM)
	}
	end(p)
	s.saveLog(m, p)
	return true
}

// saveLog appends the output of a process to the log file of its VM. The test fails
// if the output contains a panic or a data race.
func (s *System) saveLog(m *vm, p *e2e.Process) {
	text := p.Output()
	if strings.Contains(text, "panic: ") || strings.Contains(text, "handler panicked") || strings.Contains(text, "DATA RACE") {
		s.t.Errorf("%s printed a panic or a data race", m.settings.VM)
	}
	f, err := os.OpenFile(filepath.Join(s.dir, m.settings.VM+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.Check(s.t, err == nil, "%v", err)
	defer f.Close()
	_, err = io.WriteString(f, text)
	assert.Check(s.t, err == nil, "%v", err)
}

// checkReady queries the readiness endpoint of the VM as the balancer does.
func (m *vm) checkReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure writes the next configuration to the store. It alternates between two
// services for the bookings.
func (s *System) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	service := []string{"desk", "desk2"}[s.configVersion%2]
	configuration := standin.Configuration(s.configVersion, service)
	if s.platform {
		extendConfiguration(configuration, s.configVersion)
	}
	s.storeWrites.RLock()
	s.store.Put("op", "config", configuration)
	s.storeWrites.RUnlock()
	s.record.Changes = append(s.record.Changes, Change{At: time.Now(), Service: service, Version: s.configVersion})
}

// addUpstream starts an upstream behind a link. The caller holds s.mu.
func (s *System) addUpstream(service string) {
	s.upstreamCount++
	id := fmt.Sprintf("%s-%d", service, s.upstreamCount)
	u, err := standin.ListenUpstream(s.store, id, service, "v1", fmt.Sprintf("z%d", s.upstreamCount%2), healthyBehaviour(service))
	assert.NilError(s.t, err)
	u.Observe(func(run standin.Run) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.Runs = append(s.record.Runs, run)
	})
	u.ObserveRefusals(func(refusal standin.Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.Refusals = append(s.record.Refusals, refusal)
	})
	s.t.Cleanup(u.Crash)
	l := s.newLink(u.Address())
	if s.platform && s.load != nil {
		s.record.ColdStarts = append(s.record.ColdStarts, ColdPeriod{Upstream: id, From: time.Now()})
		u.RegisterCold(l.Address(), coldStart)
	} else {
		u.Register(l.Address())
	}
	s.upstreams = append(s.upstreams, &upstream{Upstream: u, link: l, activeFaults: make(map[StepKind]int), variants: make(map[StepKind]Step)})
}

// healthyBehaviour returns how an upstream without faults responds.
func healthyBehaviour(service string) standin.Behaviour {
	if service == "model" {
		return standin.Behaviour{Events: streamEvents, EventEvery: 25 * time.Millisecond, Confidence: 100}
	}
	return standin.Behaviour{ServiceTime: 20 * time.Millisecond}
}

// waitRecovered waits until every VM is ready and serves by the newest configuration.
// The test fails if that takes longer than recoverBound.
func (s *System) waitRecovered() {
	deadline := time.Now().Add(recoverBound)
	for _, m := range s.vms {
		for problem := s.load.probe(m); problem != ""; problem = s.load.probe(m) {
			if time.Now().After(deadline) {
				s.t.Errorf("%s does not serve %v after the last fault: %s", m.settings.VM, recoverBound, problem)
				break
			}
			time.Sleep(probePeriod)
		}
	}
}

// bookingService returns the service to which the newest configuration sends the
// bookings.
func (s *System) bookingService() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := ""
	for _, c := range s.record.Changes {
		if c.Service != "" {
			service = c.Service
		}
	}
	return service
}

// stopAll kills the processes of all VMs.
func (s *System) stopAll() {
	for _, m := range s.vms {
		s.endProcess(m, (*e2e.Process).Kill)
	}
}

// stopPlanned sends SIGTERM to a process and kills it if it runs on after stopGrace.
// The test fails if the process exits with another code than 0.
func (s *System) stopPlanned(name string, p *e2e.Process) {
	p.Signal(syscall.SIGTERM)
	for begun := time.Now(); p.Running(); time.Sleep(stopPollPeriod) {
		if time.Since(begun) > stopGrace {
			p.Kill()
			return
		}
	}
	if code := p.ExitCode(); code != 0 {
		s.t.Errorf("%s exited with code %d", name, code)
	}
}
