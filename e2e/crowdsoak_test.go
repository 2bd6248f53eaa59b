package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// Environment variables for manual runs of TestCrowdSoak, for example
//
//	CROWD_FIRST=100 CROWD_SEEDS=50 go test ./e2e -run TestCrowdSoak -timeout 1h
const (
	crowdFirstVariable   = "CROWD_FIRST"
	crowdSeedsVariable   = "CROWD_SEEDS"
	crowdSecondsVariable = "CROWD_SECONDS"
	crowdVMsVariable     = "CROWD_VMS"
)

// Guards against a VM that ends, hangs, exceeds its machine, breaks a promise or does not give
// back what clients used, while crowds of several kinds come and go, settings change, and VMs
// are stopped, killed and paused.
func TestCrowdSoak(t *testing.T) {
	first := e2e.EnvInt(t, crowdFirstVariable, 1)
	for seed := range e2e.EnvInt(t, crowdSeedsVariable, 3) {
		t.Run(strconv.Itoa(first+seed), func(t *testing.T) {
			soakCrowds(t, uint64(first+seed), e2e.EnvInt(t, crowdVMsVariable, 3), time.Duration(e2e.EnvInt(t, crowdSecondsVariable, 12))*time.Second)
		})
	}
}

// soakVM is a VM of a soak. Only the goroutine that disrupts it changes it.
type soakVM struct {
	*crowdVM
	// most is the largest memory that the settings of the current process have stated, and
	// mostDescriptors that of the descriptors.
	most            int64
	mostDescriptors int
	w               *watch
}

func (s *soakVM) run(t *testing.T) {
	s.start(t)
	s.most, s.mostDescriptors = s.settings.MemoryBytes, s.settings.Descriptors
	s.w = watchDescriptors(t, s.Process)
}

// endOfProcess checks a process that is about to be ended.
func (s *soakVM) endOfProcess(t *testing.T) {
	t.Helper()
	s.w.stop()
	if !assert.Check(t, s.Running(), "%s", s.Output()) {
		return
	}
	peak := peakMemory(t, s.Process)
	t.Logf("%s: at most %d of %d MB and %d of %d descriptors", s.settings.VM, peak>>20, s.most>>20, s.w.most, s.mostDescriptors)
	assert.Check(t, int64(peak) < s.most, "%s: %d MB", s.settings.VM, peak>>20)
	assert.Check(t, s.w.most < s.mostDescriptors, "%s: %d descriptors", s.settings.VM, s.w.most)
}

func soakCrowds(t *testing.T, seed uint64, vms int, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 52))
	site := startSite(t)
	var list []*soakVM
	var seeds []string
	for i := range vms {
		vm := &soakVM{crowdVM: site.newVM(t, fmt.Sprint("vm", i), crowdMemory, crowdDescriptors)}
		seeds = append(seeds, vm.settings.Peer)
		list = append(list, vm)
	}
	for _, vm := range list {
		vm.settings.Seeds = seeds[:min(len(seeds), 3)]
		vm.run(t)
	}
	for _, vm := range list {
		e2e.Eventually(t, "the VM is ready", vm.ready)
	}
	end := make(chan struct{})
	var group sync.WaitGroup
	b := &bookingClient{site: site}
	for _, vm := range list {
		// The settings change while the crowds play.
		addresses := vm.settings
		group.Go(func() { b.book(addresses.Front, end) })
		plan := rand.New(rand.NewPCG(random.Uint64(), 1))
		group.Go(func() { vm.disrupt(t, plan, end) })
		for range 2 {
			plan := rand.New(rand.NewPCG(random.Uint64(), 2))
			group.Go(func() { vm.sendCrowds(plan, addresses, end) })
		}
	}
	plan := rand.New(rand.NewPCG(random.Uint64(), 3))
	group.Go(func() { site.changeUpstreams(plan, end) })
	time.Sleep(length)
	close(end)
	group.Wait()
	site.service.SetBehaviour(standin.Behaviour{})
	site.engine.SetBehaviour(standin.Behaviour{Events: 3})
	for _, vm := range list {
		vm.serves(t, "after the crowds")
		e2e.Eventually(t, "all that clients used is given back", func() bool {
			return vm.metric(t, "savoryshift_client_connections") < 5 && vm.metric(t, "savoryshift_client_memory_bytes") < 1<<20
		})
		vm.endOfProcess(t)
	}
	b.check(t)
}

// metric returns a gauge of the VM.
func (vm *crowdVM) metric(t *testing.T, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + vm.metrics + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindSubmatch(text)
	assert.Assert(t, found != nil, name)
	value, err := strconv.ParseFloat(string(found[1]), 64)
	assert.NilError(t, err)
	return value
}

