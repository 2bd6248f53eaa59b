package idleconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/sockopt"

	"github.com/savoryshift/savoryshift/internal/cutoff"
)

// Guards against a request that is handled but not answered because its idle
// connection is closed while it arrives: the client could not tell whether a
// booking was made. Such a request must be either answered whole or never handled.
func TestRequestsThatCrossTheClose(t *testing.T) {
	closer := New()
	var handled atomic.Int32
	server := &http.Server{ConnState: closer.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		_, _ = w.Write([]byte("ok"))
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })

	closedUnread, answered := 0, 0
	for i := range 400 {
		conn, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		assert.Assert(t, exchangeOnce(conn, reader))
		before := handled.Load()
		done := make(chan struct{})
		// Half of the requests are sent first, half of the closes.
		wait := time.Duration(i%40) * 2 * time.Microsecond
		closeAfter, sendAfter := wait, time.Duration(0)
		if i%2 == 0 {
			closeAfter, sendAfter = 0, wait
		}
		go func() {
			defer close(done)
			time.Sleep(closeAfter)
			closer.CloseIdle()
		}()
		time.Sleep(sendAfter)
		ok := exchangeOnce(conn, reader)
		<-done
		ran := handled.Load() - before
		switch {
		case ok:
			answered++
			assert.Equal(t, ran, int32(1))
		default:
			closedUnread++
			assert.Equal(t, ran, int32(0), "round %d: request handled but not answered", i)
		}
		_ = conn.Close()
	}
	t.Logf("%d answered, %d closed unread", answered, closedUnread)
	assert.Assert(t, answered > 0 && closedUnread > 0)
}

// exchangeOnce sends one request and reports whether the whole answer arrived.
func exchangeOnce(conn net.Conn, reader *bufio.Reader) bool {
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	var body [2]byte
	n, _ := resp.Body.Read(body[:])
	_, _ = resp.Body.Read(body[:])
	return n == 2
}

// Guards against CloseIdle closing a connection whose request is being handled.
func TestBusyConnectionsStayOpen(t *testing.T) {
	closer := New()
	reached, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: closer.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reached)
		<-release
		_, _ = w.Write([]byte("ok"))
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	go func() {
		<-reached
		closer.CloseIdle()
		close(release)
	}()
	assert.Assert(t, exchangeOnce(conn, bufio.NewReader(conn)))
}

// Guards against the close of a connection whose next request, or its first part, was read
// before http.Server reports the connection as idle.
func TestRequestReadBeforeTheConnectionIsIdle(t *testing.T) {
	for _, tc := range []struct {
		name string
		// r: bytes are read, w: bytes are written, i: the server has answered and waits,
		// b: a request that was read together with the one before begins.
		steps  string
		closed bool
	}{
		{"new", "", false},
		{"first request is read", "r", false},
		{"answered", "rwi", true},
		{"answered in two parts", "rwwi", true},
		{"read after idle", "rwir", false},
		{"read before idle", "rwri", false},
		{"read before idle, answered", "rwriwi", true},
		{"handshake", "rwrwrwi", true},
		{"read together", "rwib", false},
		{"read together, answered", "rwibwi", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			closer := New()
			client, server := net.Pipe()
			c := &conn{Conn: server, idle: true}
			closer.conns[c] = true
			for _, step := range tc.steps {
				switch step {
				case 'r':
					go func() { _, _ = client.Write([]byte("x")) }()
					_, err := c.Read(make([]byte, 1))
					assert.NilError(t, err)
				case 'w':
					go func() { _, _ = client.Read(make([]byte, 1)) }()
					_, err := c.Write([]byte("x"))
					assert.NilError(t, err)
				case 'i':
					closer.ConnState(c, http.StateIdle)
				case 'b':
					closer.ConnState(c, http.StateActive)
				}
			}
			closer.CloseIdle()
			assert.Assert(t, !c.closed, "closed although the server does not wait for bytes")
			go func() { _, _ = c.Read(make([]byte, 1)) }()
			for waits := false; !waits; {
				c.mu.Lock()
				waits = c.reading
				c.mu.Unlock()
			}
			closer.CloseIdle()
			assert.Equal(t, c.closed, tc.closed)
			_ = client.Close()
		})
	}
}

// Guards against a response that ends early and looks whole, because the connection of its
// request is not found behind that of the closer.
func TestConnectionIsFoundForAReset(t *testing.T) {
	closer := New()
	server := &http.Server{ConnState: closer.ConnState, ConnContext: cutoff.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cutoff.Begin(r.Context(), w.Header())
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(httptest.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil))
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.ErrorContains(t, err, "reset")
}

// Guards against a request that is handled and not answered, because it came together with
// the one before it and its connection was closed between the two.
func TestPipelinedRequests(t *testing.T) {
	closer := New()
	var handled atomic.Int32
	server := &http.Server{ConnState: closer.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, "ok")
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				closer.CloseIdle()
			}
		}
	}()
	const rounds, requests = 100, 10
	answered := 0
	for range rounds {
		conn, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		for range requests {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
				break
			}
			answered++
		}
		_ = conn.Close()
	}
	close(stop)
	<-stopped
	t.Logf("%d handled, %d answered", handled.Load(), answered)
	assert.Equal(t, int(handled.Load()), answered)
	assert.Equal(t, answered, rounds*requests)
}

// Guards against a request that is cut because it came together with the one before it:
// the server then does not read from the connection between the two.
func TestPipelinedRequestIsCut(t *testing.T) {
	closer := New()
	var requests atomic.Int32
	server := &http.Server{ConnState: closer.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			closer.CloseIdle()
			closer.Close()
		}
		_, _ = w.Write([]byte("ok"))
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(closer.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = conn.Write([]byte(request + request))
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "response %d of %d requests that ran", i+1, requests.Load())
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
}

// Guards against a server that ends, and its process with it, when it accepts no further
// connection, and against connections without a request that are kept at the end.
func TestEndOfAcceptanceEndsTheServer(t *testing.T) {
	closer := New()
	server := &http.Server{ConnState: closer.ConnState, Handler: http.NotFoundHandler()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(closer.Listener(l)) }()
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	for begun := time.Now(); len(closer.list()) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < time.Second)
	}
	for begun := time.Now(); closer.Close() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < time.Second)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	_, err = net.Dial("tcp4", l.Addr().String())
	assert.ErrorContains(t, err, "refused")
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	assert.NilError(t, server.Close())
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
}

// Guards against the close of an idle connection whose next request has arrived and is not
// read yet because the process is slow.
func TestRequestThatHasArrivedIsClosedUnread(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	closer := New()
	// The server waits for the request and was not scheduled since it arrived.
	c := &conn{Conn: accepted, idle: true, answered: true, reading: true}
	closer.conns[c] = true
	_, err = client.Write([]byte("x"))
	assert.NilError(t, err)
	for deadline := time.Now().Add(5 * time.Second); !sockopt.HasUnread(accepted) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	closer.CloseIdle()
	assert.Equal(t, closer.Close(), 1)
	n, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}
