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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/platform/standin"
)

const (
	callersPerVM = 3
	// maxThinkTime bounds the random pause of a caller between two requests.
	maxThinkTime = 40 * time.Millisecond
	// callDeadline is the deadline in the headers of standin.ClientHeader.
	callDeadline = 5 * time.Second
	// abandonShare is the share of calls whose caller closes the connection early,
	// after at most maxAbandonDelay.
	abandonShare    = 0.08
	maxAbandonDelay = 600 * time.Millisecond
	// connCloseShare is the share of calls after which the caller closes its connection.
	connCloseShare = 0.03
	// readinessPeriod is the interval of the balancer's readiness checks. A VM
	// leaves the rotation after readinessFailureThreshold failed checks in a row.
	readinessPeriod           = 500 * time.Millisecond
	readinessFailureThreshold = 2
)

var errNoReadyVM = errors.New("no VM is ready")

// loadGenerator runs the callers, which send requests over kept-alive connections,
// and the readiness checks of the balancer in front of the VMs.
type loadGenerator struct {
	system   *System
	seed     uint64
	stopping chan struct{}
	wg       sync.WaitGroup

	mu    sync.Mutex
	sent  int
	calls []Call
}

func newLoadGenerator(s *System, seed uint64) *loadGenerator {
	return &loadGenerator{system: s, seed: seed, stopping: make(chan struct{})}
}

func (c *loadGenerator) start() {
	for _, m := range c.system.vms {
		c.wg.Go(func() { c.pollReadiness(m) })
	}
	for i := range callersPerVM * len(c.system.vms) {
		c.wg.Go(func() { c.runCaller(rand.New(rand.NewPCG(c.seed, uint64(i)+1))) })
	}
}

func (c *loadGenerator) stop() {
	close(c.stopping)
	c.wg.Wait()
}

// stopsWithin waits for d and reports whether the generator was stopped meanwhile.
func (c *loadGenerator) stopsWithin(d time.Duration) bool {
	select {
	case <-c.stopping:
		return true
	case <-time.After(d):
		return false
	}
}

// pollReadiness checks the readiness of a VM periodically and takes it into or out
// of the balancer's rotation.
func (c *loadGenerator) pollReadiness(m *vm) {
	failures := 0
	for ; !c.stopsWithin(readinessPeriod); failures++ {
		if m.checkReady() {
			failures = -1
		}
		m.mu.Lock()
		m.ready = failures < readinessFailureThreshold-1
		m.mu.Unlock()
	}
}

// dial connects to a random VM that is in rotation, as the balancer does.
func (c *loadGenerator) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	candidates := slices.DeleteFunc(slices.Clone(c.system.vms), func(m *vm) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.ready
	})
	if len(candidates) == 0 {
		return nil, errNoReadyVM
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", candidates[rand.IntN(len(candidates))].frontLink.Address())
}

// dial connects to the VM whether or not it is in rotation.
func (m *vm) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", m.frontLink.Address())
}

// runCaller sends the calls of one caller, one after the other, until the
// generator stops.
func (c *loadGenerator) runCaller(r *rand.Rand) {
	transport := &http.Transport{DialContext: c.dial}
	defer transport.CloseIdleConnections()
	for !c.stopsWithin(time.Duration(r.Int64N(int64(maxThinkTime)))) {
		route := []string{"stream", "book", "book", "look"}[r.IntN(4)]
		timeout := callDeadline
		if r.Float64() < abandonShare {
			timeout = time.Duration(r.Int64N(int64(maxAbandonDelay)))
		}
		call := c.call(transport, request{route: route, timeout: timeout})
		if c.stopsWithin(call.retryDelay()) {
			return
		}
		if r.Float64() < connCloseShare {
			transport.CloseIdleConnections()
		}
	}
}

// retryDelay returns how long the caller of a refused call waits before its next one: as
// long as the refusal asks, up to a third of its deadline.
func (call Call) retryDelay() time.Duration {
	seconds, err := strconv.ParseFloat(call.RetryAfter, 64)
	if err != nil || !call.refused() {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), callDeadline/3)
}

// request describes a call to be sent.
type request struct {
	route string
	// timeout is the time after which the caller closes its connection.
	timeout time.Duration
	// bodyTime is the time that the caller takes to send the body.
	bodyTime time.Duration
	// direct means that the caller bypasses the balancer.
	direct bool
	// key is the version of the configuration whose key the caller uses, 0 for the key
	// that is always valid.
	key int
}

// call sends one request and closes its connection if the response is not complete
// within the timeout. It records the call if a connection was made.
func (c *loadGenerator) call(transport http.RoundTripper, r request) Call {
	c.mu.Lock()
	c.sent++
	call := Call{ID: fmt.Sprintf("r%d", c.sent), Route: r.route, Direct: r.direct, Key: r.key}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	var bodySent atomic.Int64 // another goroutine may still write when RoundTrip returns
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { call.VM = c.vmOf(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				bodySent.Store(time.Now().UnixNano())
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+standin.Host+call.path(), newBody(call.body(), r.bodyTime))
	if err != nil {
		panic(err) // not reached: the URL is valid
	}
	req.Header = standin.ClientHeader(call.ID, keyOf(r.key), "s"+call.ID)
	call.Sent = time.Now()
	if resp, err := transport.RoundTrip(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		call.Status, call.Answer, call.Complete = resp.StatusCode, string(body), err == nil
		call.Upstream, call.AnswerID = standin.AnsweredBy(resp.Header), standin.AnsweredAttempt(resp.Header)
		call.RetryAfter = resp.Header.Get("Retry-After")
	}
	if at := bodySent.Load(); at != 0 {
		call.BodySent = time.Unix(0, at)
	}
	call.Ended, call.Abandoned = time.Now(), ctx.Err() != nil && !call.Complete
	if call.VM == "" {
		return call // without a connection nothing was sent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	return call
}

// vmOf returns the name of the VM to which a connection leads.
func (c *loadGenerator) vmOf(conn net.Conn) string {
	for _, m := range c.system.vms {
		if m.frontLink.Address() == conn.RemoteAddr().String() {
			return m.settings.VM
		}
	}
	return ""
}

// probe sends one request per route to a VM and returns why the VM does not serve
// correctly, or "" if it does.
func (c *loadGenerator) probe(m *vm) string {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.dial}
	if !m.checkReady() {
		return "not ready"
	}
	for _, route := range []string{"stream", "look", "book"} {
		call := c.call(transport, request{route: route, timeout: callDeadline})
		if !call.Complete || call.Status != http.StatusOK {
			return fmt.Sprintf("%+v", call)
		}
		if service, _, _ := strings.Cut(call.Upstream, "-"); route == "book" && service != c.system.bookingService() {
			return "bookings go to " + service
		}
	}
	return ""
}