// pause waits for up to most, or until end is closed, which it reports.
func pause(random *rand.Rand, most time.Duration, end <-chan struct{}) (ended bool) {
	select {
	case <-end:
		return true
	case <-time.After(time.Duration(random.Int64N(int64(most)))):
		return false
	}
}

// sendCrowds lets crowds play at the VM, one after the other.
func (s *soakVM) sendCrowds(random *rand.Rand, addresses platform.Settings, end <-chan struct{}) {
	kinds := crowds()
	for _, l := range crowdLoads() {
		kinds = append(kinds, crowd{name: l.name, target: func(*crowdVM) string {
			if l.target != nil {
				return l.target(addresses)
			}
			return addresses.Front
		}, play: l.play})
	}
	for !pause(random, time.Second, end) {
		c := kinds[random.IntN(len(kinds))]
		c.clients = 20 + random.IntN(200)
		address := addresses.Front
		if c.target != nil {
			address = c.target(&crowdVM{settings: addresses, metrics: s.metrics})
		}
		stop := c.start(address)
		pause(random, 4*time.Second, end)
		stop()
	}
}

// disrupt changes the settings of the VM, and stops, kills and pauses it.
func (s *soakVM) disrupt(t *testing.T, random *rand.Rand, end <-chan struct{}) {
	for !pause(random, 3*time.Second, end) {
		switch random.IntN(5) {
		case 0, 1:
			s.settings.MemoryBytes = int64(crowdMemory + random.IntN(64<<20))
			s.settings.Descriptors = crowdDescriptors + random.IntN(300)
			s.most, s.mostDescriptors = max(s.most, s.settings.MemoryBytes), max(s.mostDescriptors, s.settings.Descriptors)
			s.writeSettings(t)
			s.Signal(syscall.SIGHUP)
		case 2:
			s.endOfProcess(t)
			s.Signal(syscall.SIGTERM)
			// A further change meets the stop.
			if random.IntN(2) == 0 && s.Running() {
				s.writeSettings(t)
				_ = syscall.Kill(s.Pid(), syscall.SIGHUP)
			}
			assert.Check(t, s.ExitCode() == 0)
			s.run(t)
		case 3:
			s.endOfProcess(t)
			s.Kill()
			s.run(t)
		case 4:
			s.Pause()
			pause(random, 1500*time.Millisecond, end)
			s.Resume()
		}
	}
}

// changeUpstreams changes how the upstreams behave.
func (site *crowdSite) changeUpstreams(random *rand.Rand, end <-chan struct{}) {
	for !pause(random, 2*time.Second, end) {
		site.service.SetBehaviour(standin.Behaviour{ServiceTime: time.Duration(random.IntN(1000)) * time.Millisecond, BodyBytes: random.IntN(2) * random.IntN(1<<20)})
		site.engine.SetBehaviour(standin.Behaviour{Events: 1 + random.IntN(200), EventEvery: time.Duration(random.IntN(100)) * time.Millisecond, EventBytes: random.IntN(40 << 10)})
	}
}

// bookingPrefix begins the identifiers of the bookings of a bookingClient. Crowds use others again.
const bookingPrefix = "soaked-"

// bookingClient is an ordinary client that makes bookings, each on a connection that it keeps while it
// can.
type bookingClient struct {
	site   *crowdSite
	number atomic.Int64
	// refused and served hold the identifiers of the bookings by their outcome.
	refused, served sync.Map
}

// book makes bookings at an address until end is closed.
func (b *bookingClient) book(address string, end <-chan struct{}) {
	for {
		visit(address, 0, end, func(conn net.Conn) {
			for reader := bufio.NewReader(conn); ; {
				id := fmt.Sprint(bookingPrefix, b.number.Add(1))
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				if _, err := io.WriteString(conn, patientRequest("/book/x", id, "body")); err != nil {
					return
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				text, err := io.ReadAll(resp.Body)
				switch {
				case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
					b.refused.Store(id, resp.StatusCode)
				case resp.StatusCode == http.StatusOK && err == nil:
					b.served.Store(id, string(text))
				}
				if err != nil || resp.Close {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
		select {
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// check compares what the client was told with what the service ran.
func (b *bookingClient) check(t *testing.T) {
	t.Helper()
	runs, served, refused := b.site.bookings.Runs(), 0, 0
	for id, n := range runs {
		assert.Check(t, n == 1 || !strings.HasPrefix(id, bookingPrefix), "%s ran %d times", id, n)
	}
	b.refused.Range(func(id, status any) bool {
		refused++
		return assert.Check(t, runs[id.(string)] == 0, "%s was refused with %d and ran", id, status)
	})
	b.served.Range(func(id, text any) bool {
		served++
		return assert.Check(t, runs[id.(string)] == 1 && strings.Contains(text.(string), "/book/x"), "%s was served and ran %d times: %s", id, runs[id.(string)], text)
	})
	t.Logf("%d bookings served, %d refused", served, refused)
	assert.Check(t, served > 0)
}
