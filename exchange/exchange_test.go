package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// upstream starts a fake upstream that writes the bytes returned by answer in
// response to each request. If they are nil, it closes the connection.
func upstream(t *testing.T, answer func(n int, r *http.Request) []byte) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					data := answer(int(requests.Add(1)), r)
					if data == nil {
						return
					}
					if _, err := conn.Write(data); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func get(id string) Request {
	return Request{Method: http.MethodGet, Target: "/a?b=%2f", Host: "h", Header: http.Header{"X-Id": {id}}, MaxIdle: time.Minute}
}

func ok(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func roundTrip(t *testing.T, p *Pool, address string, req Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := p.Send(ctx, address, req)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

// A connection is reused after a complete response, so that upstreams do not have
// to accept a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	address := upstream(t, func(n int, r *http.Request) []byte { return ok(r.RequestURI) })
	p := NewPool()
	for range 3 {
		body, err := roundTrip(t, p, address, get("1"))
		assert.NilError(t, err)
		assert.Equal(t, body, "/a?b=%2f")
	}
	assert.Equal(t, p.OpenConnections(address), 1)
}

// Bytes that follow a complete response belong to no request. They must not be
// read as the response of the next request.
func TestExtraBytesEndTheConnection(t *testing.T) {
	address := upstream(t, func(n int, r *http.Request) []byte {
		if n == 1 {
			return append(ok("first"), ok("extra")...)
		}
		return ok("second")
	})
	p := NewPool()
	body, err := roundTrip(t, p, address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	body, err = roundTrip(t, p, address, get("2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

// Extra bytes that arrive while a connection is idle prevent its reuse.
func TestLateExtraBytesAreFound(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	late := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write(ok("first"))
		<-late
		_, _ = conn.Write(ok("extra"))
		close(sent)
		conn, err = l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write(ok("second"))
	}()
	p := NewPool()
	_, err = roundTrip(t, p, l.Addr().String(), get("1"))
	assert.NilError(t, err)
	close(late)
	<-sent
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); {
		p.mu.Lock()
		idle := p.idle[l.Addr().String()][0]
		p.mu.Unlock()
		if !connHealthy(idle.Conn) {
			break
		}
	}
	body, err := roundTrip(t, p, l.Addr().String(), get("2"))
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

// A request that may have reached the upstream is not sent again, even if a reused
// connection is closed without a response.
func TestNothingIsSentTwice(t *testing.T) {
	seen := make(chan string, 10)
	address := upstream(t, func(n int, r *http.Request) []byte {
		seen <- r.Header.Get("X-Id")
		if n == 2 {
			return nil
		}
		return ok("x")
	})
	p := NewPool()
	_, err := roundTrip(t, p, address, get("1"))
	assert.NilError(t, err)
	_, err = roundTrip(t, p, address, get("2"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, ErrNotSent), "the upstream read the request: %v", err)
	assert.Equal(t, len(seen), 2)
}

// Errors of connecting and of BeforeWrite wrap ErrNotSent, and nothing is sent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = roundTrip(t, NewPool(), address, get("1"))
	assert.Assert(t, errors.Is(err, ErrNotSent))

	served := false
	address = upstream(t, func(int, *http.Request) []byte { served = true; return ok("x") })
	req := get("1")
	refusal := errors.New("left")
	req.BeforeWrite = func() error { return refusal }
	_, err = roundTrip(t, NewPool(), address, req)
	assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, refusal))
	assert.Assert(t, !served)
}

// A truncated response is not reported as complete, whatever its framing.
func TestCutAnswers(t *testing.T) {
	for name, data := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header":  "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = conn.Write([]byte(data))
				_ = conn.Close()
			}()
			reply, err := NewPool().Send(t.Context(), l.Addr().String(), get("1"))
			if err == nil {
				_, err = io.ReadAll(reply)
				assert.Assert(t, !reply.Complete())
				reply.Close()
			}
			assert.Assert(t, err != nil)
		})
	}
}

// A response without a length ends with its connection and is complete; the
// connection is not reused.
func TestAnswerWithoutLength(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nall of it"))
		_ = conn.Close()
	}()
	p := NewPool()
	body, err := roundTrip(t, p, l.Addr().String(), get("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
	assert.Equal(t, p.OpenConnections(l.Addr().String()), 0)
}

// If an upstream responds before it has read a long body, the connection is
// closed, because the next request would be read as the rest of the body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	rest := make(chan int64, 1)
	answered := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
		<-answered
		n, _ := io.Copy(io.Discard, r.Body)
		rest <- n
	}()
	p := NewPool()
	req := get("1")
	req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
	_, err = roundTrip(t, p, l.Addr().String(), req)
	assert.NilError(t, err)
	assert.Equal(t, p.OpenConnections(l.Addr().String()), 0)
	close(answered)
	assert.Assert(t, <-rest < int64(len(req.Body)))
}

// Cancelling the context closes the connection, which cancels the work at the
// upstream.
func TestCancelClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	closed := make(chan struct{})
	reached := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		close(reached)
		_, _ = reader.ReadByte()
		close(closed)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	_, err = NewPool().Send(ctx, l.Addr().String(), get("1"))
	assert.Assert(t, err != nil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// The idle timeout that an upstream states limits the reuse of a connection.
func TestStatedIdleTime(t *testing.T) {
	address := upstream(t, func(n int, r *http.Request) []byte {
		return []byte("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
	})
	p := NewPool()
	now := time.Now()
	p.now = func() time.Time { return now }
	_, err := roundTrip(t, p, address, get("1"))
	assert.NilError(t, err)
	now = now.Add(time.Duration(idleTimeoutShare*float64(time.Second)) - time.Millisecond)
	p.Sweep()
	assert.Equal(t, p.OpenConnections(address), 1)
	now = now.Add(2 * time.Millisecond)
	p.Sweep()
	assert.Equal(t, p.OpenConnections(address), 0)
}
