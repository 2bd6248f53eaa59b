package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	callersPerVM = 3
	// callPause is the longest pause of a caller between two requests.
	callPause = 40 * time.Millisecond
	// patience is the deadline that standin.ClientHeader names.
	patience = 5 * time.Second
	// leaveShare of the calls are left by their callers after at most leaveAfter.
	leaveShare = 0.08
	leaveAfter = 600 * time.Millisecond
	// closeShare of the calls end the use of a connection.
	closeShare = 0.03
	// readyPeriod is the time between two questions of the balancer; a VM is out
	// after readyMisses answers other than a good one.
	readyPeriod = 500 * time.Millisecond
	readyMisses = 2
)

var errNobodyReady = errors.New("no VM is running")

// callers send requests over connections that they keep until they break.
type callers struct {
	s    *System
	seed uint64
	end  chan struct{}
	all  sync.WaitGroup

	mu    sync.Mutex
	sent  int
	calls []Call
}

func newCallers(s *System, seed uint64) *callers {
	return &callers{s: s, seed: seed, end: make(chan struct{})}
}

func (c *callers) start() {
	for _, m := range c.s.vms {
		c.all.Go(func() { c.balance(m) })
	}
	for i := range callersPerVM * len(c.s.vms) {
		c.all.Go(func() { c.send(rand.New(rand.NewPCG(c.seed, uint64(i)+1))) })
	}
}

func (c *callers) stop() {
	close(c.end)
	c.all.Wait()
}

func (c *callers) ended(after time.Duration) bool {
	select {
	case <-c.end:
		return true
	case <-time.After(after):
		return false
	}
}

// balance keeps a VM in or out of the balancer's rotation.
func (c *callers) balance(m *vm) {
	misses := 0
	for ; !c.ended(readyPeriod); misses++ {
		if m.askReady() {
			misses = -1
		}
		m.mu.Lock()
		m.ready = misses < readyMisses-1
		m.mu.Unlock()
	}
}

// dial connects to a VM in rotation, as the balancer does.
func (c *callers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	in := slices.DeleteFunc(slices.Clone(c.s.vms), func(m *vm) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.ready
	})
	if len(in) == 0 {
		return nil, errNobodyReady
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", in[rand.IntN(len(in))].front.Address())
}

// send makes calls one after the other.
func (c *callers) send(r *rand.Rand) {
	transport := &http.Transport{DialContext: c.dial}
	defer transport.CloseIdleConnections()
	for !c.ended(time.Duration(r.Int64N(int64(callPause)))) {
		route := []string{"stream", "book", "book", "look"}[r.IntN(4)]
		leave := patience
		if r.Float64() < leaveShare {
			leave = time.Duration(r.Int64N(int64(leaveAfter)))
		}
		c.call(transport, route, leave)
		if r.Float64() < closeShare {
			transport.CloseIdleConnections()
		}
	}
}

// call makes one call, and leaves it after a while.
func (c *callers) call(transport http.RoundTripper, route string, leave time.Duration) Call {
	c.mu.Lock()
	c.sent++
	call := Call{ID: fmt.Sprintf("r%d", c.sent), Route: route}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leave)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { call.VM = c.vmOf(info.Conn) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+standin.Host+call.path(), strings.NewReader(call.body()))
	if err != nil {
		panic(err) // the address is a constant
	}
	req.Header = standin.ClientHeader(call.ID, standin.Key, "s"+call.ID)
	call.Sent = time.Now()
	if resp, err := transport.RoundTrip(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		call.Status, call.Answer, call.Whole = resp.StatusCode, string(body), err == nil
		call.Upstream = standin.AnsweredBy(resp.Header)
	}
	call.Ended, call.Left = time.Now(), ctx.Err() != nil && !call.Whole
	if call.VM == "" {
		return call // no connection was made, so nothing was sent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	return call
}

// vmOf names the VM that a connection leads to.
func (c *callers) vmOf(conn net.Conn) string {
	for _, m := range c.s.vms {
		if m.front.Address() == conn.RemoteAddr().String() {
			return m.settings.VM
		}
	}
	return ""
}

// probe returns why a VM does not serve as it should, or nothing.
func (c *callers) probe(m *vm) string {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp4", m.front.Address())
	}}
	if !m.askReady() {
		return "not ready"
	}
	for _, route := range []string{"stream", "look", "book"} {
		call := c.call(transport, route, patience)
		if !call.Whole || call.Status != http.StatusOK {
			return fmt.Sprintf("%+v", call)
		}
		if service, _, _ := strings.Cut(call.Upstream, "-"); route == "book" && service != c.s.bookings() {
			return "bookings go to " + service
		}
	}
	return ""
}
