package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// touch is TouchMs.
const touch = 3 * time.Second

// host is a stand-in of the platform: the store, and the machines with their processes.
type host struct {
	rec      *record
	dir      string
	program  string
	store    *standin.RowStore
	server   *http.Server
	address  string
	machines []*machine
}

func newHost(rec *record, program string) (*host, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{rec: rec, dir: dir, program: program, store: standin.NewRowStore(), address: l.Addr().String()}
	h.server = &http.Server{Handler: h.store, ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(l) }()
	return h, nil
}

// close ends all processes and removes the folder with their files.
func (h *host) close() {
	for _, m := range h.machines {
		m.end()
	}
	_ = h.server.Close()
	_ = os.RemoveAll(h.dir)
}

// machine is a machine of the class front.
type machine struct {
	h            *host
	name, path   string
	front, ready string
	control      string
	metrics      string
	memoryMb     int
	descriptors  int

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started time.Time
}

// addMachine prepares a machine. Each has a loopback address of its own, so that no outgoing
// connection takes one of its ports.
func (h *host) addMachine(zone string, memoryMb int) (*machine, error) {
	n := len(h.machines)
	m := &machine{h: h, name: fmt.Sprintf("front-%s-%d", zone, n+1), memoryMb: memoryMb, descriptors: 4100}
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, n+1)
	for _, a := range []*string{&m.front, &m.ready, &m.control, &m.metrics} {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*a = l.Addr().String()
	}
	seeds := []string{m.control}
	for _, other := range h.machines[:min(2, n)] {
		seeds = append(seeds, other.control)
	}
	m.path = filepath.Join(h.dir, m.name+".json")
	h.machines = append(h.machines, m)
	return m, settings{
		Name: m.name, IP: ip, Zone: zone, Front: m.front, Ready: m.ready, Control: m.control, Store: h.address, Seeds: seeds, MemoryMb: memoryMb,
		Descriptors: m.descriptors,
	}.write(m.path)
}

// start starts the process of the machine with the command of the deploy file and the
// descriptors of its settings. What it writes goes to a file, so that nothing blocks it.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.h.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s entry --metrics=%s", m.descriptors, m.h.program, m.metrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + m.path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.started = cmd, done, time.Now()
	m.mu.Unlock()
	m.h.rec.line("%s starts as process %d", m.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the result is in cmd.ProcessState
		m.h.rec.line("%s has ended: %s", m.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// kill sends SIGKILL to the process, if it runs.
func (m *machine) kill(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.h.rec.line("%s gets SIGKILL: %s", m.name, why)
	_ = m.cmd.Process.Kill() // fails when the process has ended
}

// end ends the process and waits for its end.
func (m *machine) end() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // fails when the process has ended
		<-done
	}
}

// ended reports whether the process has ended.
func (m *machine) ended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// isReady reports whether the machine answers the readiness probe with 200.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the processes of all machines and waits until they are ready.
func (h *host) startAll() error {
	for _, m := range h.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range h.machines {
		if !waitFor(20*time.Second, m.isReady) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	h.rec.line("all machines are ready")
	return nil
}

// waitFor waits until a condition holds, for at most d, and reports whether it does.
func waitFor(d time.Duration, cond func() bool) bool {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

// memoryKb returns the memory of the process in kB, 0 if it is not known.
func (m *machine) memoryKb() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n
		}
	}
	return 0
}

// Names in the configuration.
const (
	hostName = "h.example"
	key      = "key-1"
)

// configure writes the first configuration: streams under /brief/ to the service "model",
// bookings under /book/ to the service "desk".
func (h *host) configure() { h.store.PutValue("op", "config", configJSON) }

// maxBody is MaxBodyBytes.
const maxBody = 4194304

// readLog returns what the process of a machine has written.
func readLog(m *machine) string {
	data, _ := os.ReadFile(filepath.Join(m.h.dir, m.name+".log")) // empty if there is none
	return string(data)
}
