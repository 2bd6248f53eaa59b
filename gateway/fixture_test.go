package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/gateway/gatewaytest"
	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
	"github.com/savoryshift/savoryshift/routing"
)

// script handles one request of a fake upstream: it writes raw bytes to the
// connection. The connection is closed afterwards unless it returns true.
type script func(r *http.Request, w io.Writer) (keep bool)

// upstream is a fake upstream that records the requests it receives.
type upstream struct {
	id, address  string
	mu           sync.Mutex
	requests     []*http.Request
	disconnected chan struct{}
}

func (u *upstream) received() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

func startUpstream(t *testing.T, id string, do script) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{id: id, address: l.Addr().String(), disconnected: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, do)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn, do script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.mu.Unlock()
		if !do(r, conn) {
			return
		}
	}
}

// hang does not respond and waits until the client closes the connection.
func (u *upstream) hang(w io.Writer) {
	_, _ = w.(net.Conn).Read(make([]byte, 1))
	u.disconnected <- struct{}{}
}

// answer returns a script that writes a complete response.
func answer(status int, body string, header ...string) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n", status, r.Header.Get("Id"), len(body))
		for _, h := range header {
			fmt.Fprintf(w, "%s\r\n", h)
		}
		fmt.Fprintf(w, "\r\n%s", body)
		return true
	}
}

// events returns a script that streams the events up to number last, beginning
// after the event in the Last header, and then writes rest without chunk framing.
func events(last int, rest string, header ...string) script {
	return func(r *http.Request, w io.Writer) bool {
		from := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last"), "%d", &from)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s-%s\r\nTransfer-Encoding: chunked\r\n", r.Header.Get("Id"), r.Header.Get("Upstream"))
		for _, h := range header {
			fmt.Fprintf(w, "%s\r\n", h)
		}
		fmt.Fprint(w, "\r\n")
		for i := from + 1; i <= last; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Model"), i))
		}
		fmt.Fprint(w, rest)
		return rest == lastChunk
	}
}

const lastChunk = "0\r\n\r\n"

func chunk(w io.Writer, data string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(data), data) }

// budget is a retry budget of a fixed number of retries.
type budget struct{ left int }

func (b *budget) RecordRequest(string, time.Time) {}
func (b *budget) AllowRetry(string, time.Time) bool {
	if b.left == panicking {
		panic("retry budget")
	}
	if b.left <= 0 {
		return false
	}
	b.left--
	return true
}
func (b *budget) ReturnRetry(string, time.Time) { b.left++ }

// system is a gateway in front of some upstreams.
type system struct {
	t        *testing.T
	server   *gateway.Server
	book     *placement.Balancer
	rollouts *rollout.Manager
	budget   *budget
	// splitter replaces rollouts in the gateway, and codec the usual one, if they are not nil.
	splitter gateway.Splitter
	codec    gateway.Codec
	logs     *observer.ObservedLogs
	metrics  *gateway.Metrics
	// writes counts the writes to connections of clients.
	writes atomic.Int64
	url    string
	// onLongPrompt, if set, is called after a call with a long prompt was placed and
	// before it is sent.
	onLongPrompt func()
}

func newSystem(t *testing.T, upstreams ...placement.Upstream) *system {
	t.Helper()
	s := &system{t: t, budget: &budget{left: 100}, book: placement.NewBalancer(placement.Options{})}
	s.rollouts = rollout.New(rollout.Options{SessionIdle: time.Second, Log: zap.NewNop()})
	s.book.SetUpstreams(upstreams, time.Now(), time.Now())
	return s.restart(gateway.Options{})
}

// restart starts a gateway that has the given options besides those of the system.
func (s *system) restart(o gateway.Options) *system {
	t := s.t
	t.Helper()
	var core zapcore.Core
	core, s.logs = observer.New(zap.InfoLevel)
	o.Codec, o.Balancer, o.Pool, o.Splitter, o.RetryBudget, o.Log = gatewaytest.Codec{}, s.book, exchange.NewPool(), s.rollouts, s.budget, zap.New(core)
	if s.codec != nil {
		o.Codec = s.codec
	}
	if s.splitter != nil {
		o.Splitter = s.splitter
	}
	o.Announce = func() {
		if s.onLongPrompt != nil {
			s.onLongPrompt()
		}
	}
	if o.Metrics == nil {
		o.Metrics = gateway.NewMetrics()
	}
	s.metrics = o.Metrics
	s.server = gateway.New(o)
	front := httptest.NewUnstartedServer(s.server)
	front.Config.ConnContext = cutoff.ConnContext
	front.Listener = countingListener{front.Listener, &s.writes}
	front.Start()
	t.Cleanup(front.Close)
	s.url = front.URL
	return s
}

// countingListener counts the writes to its connections.
type countingListener struct {
	net.Listener
	writes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// CloseWrite ends the sending side, as http.Server does after it has refused a body.
func (c countingConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// NetConn returns the connection that c wraps, for package cutoff.
func (c countingConn) NetConn() net.Conn { return c.Conn }

// registration returns the registration of a fake upstream.
func registration(u *upstream, release string) placement.Upstream {
	return placement.Upstream{ID: u.id, Service: "svc", Address: u.address, Release: release, Slots: 4}
}

// configure applies a configuration with routes of each kind.
func (s *system) configure() *system {
	s.t.Helper()
	to := []routing.Destination{{Service: "svc", Weight: 1}}
	route := func(name string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 2 * time.Second,
			MaxPause: time.Second, MaxAttempts: attempts, Destinations: to, Resumable: kind == routing.Stream, Models: []string{"small", "large"},
		}
	}
	once := route("once", routing.Stream, 3)
	once.Resumable = false
	twice := route("twice", routing.Stream, 2)
	twice.Timeout = 6 * time.Second
	slow := route("slow", routing.Unsafe, 1)
	slow.Timeout = 200 * time.Millisecond
	c, err := routing.Compile(routing.Configuration{
		Version: 1, Services: []routing.Service{{Name: "svc", Models: []routing.Model{{Name: "small", Cost: 0.01}, {Name: "large", Cost: 0.1}}}},
		Routes:        []routing.Route{route("safe", routing.Safe, 2), route("unsafe", routing.Unsafe, 1), route("stream", routing.Stream, 3), twice, once, slow},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{"key"}}},
	})
	assert.NilError(s.t, err)
	s.server.SetState(&gateway.State{Snapshot: c})
	return s
}

// reply is the response that the client received. complete is false if the
// connection broke; framed is set if the response has a length or chunks.
type reply struct {
	status           int
	header           http.Header
	body             string
	complete, framed bool
}

// call sends one request over a new connection.
func (s *system) call(path string, header ...string) reply {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+path, strings.NewReader("body"))
	assert.NilError(s.t, err)
	req.Host, req.Close = "h", true
	req.Header = http.Header{"Id": {"r1"}, "Key": {"key"}}
	for _, h := range header {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, framed: framed}
}
