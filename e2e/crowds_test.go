package e2e_test

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/internal/knownred"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	// The machine of the crowds of requests that stay.
	stayMemory      = 88 << 20
	stayDescriptors = 4100
	stayClients     = 1500
	// digestClients is the number of clients at the address for peers that send digests with two
	// lists of emptyEntries empty entries, which take one byte each.
	digestClients = 100
	emptyEntries  = 500_000
	// slowReadBytes is what a slow reader takes every slowReadPause, and slowReadWindow the
	// size of its receive buffer.
	slowReadBytes  = 64
	slowReadPause  = 100 * time.Millisecond
	slowReadWindow = 4 << 10
)

// player is what a client does on one connection. It returns when the connection ends.
type player func(conn net.Conn, client int)

// crowd is a number of clients that do the same. Each connects again when its connection has
// ended.
type crowd struct {
	name    string
	clients int
	// target is the listener; the default is the front.
	target func(*crowdVM) string
	// desks is the number of further instances of the service, and service and engine are the
	// behaviours of the upstreams.
	desks           int
	service, engine standin.Behaviour
	play            player
	// key is that of ordinary clients, empty for that of the crowd.
	key string
	// window is the receive buffer of the clients, 0 for that of the system.
	window int
}

// start lets the crowd play at an address until the returned function is called, which returns
// when all clients have left.
func (c crowd) start(address string) (stop func()) {
	end := make(chan struct{})
	var group sync.WaitGroup
	for client := range c.clients {
		group.Go(func() {
			for {
				visit(address, c.window, end, func(conn net.Conn) { c.play(conn, client) })
				select {
				case <-end:
					return
				case <-time.After(crowdPause):
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(end)
		group.Wait()
	})
}

// visit plays on a new connection, which is closed when end is. The connection has a receive
// buffer of window bytes, 0 for that of the system.
func visit(address string, window int, end <-chan struct{}, play func(net.Conn)) {
	dialer := net.Dialer{Timeout: time.Second}
	if window > 0 {
		// The sender takes its segments and its buffer from the window that it learns first.
		dialer.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
		}
	}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-end:
		case <-done:
		}
		_ = conn.Close()
	}()
	play(conn)
}

