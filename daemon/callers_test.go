package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/internal/faultlink"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

// loopbackSettings returns settings of a daemon without a platform.
func loopbackSettings() settings.Settings {
	s := settings.Defaults()
	s.VM, s.AvailabilityZone, s.PlatformURL, s.ClusterToken = "vm0", "a", "http://127.0.0.1:1", "a token of the cluster"
	s.SessionKeys = []settings.SessionKey{{ID: "k", SecretBase64: base64.StdEncoding.EncodeToString(make([]byte, 32))}}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	return s
}

// startDaemon runs a daemon. The returned function stops it, and the channel gets the
// result of Run.
func startDaemon(t *testing.T, s settings.Settings) (*Daemon, context.CancelFunc, <-chan error) {
	d, err := New(Options{Settings: s})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	return d, cancel, done
}

// Guards against a request that a stopping daemon handles and does not answer, because
// the request arrives on an idle connection that is being closed.
func TestRequestsInTheLastInstant(t *testing.T) {
	const rounds, connections = 6, 200
	const delay = 60 * time.Millisecond
	handled, answered := 0, 0
	for range rounds {
		s := loopbackSettings()
		s.Periods.ReadinessDelayMs = settings.Milliseconds(delay.Milliseconds())
		d, stop, done := startDaemon(t, s)
		conns := make([]*keptConn, connections)
		for i := range conns {
			conns[i] = dialKept(t, d, nil)
			assert.Assert(t, conns[i].get(0))
		}
		unused := dialKept(t, d, nil)
		assert.Assert(t, unused.get(0))
		var ok atomic.Int32
		var group sync.WaitGroup
		stop()
		ends := time.Now().Add(delay)
		for i, c := range conns {
			group.Go(func() {
				time.Sleep(time.Until(ends) + time.Duration(i-connections/2)*20*time.Microsecond)
				if c.get(0) {
					ok.Add(1)
				}
				_ = c.conn.Close()
			})
		}
		group.Wait()
		assert.NilError(t, <-done)
		assert.Assert(t, !unused.get(0), "a request is answered after the stop")
		handled += int(d.proxy.Vars().Get("requests").(*expvar.Int).Value()) - connections - 1
		answered += int(ok.Load())
	}
	t.Logf("%d sent, %d handled, %d answered", rounds*connections, handled, answered)
	assert.Equal(t, answered, handled)
	assert.Assert(t, answered > 0)
}

// Guards against a request that crosses the close of its kept connection in a planned stop,
// so that its caller does not know whether it ran.
func TestRequestCrossesTheCloseOfItsKeptConnection(t *testing.T) {
	const connections, delay, readiness = 120, 10 * time.Millisecond, 100 * time.Millisecond
	s := loopbackSettings()
	s.Periods.ReadinessDelayMs = settings.Milliseconds(readiness.Milliseconds())
	d, stop, done := startDaemon(t, s)
	link, err := faultlink.New(d.opts.Callers.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	link.SetFault(faultlink.Fault{Delay: delay})
	conns := make([]*keptConn, connections)
	for i := range conns {
		conn, err := net.Dial("tcp4", link.Address())
		assert.NilError(t, err)
		conns[i] = &keptConn{conn, bufio.NewReader(conn)}
		assert.Assert(t, conns[i].get(0))
	}
	stop()
	ends := time.Now().Add(readiness)
	var sent, answered atomic.Int32
	var group sync.WaitGroup
	for i, c := range conns {
		group.Go(func() {
			defer c.conn.Close()
			time.Sleep(time.Until(ends) + time.Duration(i-connections/2)*time.Millisecond)
			if c.closed() {
				return
			}
			sent.Add(1)
			if c.get(0) {
				answered.Add(1)
			}
		})
	}
	group.Wait()
	assert.NilError(t, <-done)
	t.Logf("%d connections, %d requests sent, %d answered", connections, sent.Load(), answered.Load())
	assert.Equal(t, answered.Load(), sent.Load())
	assert.Assert(t, sent.Load() > 0)
}

// closed reports whether the caller has seen the close of the connection.
func (c *keptConn) closed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a stopping daemon that closes a connection from which a part of a
// request was read, and against one that waits for idle connections.
func TestHalfReadRequestAtTheEndOfTheReadinessDelay(t *testing.T) {
	for name, files := range map[string]settings.TLSFiles{"plain": {}, "TLS": e2e.WriteCertificate(t)} {
		for _, used := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, used before: %t", name, used), func(t *testing.T) {
				t.Parallel()
				s := loopbackSettings()
				s.Periods.ReadinessDelayMs = 300
				s.Bounds.HeaderReadTimeoutMs = 20_000
				s.TLS.Callers = files
				var config *tls.Config
				if files.CertFile != "" {
					config = &tls.Config{InsecureSkipVerify: true}
				}
				d, stop, done := startDaemon(t, s)
				late, idle := dialKept(t, d, config), dialKept(t, d, config)
				assert.Assert(t, idle.get(0))
				if used {
					assert.Assert(t, late.get(0))
				}
				stop()
				answered := late.get(800 * time.Millisecond)
				assert.Assert(t, answered, "a request of which a part was read is not answered")
				select {
				case err := <-done:
					assert.NilError(t, err)
				case <-time.After(5 * time.Second):
					t.Fatal("the daemon waits for an idle connection")
				}
			})
		}
	}
}

