package e2e_test

import (
	"bufio"
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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// The crowd and the machine of the tests of clients outside our control. Before
	// there was a common bound, 11 of the 14 loads exceeded these limits.
	crowdMemory      = 64 << 20
	crowdDescriptors = 500
	crowdClients     = 600
	crowdTime        = 4 * time.Second
	// crowdHeadBytes and crowdBodyBytes are the limits of the configuration.
	crowdHeadBytes = 16 << 10
	crowdBodyBytes = 4 << 20
	// crowdLongBodies is the number of clients that send bodies of crowdBodyBytes.
	crowdLongBodies = 60
	// crowdPatience is the deadline of requests that stay, and crowdSlots the number of them
	// that an engine takes.
	crowdPatience = 5 * time.Minute
	crowdSlots    = 4000
	// otherKey is the key of an organisation that has no crowd.
	otherKey = "key-2"
	// crowdPause is made by a client before it connects again.
	crowdPause = 100 * time.Millisecond
)

// clientLoad is what each client of a crowd sends.
type clientLoad struct {
	name    string
	clients int
	// target is the listener; the default is the front.
	target func(platform.Settings) string
	// head is sent once, then part up to parts times; the connection then stays open.
	head, part string
	parts      int
}

// endlessParts are more parts than any client sends in crowdTime.
const endlessParts = 1 << 30

// headOf returns the begin of a request with credentials. The service takes crowdTime.
func headOf(id, more string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /look/x HTTP/1.1\r\nHost: %s\r\n", standin.Host)
	_ = standin.ClientHeader(id, standin.Key, id).Write(&b)
	return b.String() + more
}

// shortLines returns n header lines with distinct names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i+0x1000)
	}
	return b.String()
}

func crowdLoads() []clientLoad {
	body := strings.Repeat("a", 60<<10)
	return []clientLoad{
		{name: "many short lines", clients: crowdClients, head: headOf("lines", shortLines(2400)+"Content-Length: 0\r\n\r\n")},
		{name: "one name repeated", clients: crowdClients, head: headOf("names", strings.Repeat("a:b\n", 3500)+"Content-Length: 0\r\n\r\n")},
		{name: "short lines without end", clients: crowdClients, head: headOf("lines", ""), part: shortLines(100), parts: endlessParts},
		{name: "heads over the limit", clients: crowdClients, head: headOf("long", "X-Long: "+strings.Repeat("a", 80<<10)+"\r\n\r\n")},
		{name: "heads without end", clients: crowdClients, head: headOf("endless", "X-Long: "), part: strings.Repeat("a", 1<<10), parts: endlessParts},
		{name: "heads that stop", clients: crowdClients, head: headOf("stop", "X-Long: "+strings.Repeat("a", 60<<10))},
		{name: "empty lines without end", clients: crowdClients, head: "\r\n", part: strings.Repeat("\r\n", 512), parts: endlessParts},
		{name: "bodies", clients: crowdClients, head: headOf("whole", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), part: body, parts: 1},
		{name: "bodies that stop", clients: crowdClients, head: headOf("part", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)), part: body, parts: 1},
		{name: "bodies in chunks that stop", clients: crowdClients, head: headOf("chunks", "Transfer-Encoding: chunked\r\n\r\n"), part: "400\r\n" + body[:1<<10] + "\r\n", parts: 60},
		{name: "long bodies", clients: crowdLongBodies, head: headOf("whole", fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)), part: body[:1<<14], parts: crowdBodyBytes >> 14},
		{name: "long bodies that stop", clients: crowdLongBodies, head: headOf("part", fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes-1<<14+1)), part: body[:1<<14], parts: crowdBodyBytes>>14 - 1},
		{
			name: "long bodies in chunks that stop", clients: crowdLongBodies, head: headOf("chunks", "Transfer-Encoding: chunked\r\n\r\n"), part: "4000\r\n" + body[:1<<14] + "\r\n", parts: crowdBodyBytes>>14 - 1,
		},
		{name: "connections without a byte", clients: crowdClients},
		{name: "heads that stop at the address for probes", clients: crowdClients, target: probeAddress, head: headOf("stop", "X-Long: "+strings.Repeat("a", 60<<10))},
		{name: "connections without a byte at the address for peers", clients: crowdClients, target: peerAddress},
	}
}