// reads sends a text and takes what comes.
func reads(text func(client int) string) player {
	return func(conn net.Conn, client int) {
		go func() { _ = writeParts(conn, text(client)) }()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// writeParts writes a text in parts, because io.WriteString copies it, which takes gigabytes for
// a crowd whose bodies are not read.
func writeParts(conn net.Conn, text string) error {
	for len(text) > 0 {
		n := min(len(text), 16<<10)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// readsSlowly sends a text a number of times and takes few of the bytes that come.
func readsSlowly(text func(client int) string, times int) player {
	return func(conn net.Conn, client int) {
		go func() {
			for range times {
				if writeParts(conn, text(client)) != nil {
					return
				}
			}
		}()
		for part := make([]byte, slowReadBytes); ; time.Sleep(slowReadPause) {
			if _, err := conn.Read(part); err != nil {
				return
			}
		}
	}
}

// keeps sends one request after the other on a connection, and takes the answers.
func keeps(request func(number int64) string) player {
	var number atomic.Int64
	return func(conn net.Conn, _ int) {
		for reader := bufio.NewReader(conn); ; {
			if _, err := io.WriteString(conn, request(number.Add(1))); err != nil {
				return
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return
			}
		}
	}
}

// longStream is an engine whose streams stay.
var longStream = standin.Behaviour{Events: 10_000, EventEvery: time.Second / 2}

// patientRequest returns a request whose client waits for crowdPatience.
func patientRequest(path, id, body string) string {
	return patientRequestWith(standin.Key, path, id, body)
}

// patientRequestWith is like patientRequest with another key.
func patientRequestWith(key, path, id, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, standin.Host)
	header := standin.ClientHeader(id, key, id)
	standin.SetPatience(header, crowdPatience)
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// manyParts returns the header of a request whose prompt has many parts that no other has.
func manyParts(number int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /stream/x HTTP/1.1\r\nHost: %s\r\n", standin.Host)
	header := standin.ClientHeader(fmt.Sprint(number), standin.Key, fmt.Sprint(number))
	standin.SetManyParts(header, fmt.Sprintf("%08x", number), 900)
	header.Set("X-Model", "small")
	_ = header.Write(&b)
	return b.String() + "Content-Length: 0\r\n\r\n"
}

// unroutedRequest returns a request that has an identifier and no route.
func unroutedRequest(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /none HTTP/1.1\r\nHost: %s\r\n", standin.Host)
	_ = standin.IDHeader(id).Write(&b)
	return b.String() + "\r\n"
}

// longID returns an identifier of a request of 12 KiB.
func longID(number int64) string { return fmt.Sprintf("%d-%s", number, strings.Repeat("a", 12<<10)) }

func small(path string) func(int) string {
	return func(client int) string { return patientRequest(path, fmt.Sprint("c", client), "body") }
}

func sized(path string, bytes int) func(int) string {
	body := strings.Repeat("a", bytes)
	return func(client int) string { return patientRequest(path, fmt.Sprint("c", client), body) }
}

// crowds are the kinds of TestCrowds. They play at a VM of crowdMemory and crowdDescriptors.
func crowds() []crowd {
	notFound := unroutedRequest("n")
	metrics := func(vm *crowdVM) string { return vm.metrics }
	text := func(s string) func(int) string { return func(int) string { return s } }
	peers := func(vm *crowdVM) string { return vm.settings.Peer }
	return []crowd{
		{name: "streams of large events that are read slowly", clients: crowdClients, window: slowReadWindow, engine: standin.Behaviour{Events: 10_000, EventBytes: 60 << 10}, play: readsSlowly(small("/stream/x"), 1)},
		{name: "long answers that are read slowly", clients: crowdClients, window: slowReadWindow, service: standin.Behaviour{BodyBytes: 1 << 20}, play: readsSlowly(small("/look/x"), 1)},
		{name: "answers of medium size that are read slowly", clients: crowdClients, window: slowReadWindow, service: standin.Behaviour{BodyBytes: 60 << 10}, play: readsSlowly(small("/look/x"), 20)},
		{name: "requests in one write whose answers are read slowly", clients: crowdClients, window: slowReadWindow, play: readsSlowly(text(strings.Repeat(notFound, 200)), 500)},
		{name: "bookings on kept connections", clients: crowdClients, play: keeps(func(n int64) string { return patientRequest("/book/x", fmt.Sprint("kept-", n), "body") })},
		{name: "prompts of many parts", clients: crowdClients, engine: standin.Behaviour{Events: 3}, play: keeps(manyParts)},
		{name: "long names of sessions", clients: crowdClients, engine: standin.Behaviour{Events: 3}, play: keeps(func(n int64) string {
			return patientRequest("/stream/x", fmt.Sprintf("%d-%s", n, strings.Repeat("a", 4<<10)), "body")
		})},
		{name: "long identifiers of requests that are refused", clients: crowdClients, play: keeps(func(n int64) string {
			return unroutedRequest(longID(n))
		})},
		{name: "slow calls that are made twice", clients: crowdClients, desks: 1, service: standin.Behaviour{ServiceTime: crowdPatience}, play: reads(small("/look/x"))},
		{name: "streams without a body that stay", clients: crowdClients, engine: longStream, play: reads(small("/stream/x"))},
		{name: "streams of one organisation that stay", clients: crowdClients, engine: longStream, key: otherKey, play: reads(small("/stream/x"))},
		{name: "metrics that are read slowly", clients: crowdClients, window: slowReadWindow, target: metrics, play: readsSlowly(text("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 1000)},
		{name: "bodies at the address for probes", clients: crowdClients, target: func(vm *crowdVM) string { return vm.settings.Ready }, play: reads(text(sized("/", crowdBodyBytes)(0)))},
		{name: "messages without end at the address for peers", clients: crowdClients, target: peers, play: reads(text("\xfc\x00\x7f\xff\xff" + strings.Repeat("\x01", crowdBodyBytes)))},
	}
}

// watch records the descriptors of a process until it is stopped.
type watch struct {
	most  int
	ended chan struct{}
	stop  func()
}

func watchDescriptors(t *testing.T, p *e2e.Process) *watch {
	w := &watch{ended: make(chan struct{})}
	end := make(chan struct{})
	w.stop = sync.OnceFunc(func() { close(end); <-w.ended })
	go func() {
		defer close(w.ended)
		for p.Running() {
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
				w.most = max(w.most, openDescriptors(t, p))
			}
		}
	}()
	t.Cleanup(w.stop)
	return w
}

// serves waits until the VM has served an ordinary booking, an ordinary stream and a probe.
func (vm *crowdVM) serves(t *testing.T, when string) {
	t.Helper()
	var n atomic.Int64
	for _, path := range []string{"/book/x", "/stream/x"} {
		e2e.Eventually(t, "an ordinary request to "+path+" is served "+when, func() bool {
			return !vm.Running() || vm.begins(patientRequestWith(vm.key, path, fmt.Sprintf("ordinary-%s-%d", strings.Fields(when)[0], n.Add(1)), "body"))
		})
	}
	e2e.Eventually(t, "a probe is answered "+when, func() bool { return !vm.Running() || vm.ready() })
	assert.Assert(t, vm.Running(), "%s", vm.Output())
}

// begins sends one request on a connection of its own and reports whether the first byte of the
// body of a response with status 200 arrives.
func (vm *crowdVM) begins(request string) bool {
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
	// Closing the body would read a stream to its end.
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	return err == nil && resp.StatusCode == http.StatusOK
}

// behave sets the behaviours of the upstreams for a crowd.
func (vm *crowdVM) behave(c crowd) {
	vm.service.SetBehaviour(c.service)
	if c.engine.Events == 0 {
		c.engine.Events = 3
	}
	vm.engine.SetBehaviour(c.engine)
}

// check compares the memory and the descriptors of the VM with what its machine has.
func (vm *crowdVM) check(t *testing.T, descriptors int) {
	t.Helper()
	peak := peakMemory(t, vm.Process)
	t.Logf("at most %d MB and %d descriptors", peak>>20, descriptors)
	assert.Check(t, int64(peak) < vm.settings.MemoryBytes, "%d MB", peak>>20)
	assert.Check(t, descriptors < vm.settings.Descriptors, "%d descriptors", descriptors)
}

// Guards against a VM that ends, uses more than its machine has, or serves no ordinary client
// any more because of what a crowd sends or does not read. The crowd stays while ordinary
// clients are served.
func TestCrowds(t *testing.T) {
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) {
			knownred.SkipListed(t, "e2e")
			vm := startVM(t, crowdMemory, crowdDescriptors)
			vm.behave(c)
			vm.key = cmp.Or(c.key, vm.key)
			for i := range c.desks {
				desk, err := standin.StartUpstream(vm.store, fmt.Sprint("further-", i), "desk", "v1", "z", c.service)
				assert.NilError(t, err)
				t.Cleanup(desk.Stop)
			}
			address := vm.settings.Front
			if c.target != nil {
				address = c.target(vm)
			}
			w := watchDescriptors(t, vm.Process)
			stop := c.start(address)
			defer stop()
			for until := time.Now().Add(crowdTime); time.Now().Before(until) && vm.Running(); time.Sleep(10 * time.Millisecond) {
			}
			assert.Assert(t, vm.Running(), "%s", vm.Output())
			vm.check(t, 0)
			vm.serves(t, "beside the crowd")
			stop()
			w.stop()
			vm.check(t, w.most)
			vm.serves(t, "after the crowd")
		})
	}
}

// Guards against log lines that use up the memory of a VM while its output is not read: clients
// choose the identifiers that they hold.
func TestLogOfACrowdIsNotRead(t *testing.T) {
	vm := startVM(t, crowdMemory, crowdDescriptors)
	read := vm.LeaveOutput()
	// The process can only be waited for when its output is read.
	t.Cleanup(read)
	c := crowd{clients: crowdClients, play: keeps(func(n int64) string {
		return unroutedRequest(longID(n))
	})}
	stop := c.start(vm.settings.Front)
	defer stop()
	time.Sleep(crowdTime)
	vm.serves(t, "beside the crowd")
	stop()
	vm.check(t, 0)
}

// Guards against ordinary callers that are refused for as long as a crowd of requests stays
// that each are small.
func TestStreamsThatStayKeepOthersOut(t *testing.T) {
	vm := startVM(t, stayMemory, stayDescriptors)
	c := crowd{clients: stayClients, engine: longStream, play: reads(sized("/stream/x", 60<<10))}
	vm.behave(c)
	w := watchDescriptors(t, vm.Process)
	stop := c.start(vm.settings.Front)
	defer stop()
	time.Sleep(crowdTime)
	vm.serves(t, "beside the crowd")
	var n atomic.Int64
	e2e.Eventually(t, "a booking with a body of the same size is served", func() bool {
		return !vm.Running() || vm.begins(sized("/book/x", 60<<10)(int(-n.Add(1))))
	})
	stop()
	w.stop()
	vm.check(t, w.most)
}

// Guards against memory and places that are not given back when a crowd leaves: the same crowd
// comes again and again.
func TestCrowdsComeBack(t *testing.T) {
	vm := startVM(t, crowdMemory, crowdDescriptors)
	var kinds []crowd
	for _, l := range crowdLoads() {
		if l.target == nil {
			kinds = append(kinds, crowd{name: l.name, clients: l.clients / 10, play: l.play})
		}
	}
	for _, c := range crowds() {
		if c.target == nil {
			c.clients /= 10
			kinds = append(kinds, c)
		}
	}
	vm.behave(crowd{service: standin.Behaviour{BodyBytes: 100 << 10, ServiceTime: time.Second / 4}, engine: standin.Behaviour{Events: 20, EventEvery: time.Second / 10, EventBytes: 10 << 10}})
	w := watchDescriptors(t, vm.Process)
	for range e2e.EnvInt(t, "CROWD_ROUNDS", 3) {
		var stops []func()
		for _, c := range kinds {
			stops = append(stops, c.start(vm.settings.Front))
		}
		time.Sleep(crowdTime)
		for _, stop := range stops {
			stop()
		}
		vm.serves(t, "between two crowds")
	}
	w.stop()
	vm.check(t, w.most)
}

// play sends the load and takes what comes.
func (l clientLoad) play(conn net.Conn, _ int) {
	go func() {
		_, err := io.WriteString(conn, l.head)
		for i := 0; i < l.parts && err == nil; i++ {
			_, err = io.WriteString(conn, l.part)
		}
	}()
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a planned stop that hangs because clients do not read, do not send or stay.
func TestCrowdsInAStop(t *testing.T) {
	for _, c := range crowds() {
		if c.target != nil {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			vm := startVM(t, crowdMemory, crowdDescriptors)
			vm.behave(c)
			stop := c.start(vm.settings.Front)
			defer stop()
			time.Sleep(time.Second)
			vm.Signal(syscall.SIGTERM)
			assert.Equal(t, vm.ExitCode(), 0)
		})
	}
}

// Guards against limits that stay as they were at the start when the settings file states less
// memory or fewer descriptors.
func TestSettingsThatShrinkBeforeACrowd(t *testing.T) {
	vm := startVM(t, 8*crowdMemory, 8*crowdDescriptors)
	vm.settings.MemoryBytes, vm.settings.Descriptors = crowdMemory, crowdDescriptors
	vm.writeSettings(t)
	vm.Signal(syscall.SIGHUP)
	e2e.Eventually(t, "the settings are reloaded", func() bool { return strings.Contains(vm.Output(), "settings reloaded") })
	c := crowd{clients: 2 * crowdClients, engine: longStream, play: reads(sized("/stream/x", 60<<10))}
	vm.behave(c)
	w := watchDescriptors(t, vm.Process)
	stop := c.start(vm.settings.Front)
	defer stop()
	time.Sleep(crowdTime)
	vm.serves(t, "beside the crowd")
	stop()
	w.stop()
	vm.check(t, w.most)
}

// emptyDigest returns the bytes of a call of a peer with many entries that are empty.
func emptyDigest(t *testing.T) []byte {
	t.Helper()
	var message bytes.Buffer
	encoder := gob.NewEncoder(&message)
	assert.NilError(t, encoder.Encode(rpc.Request{ServiceMethod: "Fleet.Exchange", Seq: 1}))
	assert.NilError(t, encoder.Encode(fleet.Digest{
		From:   fleet.Member{VM: "stranger", AvailabilityZone: "z", Address: "127.0.0.1:1"},
		Report: fleet.Report{Uses: make([]placement.CacheUse, emptyEntries), Loads: make([]fleet.LoadReport, emptyEntries)},
	}))
	return message.Bytes()
}

// Guards against messages of peers that take many times their size once they are decoded.
func TestDigestsOfEmptyEntries(t *testing.T) {
	vm := startVM(t, crowdMemory, crowdDescriptors)
	message := string(emptyDigest(t))
	c := crowd{clients: digestClients, play: reads(func(int) string { return message })}
	stop := c.start(vm.settings.Peer)
	defer stop()
	time.Sleep(crowdTime)
	vm.serves(t, "beside the crowd")
	stop()
	vm.check(t, 0)
}
