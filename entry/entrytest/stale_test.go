package entrytest

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// discoveryTime is long enough for all VMs to have discovered each other.
	discoveryTime = 2 * time.Second
	// configurationBound is ConfigMs of the platform.
	configurationBound = 2 * time.Second
	// drainBound is DrainMs of the platform.
	drainBound = 2 * time.Second
)

// silent holds all bytes between a VM and the store; connections stay open.
var silent = faultlink.Fault{HoldForward: true, HoldBack: true}

// startSystem starts VMs in one zone, two upstreams for the bookings and one for the
// service that the next configuration selects.
func startSystem(t *testing.T, vms int) (s *System, desk [2]*standin.Upstream) {
	t.Helper()
	s = New(t)
	desk = [2]*standin.Upstream{s.Upstream("d1", "desk", "v1", plainService), s.Upstream("d2", "desk", "v1", plainService)}
	s.Upstream("e1", "desk2", "v1", plainService)
	for range vms {
		s.Start()
	}
	time.Sleep(discoveryTime)
	// Each VM has followed the tables itself since its start. The next change ends those
	// calls, and passive VMs make no others.
	s.Configure(1, "desk")
	s.Upstream("m1", "model", "v1", streamingService)
	time.Sleep(time.Second)
	return s, desk
}

// Guards against a configuration that is late on a VM because the VMs that read the
// store for it are alive but hear nothing from the store.
func TestConfigurationIsLateBehindSilentReaders(t *testing.T) {
	s, _ := startSystem(t, 3)
	for _, reader := range s.VMs[:2] {
		reader.StoreLink.SetFault(silent)
	}
	s.Configure(2, "desk2")
	time.Sleep(configurationBound)
	assert.Equal(t, s.Call(s.VMs[2], "/book/x", standin.Key).Body, "/book/x for org by e1")
}

// Guards against a configuration that is late because the connections of all VMs to
// the store have gone silent without a reset, while new ones work.
func TestConfigurationIsLateOnSilentConnections(t *testing.T) {
	s, _ := startSystem(t, 3)
	for _, vm := range s.VMs {
		vm.StoreLink.Silence()
	}
	s.Configure(2, "desk2")
	time.Sleep(configurationBound)
	for _, vm := range s.VMs {
		assert.Equal(t, s.Call(vm, "/book/x", standin.Key).Body, "/book/x for org by e1")
	}
}

// Guards against requests that reach an upstream after it has left because the VM
// that reads the registrations is alive but hears nothing from the store.
func TestRequestReachesDrainedUpstreamBehindSilentReader(t *testing.T) {
	s, desk := startSystem(t, 3)
	s.VMs[0].StoreLink.SetFault(silent)
	desk[0].Drain()
	time.Sleep(drainBound)
	before := desk[0].Total()
	for range 10 {
		for _, vm := range s.VMs[1:] {
			assert.Assert(t, strings.HasSuffix(s.Call(vm, "/book/x", standin.Key).Body, "by d2"))
		}
	}
	assert.Equal(t, desk[0].Total(), before)
}

// Guards against requests that reach an upstream long after its registration was
// removed because a grace period is added to the time until the VM hears of it.
func TestRequestReachesRemovedUpstreamAfterLateNews(t *testing.T) {
	s, desk := startSystem(t, 3)
	s.Store.Remove("servers", desk[1].ID)
	time.Sleep(time.Second)
	s.VMs[0].StoreLink.SetFault(silent)
	s.Store.Remove("servers", desk[0].ID)
	time.Sleep(drainBound)
	before := desk[0].Total()
	for until := time.Now().Add(drainBound); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, vm := range s.VMs[1:] {
			s.Call(vm, "/book/x", standin.Key)
		}
	}
	assert.Equal(t, desk[0].Total(), before)
}
