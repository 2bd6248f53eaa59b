package clientlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/idleconn"
)

// limited is a server behind a limiter. Its handler reads the body and counts as run when that
// has arrived.
type limited struct {
	t       *testing.T
	limiter *Limiter
	address string
	ran     atomic.Int64
	// hold, if not nil, keeps requests running until it is closed.
	hold chan struct{}
}

func serve(t *testing.T, o Options, hold chan struct{}) *limited {
	t.Helper()
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout, o.IdleTimeout = time.Minute, time.Minute
	}
	s := &limited{t: t, limiter: New(o), hold: hold}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, MaxHeaderBytes: 64 << 10}
	listener = s.limiter.Setup(server, listener, idleconn.New(), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limited) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	share, done := Share(r.Context()), ReadingBody(r.Context())
	defer share.Release()
	_, err := share.ReadAll(r.Body, int(max(0, r.ContentLength)), 8<<20)
	if errors.Is(errors.Join(err, done()), bodybudget.ErrFull) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	if s.hold != nil {
		<-s.hold
	}
}

// send opens a connection and writes to it.
func (s *limited) send(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(s.t, err)
	return conn
}

// status returns the status of the next response on a connection, 0 if it is closed.
func (s *limited) status(conn net.Conn) int {
	s.t.Helper()
	assert.NilError(s.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var late net.Error
	assert.Assert(s.t, !errors.As(err, &late) || !late.Timeout(), "no response and no end")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *limited) await(what string, condition func(Usage) bool) {
	s.t.Helper()
	for begun := time.Now(); !condition(s.limiter.Usage()); time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Since(begun) < 10*time.Second, "%s: %+v", what, s.limiter.Usage())
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against an idle connection of an ordinary client that is closed while there is room,
// and against one that is kept while a request has no place.
func TestIdleConnectionsLeaveWhenFull(t *testing.T) {
	s := serve(t, Options{Memory: 1 << 20, Descriptors: 4}, nil)
	first, second := s.send(get), s.send("")
	assert.Equal(t, s.status(first), http.StatusOK)
	_, err := io.WriteString(second, get)
	assert.NilError(t, err)
	assert.Equal(t, s.status(second), http.StatusOK)
	s.await("idle", func(u Usage) bool { return u.Descriptors == 2 && u.Memory == 2*connectionBytes })
	_, err = io.WriteString(first, get)
	assert.NilError(t, err)
	assert.Equal(t, s.status(first), http.StatusOK)
	// first has been idle for a shorter time than second.
	s.await("idle again", func(u Usage) bool { return u.Descriptors == 2 })
	for range 2 {
		conn := s.send(get)
		assert.Equal(t, s.status(conn), http.StatusOK)
	}
	conn := s.send(get)
	assert.Equal(t, s.status(conn), http.StatusOK)
	assert.Equal(t, s.status(second), 0)
	assert.Equal(t, s.ran.Load(), int64(6))
}

// Guards against a body just short of its end that keeps its place from other requests, and
// against a request that is refused and runs.
func TestStoppedBodyLosesItsPlace(t *testing.T) {
	s := serve(t, Options{Memory: 500 << 10, Descriptors: 100}, nil)
	body := strings.Repeat("a", 200<<10)
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n"
	stopped := s.send(head + body[1:])
	s.await("the body", func(u Usage) bool { return u.Memory > 200<<10 })
	time.Sleep(2 * slowAfter)
	running := s.send(head + body)
	assert.Equal(t, s.status(running), http.StatusOK)
	second := s.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 409600\r\n\r\n" + body + body)
	assert.Equal(t, s.status(second), http.StatusOK)
	assert.Equal(t, s.status(stopped), http.StatusServiceUnavailable)
	assert.Equal(t, s.ran.Load(), int64(2))
	s.await("all is given back", func(u Usage) bool { return u.Memory <= 3*connectionBytes })
}

// Guards against a request in progress that loses its place to a new one, and against a
// refusal of a request that runs.
func TestRequestInProgressKeepsItsPlace(t *testing.T) {
	hold := make(chan struct{})
	s := serve(t, Options{Memory: 1 << 20, Descriptors: 4}, hold)
	kept := []net.Conn{s.send(get), s.send(get)}
	s.await("both run", func(u Usage) bool { return u.Descriptors == 4 })
	time.Sleep(2 * slowAfter)
	assert.Equal(t, s.status(s.send("")), 0)
	close(hold)
	for _, conn := range kept {
		assert.Equal(t, s.status(conn), http.StatusOK)
	}
	assert.Equal(t, s.ran.Load(), int64(2))
}

// Guards against header sections that cost far more than their bytes, also when they are read
// together with the request before them.
func TestLinesOfHeadersCount(t *testing.T) {
	lines := strings.Repeat("a:\n", 1200)
	for name, text := range map[string]string{
		"the first request": "GET / HTTP/1.1\nHost: h\n" + lines,
		"after another one": "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\nHost: h\n" + lines,
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, Options{Memory: 1 << 20, Descriptors: 100}, nil)
			s.send(text)
			s.await("the lines count", func(u Usage) bool { return u.Memory >= 1200*lineBytes })
		})
	}
}

// Guards against timeouts of a configuration that take effect on new connections only.
func TestTimeoutsChange(t *testing.T) {
	s := serve(t, Options{Memory: 1 << 20, Descriptors: 100}, nil)
	kept := s.send(get)
	assert.Equal(t, s.status(kept), http.StatusOK)
	s.await("idle", func(u Usage) bool { return u.Descriptors == 1 })
	s.limiter.SetTimeouts(200*time.Millisecond, 300*time.Millisecond)
	assert.Equal(t, s.status(kept), 0)
	assert.Equal(t, s.status(s.send("GET / HTTP/1.1\r\n")), 0)
	again := s.send(get)
	assert.Equal(t, s.status(again), http.StatusOK)
	assert.Equal(t, s.status(again), 0)
}
