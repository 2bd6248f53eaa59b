package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// The bounds of a small deployment.
const (
	touch     = 3 * time.Second
	drain     = 2 * time.Second
	heartbeat = 1200 * time.Millisecond
	session   = 5 * time.Second
)

// system is the store, the runners and the router processes of a case.
type system struct {
	began        time.Time
	folder       string
	store        *standin.RowStore
	storeAddress string
	subnet       string

	mu      sync.Mutex
	out     io.Writer
	vms     []*vm
	servers []*http.Server
}

// vm is a machine on which a router process runs.
type vm struct {
	name, zone, ip string
	settingsPath   string
	cmd            *exec.Cmd
	done           chan struct{}
}

func newSystem(out io.Writer) (*system, error) {
	s := &system{began: time.Now(), out: out, store: standin.NewRowStore()}
	var err error
	if s.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	s.serve(l, s.store)
	return s, s.chooseSubnet()
}

// chooseSubnet finds loopback addresses 127.x.y.1 and on at which nothing listens.
func (s *system) chooseSubnet() error {
	for i := range 200 {
		n := os.Getpid() + i
		s.subnet = fmt.Sprintf("127.%d.%d", 20+n/200%200, n%200)
		l, err := net.Listen("tcp4", s.subnet+".1:8227")
		if err == nil {
			return l.Close()
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// serve serves HTTP at a listener until the case ends.
func (s *system) serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return server
}

// record writes a line with the time since the begin of the case.
func (s *system) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *system) close() {
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL)
		v.wait()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// addVM prepares a machine. Its seeds are the first three machines.
func (s *system) addVM(zone string, edit func(*platform.Settings)) (*vm, error) {
	i := len(s.vms)
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("%s.%d", s.subnet, i+1)}
	v.settingsPath = filepath.Join(s.folder, v.name+".json")
	settings := platform.Settings{
		VM: v.name, AvailabilityZone: zone, Front: v.ip + ":8227", Ready: v.ip + ":8220", Peer: v.ip + ":8229",
		StoreAddress: s.storeAddress, MemoryBytes: 284 << 20, Cores: 0.4, Descriptors: 4100,
		Bounds: platform.Bounds{
			Configuration: 2 * time.Second, Drain: drain, Grace: 8 * time.Second, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 58,
			ExposureShare: 0.15, SessionIdle: session, CacheLifetime: 10 * time.Second,
		},
	}
	for n := 1; n <= 3; n++ {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("%s.%d:8229", s.subnet, n))
	}
	if edit != nil {
		edit(&settings)
	}
	data, err := standin.SettingsFile(settings)
	if err == nil {
		err = os.WriteFile(v.settingsPath, data, 0o600)
	}
	s.vms = append(s.vms, v)
	return v, err
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(v *vm) error {
	v.cmd = exec.Command("target/savoryshift", "entry", "--metrics="+v.ip+":9464")
	v.cmd.Env = []string{platform.SettingsVariable + "=" + v.settingsPath}
	log, err := os.OpenFile(filepath.Join(s.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(v.cmd, v.done)
	s.record("machine %s: process %d started", v.name, v.cmd.Process.Pid)
	return nil
}

func (v *vm) signal(sig os.Signal) {
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(sig)
	}
}

func (v *vm) wait() {
	if v.done != nil {
		<-v.done
	}
}

// ready asks for the readiness of a machine as the platform does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ip + ":8220" + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts machines and waits until they are ready and in touch.
func (s *system) startAll(zones []string, edit func(*platform.Settings)) error {
	for _, zone := range zones {
		v, err := s.addVM(zone, edit)
		if err == nil {
			err = s.start(v)
		}
		if err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := s.awaitReady(v); err != nil {
			return err
		}
	}
	time.Sleep(touch + 500*time.Millisecond)
	return nil
}

func (s *system) awaitReady(v *vm) error {
	for until := time.Now().Add(10 * time.Second); !v.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("machine %s is not ready", v.name)
		}
	}
	s.record("machine %s is ready", v.name)
	return nil
}