func probeAddress(s platform.Settings) string { return s.Ready }

func peerAddress(s platform.Settings) string { return s.Peer }

// press sends a load to an address until end closes: each client connects again when its
// connection is closed. It returns when all clients have left.
func press(address string, l clientLoad, end <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for range l.clients {
		group.Go(func() {
			for {
				l.send(address, end)
				select {
				case <-end:
					return
				case <-time.After(crowdPause):
				}
			}
		})
	}
	return &group
}

// send sends the load on one connection and keeps it until it is closed or end closes.
func (l clientLoad) send(address string, end <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	go func() {
		_, err := io.WriteString(conn, l.head)
		for i := 0; i < l.parts && err == nil; i++ {
			_, err = io.WriteString(conn, l.part)
		}
	}()
	select {
	case <-closed:
	case <-end:
	}
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(t *testing.T, p *e2e.Process) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		t.Skipf("the descriptors of a process are not known here: %v", err)
	}
	return len(entries)
}

// crowdSite is a store with a configuration, and upstreams: an engine, a service that takes
// crowdTime, and a service for bookings, which the load on the other one does not slow down.
type crowdSite struct {
	store                     *standin.RowStore
	storeAddress              string
	service, bookings, engine *standin.Upstream
}

// startSite starts a store and upstreams. Routes let requests run for crowdPatience.
func startSite(t *testing.T) *crowdSite {
	t.Helper()
	site := &crowdSite{store: standin.NewRowStore()}
	server := httptest.NewServer(site.store)
	t.Cleanup(server.Close)
	site.storeAddress = strings.TrimPrefix(server.URL, "http://")
	configuration := standin.Configuration(1, "desk2")
	standin.SetSlots(configuration, crowdSlots)
	standin.SetTimeout(configuration, crowdPatience)
	standin.AddOrganisation(configuration, "other", otherKey)
	configuration["Limits"] = map[string]any{"MaxHeaderBytes": crowdHeadBytes, "MaxBodyBytes": crowdBodyBytes, "HeaderTimeoutMs": 20_000, "IdleTimeoutMs": 60_000}
	site.store.Put("op", "config", configuration)
	upstream := func(id, service string, b standin.Behaviour) *standin.Upstream {
		u, err := standin.ListenUpstream(site.store, id, service, "v1", "z", b)
		assert.NilError(t, err)
		t.Cleanup(u.Stop)
		u.Slots = crowdSlots
		u.Register(u.Address())
		return u
	}
	site.service = upstream("d0", "desk", standin.Behaviour{ServiceTime: crowdTime})
	site.bookings = upstream("b0", "desk2", standin.Behaviour{})
	site.engine = upstream("m0", "model", standin.Behaviour{Events: 3})
	return site
}

// crowdVM is a VM with little memory.
type crowdVM struct {
	*e2e.Process
	*crowdSite
	settings     platform.Settings
	settingsPath string
	metrics      string
	// key is that of ordinary clients.
	key string
}

func startCrowdVM(t *testing.T) *crowdVM {
	t.Helper()
	return startVM(t, crowdMemory, crowdDescriptors)
}

// startVM starts a VM with a number of bytes and descriptors, and its site.
func startVM(t *testing.T, memory int64, descriptors int) *crowdVM {
	t.Helper()
	vm := startSite(t).newVM(t, "vm0", memory, descriptors)
	vm.start(t)
	e2e.Eventually(t, "the VM is ready", vm.ready)
	return vm
}

