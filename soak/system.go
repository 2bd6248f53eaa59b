package soak

import (
	"fmt"
	"io"
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
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// grace is the time between the request to stop and the kill.
	grace = 5 * time.Second
	// recoverBound is the time after which service is back: RecoverS of the platform.
	recoverBound = 15 * time.Second
	// entryLapse is how long the entry of a crashed upstream stays in the store:
	// three heartbeats.
	entryLapse = 1500 * time.Millisecond
	memory     = 256 << 20
	// probePause is the time between two looks whether a VM serves again, stopPause
	// that between two looks whether a process has ended.
	probePause = 100 * time.Millisecond
	stopPause  = 10 * time.Millisecond
)

// System is a store, upstreams and VMs with links between them.
type System struct {
	t       *testing.T
	binary  string
	folder  string
	store   *standin.RowStore
	server  *httptest.Server
	vms     []*vm
	callers *callers

	mu        sync.Mutex
	upstreams []*upstream
	names     int // of upstreams so far
	version   int // of the configuration
	record    Record
	faults    map[Fault]int // of the store, in effect
}

// vm is a machine on which a process runs, most of the time.
type vm struct {
	settings platform.Settings
	path     string
	// front lies between the callers and the VM, store between the VM and the store.
	front, store *Link

	mu      sync.Mutex
	process *e2e.Process
	ready   bool
}

// upstream is an engine or desk behind a link.
type upstream struct {
	*standin.Upstream
	link    *Link
	leaving bool
	faults  map[Fault]int // in effect
}

// Start starts a system of a shape.
func Start(t *testing.T, binary string, shape Shape) *System {
	t.Helper()
	s := &System{t: t, binary: binary, folder: t.TempDir(), store: standin.NewRowStore(), faults: make(map[Fault]int)}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	s.configure()
	s.mu.Lock()
	for range shape.Upstreams {
		for _, service := range []string{"model", "desk", "desk2"} {
			s.addUpstream(service)
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
		e2e.Eventually(t, m.settings.VM+" is ready", m.askReady)
		m.ready = true
	}
	return s
}

func (s *System) addVM(i int, shape Shape) {
	m := &vm{settings: platform.Settings{
		VM: fmt.Sprintf("vm%d", i), AvailabilityZone: fmt.Sprintf("z%d", i%shape.Zones),
		Front: e2e.FreePort(s.t), Ready: e2e.FreePort(s.t), Peer: e2e.FreePort(s.t), MemoryBytes: memory, Cores: 1,
		Bounds: platform.Bounds{
			Drain: leaveBound, Grace: grace, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 200,
			ExposureShare: 0.15, SessionIdle: 6 * time.Second, CacheLifetime: 10 * time.Second,
		},
	}}
	const mostSeeds = 3
	for _, other := range s.vms[:min(i, mostSeeds)] {
		m.settings.Seeds = append(m.settings.Seeds, other.settings.Peer)
	}
	m.front, m.store = s.link(m.settings.Front), s.link(strings.TrimPrefix(s.server.URL, "http://"))
	m.settings.StoreAddress = m.store.Address()
	m.path = filepath.Join(s.folder, m.settings.VM+".json")
	s.vms = append(s.vms, m)
	s.writeSettings(m)
}

func (s *System) link(target string) *Link {
	l, err := NewLink(target)
	assert.NilError(s.t, err)
	s.t.Cleanup(l.Close)
	return l
}

func (s *System) writeSettings(m *vm) {
	data, err := standin.SettingsFile(m.settings)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.WriteFile(m.path, data, 0o600))
}

// launch starts the process of a VM; m.mu is held or nobody else knows m.
func (s *System) launch(m *vm) {
	cmd := exec.Command(s.binary, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.path)
	m.process = e2e.Start(s.t, cmd)
}

// end ends the process of a VM, notes a failure of its own and returns whether
// there was one to end.
func (s *System) end(m *vm, signal func(*e2e.Process)) bool {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if p == nil {
		return false
	}
	if !p.Running() {
		s.t.Errorf("%s ended by itself", m.settings.VM)
	}
	signal(p)
	s.keepLog(m, p)
	return true
}

// keepLog adds what a process printed to the file of its VM.
func (s *System) keepLog(m *vm, p *e2e.Process) {
	text := p.Output()
	if strings.Contains(text, "panic: ") || strings.Contains(text, "DATA RACE") {
		s.t.Errorf("%s printed a panic or a data race", m.settings.VM)
	}
	f, err := os.OpenFile(filepath.Join(s.folder, m.settings.VM+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.Check(s.t, err == nil, "%v", err)
	defer f.Close()
	_, err = io.WriteString(f, text)
	assert.Check(s.t, err == nil, "%v", err)
}

// askReady asks the VM as the balancer does.
func (m *vm) askReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure writes the next configuration, which sends the bookings elsewhere.
func (s *System) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	service := []string{"desk", "desk2"}[s.version%2]
	s.store.Put("op", "config", standin.Configuration(s.version, service))
	s.record.Changes = append(s.record.Changes, Change{At: time.Now(), Service: service})
}

// addUpstream starts an upstream behind a link; s.mu is held.
func (s *System) addUpstream(service string) {
	s.names++
	id := fmt.Sprintf("%s-%d", service, s.names)
	u, err := standin.ListenUpstream(s.store, id, service, "v1", fmt.Sprintf("z%d", s.names%2), ordinary(service))
	assert.NilError(s.t, err)
	u.Observe(func(run standin.Run) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.record.Runs = append(s.record.Runs, run)
	})
	s.t.Cleanup(u.Crash)
	l := s.link(u.Address())
	u.Register(l.Address())
	s.upstreams = append(s.upstreams, &upstream{Upstream: u, link: l, faults: make(map[Fault]int)})
}

// ordinary is how an upstream without faults answers.
func ordinary(service string) standin.Behaviour {
	if service == "model" {
		return standin.Behaviour{Events: streamEvents, EventEvery: 25 * time.Millisecond, Confidence: 100}
	}
	return standin.Behaviour{ServiceTime: 20 * time.Millisecond}
}

// recovered waits until every VM is ready and serves by the newest configuration.
func (s *System) recovered() {
	limit := time.Now().Add(recoverBound)
	for _, m := range s.vms {
		for why := s.callers.probe(m); why != ""; why = s.callers.probe(m) {
			if time.Now().After(limit) {
				s.t.Errorf("%s does not serve %v after the last fault: %s", m.settings.VM, recoverBound, why)
				break
			}
			time.Sleep(probePause)
		}
	}
}

// bookings is the service that the newest configuration names.
func (s *System) bookings() string {
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

// stop ends all processes.
func (s *System) stop() {
	for _, m := range s.vms {
		s.end(m, (*e2e.Process).Kill)
	}
}

// stopPlanned asks a process to stop, and kills it after the time of grace.
func (s *System) stopPlanned(name string, p *e2e.Process) {
	p.Signal(syscall.SIGTERM)
	for begun := time.Now(); p.Running(); time.Sleep(stopPause) {
		if time.Since(begun) > grace {
			p.Kill()
			return
		}
	}
	if code := p.ExitCode(); code != 0 {
		s.t.Errorf("%s ended with code %d", name, code)
	}
}