// Guards against a planned stop that lasts until the drain timeout because of connections
// on which no request, or less than one, arrives.
func TestSilentConnectionsDoNotDelayAStop(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "one byte": "G", "part of a header": "GET / HTTP/1.1\r\n"} {
		for _, used := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, used before: %t", name, used), func(t *testing.T) {
				t.Parallel()
				s := loopbackSettings()
				s.Periods.ReadinessDelayMs, s.Bounds.HeaderReadTimeoutMs = 0, 500
				d, stop, done := startDaemon(t, s)
				c := dialKept(t, d, nil)
				if used {
					assert.Assert(t, c.get(0))
				}
				_, err := io.WriteString(c.conn, sent)
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond)
				stop()
				select {
				case err := <-done:
					assert.NilError(t, err)
				case <-time.After(5 * time.Second):
					t.Fatal("the daemon waits for a silent connection")
				}
			})
		}
	}
}

// keptConn is a connection of a caller that keeps it.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialKept(t *testing.T, d *Daemon, config *tls.Config) *keptConn {
	conn, err := net.Dial("tcp4", d.opts.Callers.Addr().String())
	assert.NilError(t, err)
	if config != nil {
		conn = tls.Client(conn, config)
	}
	return &keptConn{conn, bufio.NewReader(conn)}
}

// get sends one request, in two parts if there is a pause, and reports whether the whole
// answer arrived.
func (c *keptConn) get(pause time.Duration) bool {
	const head, rest = "GET /v1/models HTTP/1.1\r\n", "Host: h\r\n\r\n"
	if pause > 0 {
		_, _ = io.WriteString(c.conn, head)
		time.Sleep(pause)
		_, _ = io.WriteString(c.conn, rest)
	} else {
		_, _ = io.WriteString(c.conn, head+rest)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Guards against deadlines of the settings tree that a planned stop cuts and that nothing
// reports, and against a line for each change of the tree.
func TestDeadlinesLongerThanAStopAreReported(t *testing.T) {
	s := loopbackSettings()
	s.Bounds.DrainTimeoutMs, s.Periods.ReadinessDelayMs = 50_000, 10_000
	core, lines := observer.New(zap.WarnLevel)
	d, err := New(Options{Settings: s, Logger: zap.New(core)})
	assert.NilError(t, err)
	var old *tree.Snapshot
	for i, tc := range []struct {
		deadlineMs int64
		lines      int
	}{{60_000, 0}, {60_001, 1}, {60_001, 1}, {61_000, 2}, {60_000, 2}, {60_001, 3}} {
		next, err := tree.Compile(tree.Tree{Defaults: tree.Overrides{DeadlineMs: &tc.deadlineMs}}, int64(i+1), "")
		assert.NilError(t, err)
		d.config.onApplied(old, next)
		assert.Equal(t, lines.FilterMessage("a deadline of the settings tree is longer than a planned stop").Len(), tc.lines, "revision %d", i+1)
		old = next
	}
	for _, l := range []net.Listener{d.opts.Callers, d.opts.Operators, d.opts.Peers} {
		assert.NilError(t, l.Close())
	}
}
