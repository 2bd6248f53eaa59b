package entrytest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/entry"
	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// System is a test system: a store, the VMs that read it and upstreams that register
// in it.
type System struct {
	T     *testing.T
	Store *standin.RowStore
	VMs   []*VM
	// Bounds, if set, changes the bounds of the VMs that are started.
	Bounds func(b *platform.Bounds)

	storeAddress string
	requests     int
}

// VM is an entry VM that Start has started.
type VM struct {
	Settings platform.Settings
	// StoreLink carries the connections of the VM to the store.
	StoreLink *faultlink.Link

	stop      context.CancelFunc
	runResult chan error
}

// New starts a store that holds a configuration with three routes, for the services
// "model" and "desk". It starts no VM.
func New(t *testing.T) *System {
	t.Helper()
	s := &System{T: t, Store: standin.NewRowStore()}
	server := httptest.NewServer(s.Store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.Configure(1, "desk")
	return s
}

// Configure writes a version of the configuration in which the bookings under /book/
// are routed to the given service.
func (s *System) Configure(version int, bookings string) {
	s.Store.Put("op", "config", standin.Configuration(version, bookings))
}

// Upstream starts an upstream and registers it in the store.
func (s *System) Upstream(id, service, release string, b standin.Behaviour) *standin.Upstream {
	s.T.Helper()
	r, err := standin.StartUpstream(s.Store, id, service, release, "z", b)
	assert.NilError(s.T, err)
	return r
}

// defaultGrace is the grace period of the VMs that Start starts.
const defaultGrace = 5 * time.Second

// Start starts a VM whose seeds are the VMs started before it, and waits until it
// is ready.
func (s *System) Start() *VM {
	s.T.Helper()
	return s.StartWithGrace(defaultGrace)
}

// StartWithGrace is like Start, with a given time between the signal to stop and the kill.
func (s *System) StartWithGrace(grace time.Duration) *VM {
	s.T.Helper()
	link, err := faultlink.New(s.storeAddress)
	assert.NilError(s.T, err)
	s.T.Cleanup(link.Close)
	vm := &VM{runResult: make(chan error, 1), StoreLink: link, Settings: platform.Settings{
		VM: fmt.Sprintf("vm%d", len(s.VMs)), AvailabilityZone: "z", Front: e2e.FreePort(s.T), Ready: e2e.FreePort(s.T), Peer: e2e.FreePort(s.T),
		StoreAddress: link.Address(), MemoryBytes: 1 << 30, Cores: 1,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: grace, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 500,
			ExposureShare: 0.15, SessionIdle: 5 * time.Second, CacheLifetime: 10 * time.Second,
		},
	}}
	if s.Bounds != nil {
		s.Bounds(&vm.Settings.Bounds)
	}
	for _, other := range s.VMs {
		vm.Settings.Seeds = append(vm.Settings.Seeds, other.Settings.Peer)
	}
	ctx, stop := context.WithCancel(context.Background())
	vm.stop = stop
	e := entry.New(entry.Options{Settings: vm.Settings, Log: zap.NewNop()})
	go func() {
		err := e.Run(ctx)
		if ctx.Err() == nil {
			s.T.Logf("%s ended by itself: %v", vm.Settings.VM, err)
		}
		vm.runResult <- err
	}()
	s.T.Cleanup(func() { stop() })
	s.VMs = append(s.VMs, vm)
	s.Eventually("the VM is ready", vm.Ready)
	return vm
}

// Stop begins the planned stop of the VM, as SIGTERM does.
func (vm *VM) Stop() { vm.stop() }

// Wait waits until the VM has stopped and returns the error of Entry.Run.
func (vm *VM) Wait() error { return <-vm.runResult }

// Ready probes the readiness of the VM as the platform's load balancer does.
func (vm *VM) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + vm.Settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Eventually waits until ok returns true and fails the test after ten seconds. what
// describes the condition.
func (s *System) Eventually(what string, ok func() bool) {
	s.T.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			s.T.Fatalf("not within ten seconds: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Answer is the response that a client received. Complete is false if there was none
// or if the connection broke before its end.
type Answer struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool
}

// Call sends a POST request with a unique request ID, over a new connection and in a
// session of its own.
func (s *System) Call(vm *VM, path, key string) Answer {
	s.T.Helper()
	s.requests++
	header := standin.ClientHeader(fmt.Sprintf("r%d", s.requests), key, fmt.Sprintf("session%d", s.requests))
	return s.Send(vm, path, header)
}

// Send sends a POST request with the given header over a new connection. It may be called
// concurrently.
func (s *System) Send(vm *VM, path string, header http.Header) Answer {
	req, err := http.NewRequestWithContext(s.T.Context(), http.MethodPost, "http://"+vm.Settings.Front+path, strings.NewReader("body"))
	if err != nil {
		s.T.Error(err)
		return Answer{}
	}
	req.Host, req.Header, req.Close = standin.Host, header, true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Complete: err == nil}
}