// newVM returns a VM that does not run yet.
func (site *crowdSite) newVM(t *testing.T, name string, memory int64, descriptors int) *crowdVM {
	t.Helper()
	s := platform.Settings{
		VM: name, AvailabilityZone: "z", Front: e2e.FreePort(t), Ready: e2e.FreePort(t), Peer: e2e.FreePort(t),
		StoreAddress: site.storeAddress, MemoryBytes: memory, Cores: 1, Descriptors: descriptors,
		Bounds: platform.Bounds{Drain: 2 * time.Second, Grace: 5 * time.Second, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 1000, ExposureShare: 0.15, SessionIdle: 5 * time.Second, CacheLifetime: 10 * time.Second},
	}
	return &crowdVM{crowdSite: site, settings: s, settingsPath: filepath.Join(t.TempDir(), "settings.json"), metrics: e2e.FreePort(t), key: standin.Key}
}

// start starts the process of the VM.
func (vm *crowdVM) start(t *testing.T) {
	t.Helper()
	vm.writeSettings(t)
	cmd := exec.Command(binaries.Daemon, "entry", "--metrics", vm.metrics)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+vm.settingsPath)
	vm.Process = e2e.Start(t, cmd)
}

// writeSettings writes the settings file.
func (vm *crowdVM) writeSettings(t *testing.T) {
	t.Helper()
	data, err := standin.SettingsFile(vm.settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(vm.settingsPath, data, 0o600))
}

// ready reports whether the VM passes a readiness probe.
func (vm *crowdVM) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + vm.settings.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask sends one request on a connection of its own and reports whether it was served.
func (vm *crowdVM) ask(request string) bool {
	conn, err := net.DialTimeout("tcp4", vm.settings.Front, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a VM that ends, or uses more than its machine has, because of what clients
// send: many small header lines, sections without an end, bodies just short of their end.
func TestClientsOutsideOurControlUseUpAVM(t *testing.T) {
	for _, l := range crowdLoads() {
		t.Run(l.name, func(t *testing.T) {
			vm := startCrowdVM(t)
			idle := peakMemory(t, vm.Process)
			end := make(chan struct{})
			address := vm.settings.Front
			if l.target != nil {
				address = l.target(vm.settings)
			}
			crowd := press(address, l, end)
			most := 0
			for until := time.Now().Add(crowdTime); time.Now().Before(until) && vm.Running(); time.Sleep(10 * time.Millisecond) {
				most = max(most, openDescriptors(t, vm.Process))
			}
			if assert.Check(t, vm.Running(), "%s", vm.Output()) {
				vm.service.SetBehaviour(standin.Behaviour{})
				peak := peakMemory(t, vm.Process)
				t.Logf("at most %d MB (%d MB before) and %d descriptors", peak>>20, idle>>20, most)
				assert.Check(t, peak < crowdMemory, "%d MB", peak>>20)
				assert.Check(t, most < crowdDescriptors, "%d descriptors", most)
				close(end)
				crowd.Wait()
				var n atomic.Int64
				e2e.Eventually(t, "an ordinary request is served", func() bool {
					return vm.ask(headOf(fmt.Sprint("ordinary-", n.Add(1)), "Content-Length: 4\r\n\r\nbody"))
				})
				return
			}
			close(end)
			crowd.Wait()
		})
	}
}

// Guards against a bound on all clients that refuses a single request inside the limits.
func TestLargestRequestsAreServedAlone(t *testing.T) {
	vm := startCrowdVM(t)
	vm.service.SetBehaviour(standin.Behaviour{})
	body := strings.Repeat("a", crowdBodyBytes)
	for name, request := range map[string]string{
		"short lines": headOf("lines", shortLines(2300)+"Content-Length: 0\r\n\r\n"),
		"one name":    headOf("names", strings.Repeat("a:b\n", 3500)+"Content-Length: 0\r\n\r\n"),
		"a long body": headOf("body", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + body,
		"in chunks":   headOf("chunks", "Transfer-Encoding: chunked\r\n\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		assert.Check(t, vm.ask(request), name)
	}
}
