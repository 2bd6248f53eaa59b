package clientlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/idleconn"
	"github.com/savoryshift/savoryshift/internal/knownred"
)

// Guards against a client that does not take its response and keeps its place from others, and
// against one that takes it and loses it.
func TestStalledResponseLosesItsPlace(t *testing.T) {
	knownred.SkipListed(t, "internal/clientlimit")
	limiter := New(Options{Memory: 8 << 20, Descriptors: 4, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var failed sync.Map
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			return
		}
		if _, err := io.WriteString(w, strings.Repeat("a", 32<<20)); err != nil {
			failed.Store(r.URL.Path, true)
		}
	})}
	listener = limiter.Setup(server, listener, idleconn.New(), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	open := func(path string) net.Conn {
		conn, err := dialer.Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		return conn
	}
	open("/stalled")
	taking := open("/taking")
	go func() {
		for part := make([]byte, 1<<10); ; time.Sleep(time.Millisecond) {
			if _, err := taking.Read(part); err != nil {
				return
			}
		}
	}()
	for begun := time.Now(); limiter.Usage().Descriptors < 4; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 10*time.Second, "%+v", limiter.Usage())
	}
	served := func() bool {
		conn := open("/short")
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		status := make([]byte, len("HTTP/1.1 200"))
		_, err := io.ReadFull(conn, status)
		return err == nil && strings.HasSuffix(string(status), "200")
	}
	for begun := time.Now(); !served(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 30*time.Second, "%+v", limiter.Usage())
	}
	_, stalled := failed.Load("/stalled")
	_, lost := failed.Load("/taking")
	assert.Assert(t, stalled && !lost, "stalled %v, lost %v", stalled, lost)
}

// Guards against responses that use more memory than there is, and against memory that is not
// given back when the request has ended.
func TestResponsesHoldMemory(t *testing.T) {
	limiter := New(Options{Memory: 1 << 20, Descriptors: 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	contexts := make(chan context.Context, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first, second := HoldResponse(r.Context(), 600<<10), HoldResponse(r.Context(), 600<<10)
		if first != nil || !errors.Is(second, bodybudget.ErrFull) {
			w.WriteHeader(http.StatusInternalServerError)
		}
		contexts <- r.Context()
	})}
	listener = limiter.Setup(server, listener, idleconn.New(), http.NotFound)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 3 {
		resp, err := http.Get("http://" + listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		ended := <-contexts
		for begun := time.Now(); limiter.Usage().Memory > connectionBytes; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Since(begun) < 10*time.Second, "%+v", limiter.Usage())
		}
		assert.Assert(t, errors.Is(HoldResponse(ended, 1), bodybudget.ErrFull))
	}
}
