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

// Daemon is one running daemon process on a host. A restart makes a new Daemon.
type Daemon struct {
	// ID identifies the VM of the daemon, as "<zone>/<vm>".
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
	// retired daemons are no longer in the load balancer.
	retired bool
	// err is the result of the daemon's Run, valid once done is closed.
	err error
}

// StartDaemon starts a daemon on a new host and adds it to the load balancer.
func (s *System) StartDaemon(zone, vm string) *Daemon {
	s.T.Helper()
	return s.startDaemon(s.Net.NewHost(zone+"/"+vm, zone), zone, vm)
}

// startDaemon starts a daemon and adds it to the load balancer at once.
func (s *System) startDaemon(h *Host, zone, vm string) *Daemon {
	s.T.Helper()
	d := s.newDaemon(h, zone, vm)
	s.register(d)
	return d
}

// newDaemon starts a daemon that is not in the load balancer yet.
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

// register adds d to the load balancer, in place of an earlier Daemon with the
// same ID.
func (s *System) register(d *Daemon) {
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

// Kill crashes the daemon: its host is cut off before its goroutines are told to
// stop, so that nothing they still do can be seen from outside.
func (d *Daemon) Kill() {
	d.system.Net.Kill(d.Host)
	d.cancel()
}

// Restart starts a killed daemon again at the same address. The goroutines of
// the killed Daemon may still run, but cannot reach any other host.
func (d *Daemon) Restart() *Daemon {
	d.system.T.Helper()
	d.system.killedDaemons = append(d.system.killedDaemons, d)
	return d.system.startDaemon(d.system.Net.Replace(d.Host), d.Zone, strings.TrimPrefix(d.ID, d.Zone+"/"))
}

// Stop shuts the daemon down gracefully and returns the result of its Run.
func (d *Daemon) Stop() error {
	d.cancel()
	d.waitEnded()
	return d.err
}

// maxWait bounds, in virtual time, the waits that no deadline of a request bounds.
const maxWait = 10 * time.Minute

// waitEnded waits until Run has returned.
func (d *Daemon) waitEnded() {
	select {
	case <-d.done:
	case <-time.After(maxWait):
		d.system.T.Fatalf("daemon %s did not end within %s", d.ID, maxWait)
	}
}

// Freeze simulates a paused process: no traffic reaches the daemon or leaves it.
// Its goroutines still run, so the pause should be short in virtual time.
func (d *Daemon) Freeze() { d.system.Net.Freeze(d.Host) }

// Thaw resumes a frozen daemon. It advances the daemon's clocks, which count
// through a pause, by extraPause more than the virtual time that has passed, so
// that a short pause in virtual time looks like a long one.
func (d *Daemon) Thaw(extraPause time.Duration) {
	d.clock.advance(extraPause)
	d.system.Net.Thaw(d.Host)
}

// clock implements evidence.Clock on virtual time, which a test can set forward.
type clock struct {
	start time.Time

	mu     sync.Mutex
	offset time.Duration // by which the clock is ahead of virtual time
}

// Now implements evidence.Clock.
func (c *clock) Now() evidence.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := time.Since(c.start) + c.offset
	return evidence.Instant{Boot: elapsed, Wall: elapsed}
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}
