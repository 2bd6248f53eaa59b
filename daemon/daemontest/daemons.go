package daemontest

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/daemon"
	"github.com/savoryshift/savoryshift/operator"
)

// Daemon is one incarnation of a daemon.
type Daemon struct {
	// ID is that of the VM, "<zone>/<vm>".
	ID   string
	Zone string
	Host *Host
	// Operators calls the operator API of the daemon.
	Operators *operator.Client

	system *System
	clock  *clock
	url    string
	cancel context.CancelFunc
	done   chan struct{}
	// retired daemons get no more callers.
	retired bool
	// err is what Run returned, valid once done is closed.
	err error
}

// StartDaemon adds a daemon on a new host.
func (s *System) StartDaemon(zone, vm string) *Daemon {
	s.T.Helper()
	return s.startDaemon(s.Net.NewHost(zone+"/"+vm, zone), zone, vm)
}

// startDaemon starts a daemon to which callers come at once.
func (s *System) startDaemon(h *Host, zone, vm string) *Daemon {
	s.T.Helper()
	d := s.newDaemon(h, zone, vm)
	s.replace(d)
	return d
}

// newDaemon starts a daemon to which no callers come yet.
func (s *System) newDaemon(h *Host, zone, vm string) *Daemon {
	s.T.Helper()
	d := &Daemon{
		ID: zone + "/" + vm, Zone: zone, Host: h, system: s, url: "http://" + h.IP + ":1",
		clock: &clock{start: time.Now()},
		done:  make(chan struct{}),
	}
	d.Operators = operator.NewClient(operator.ClientOptions{
		URL: "http://" + h.IP + ":2", Token: operatorToken,
		HTTP: &http.Client{Transport: s.http.Transport, Timeout: operator.DefaultTimeout},
	})
	file := s.settings(h, zone, vm)
	built, err := daemon.New(daemon.Options{
		Settings: file, Callers: h.Listen("1"), Operators: h.Listen("2"), Peers: h.Listen("3"),
		Dial: h.Dial, Clock: d.clock,
	})
	assert.NilError(s.T, err)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		d.err = built.Run(ctx)
	}()
	return d
}

// replace puts d in the place of the earlier incarnation.
func (s *System) replace(d *Daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, old := range s.Daemons {
		if old.ID == d.ID {
			s.Daemons[i] = d
			return
		}
	}
	s.Daemons = append(s.Daemons, d)
}

// Kill ends the daemon at once: nothing that it still does leaves its host.
func (d *Daemon) Kill() {
	d.system.Net.Kill(d.Host)
	d.cancel()
}

// Restart starts a new incarnation of a killed daemon at the same address. The
// goroutines of the old one may still run; nothing of them leaves its host.
func (d *Daemon) Restart() *Daemon {
	d.system.T.Helper()
	d.system.ended = append(d.system.ended, d)
	return d.system.startDaemon(d.system.Net.Replace(d.Host), d.Zone, strings.TrimPrefix(d.ID, d.Zone+"/"))
}

// Stop makes a planned stop and returns what Run returned.
func (d *Daemon) Stop() error {
	d.cancel()
	<-d.done
	return d.err
}

// Freeze pauses the process of the daemon: nothing reaches it and nothing leaves
// it. Its goroutines still run, so the pause should be short in virtual time.
func (d *Daemon) Freeze() { d.system.Net.Freeze(d.Host) }

// Thaw resumes it. Its clocks, which count through a pause, show that the pause
// took longer by the given time than the virtual clock says.
func (d *Daemon) Thaw(longer time.Duration) {
	d.clock.advance(longer)
	d.system.Net.Thaw(d.Host)
}

// clock implements evidence.Clock on virtual time.
type clock struct {
	start time.Time

	mu    sync.Mutex
	ahead time.Duration
}

// Now implements evidence.Clock.
func (c *clock) Now() evidence.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.start) + c.ahead
	return evidence.Instant{Boot: elapsed, Wall: elapsed}
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += d
}
