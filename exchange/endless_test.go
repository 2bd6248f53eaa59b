package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless starts an upstream that answers a request with start and then repeats rest
// until the connection is closed. The channel receives the number of bytes that the
// kernel accepted.
func endless(t *testing.T, start, rest string) (address string, written <-chan int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	total := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		n, _ := io.WriteString(conn, start)
		sum := int64(n)
		for block := strings.Repeat(rest, 1+4096/len(rest)); err == nil; sum += int64(n) {
			n, err = io.WriteString(conn, block)
		}
		total <- sum
	}()
	return listener.Addr().String(), total
}

// maxSocketBytes bounds the bytes in the buffers of the kernel for one connection.
const maxSocketBytes = 16 << 20

// Guards against a response header without end, which would be read into memory until
// the process runs out of it or the request reaches its deadline.
func TestEndlessHeadIsReadOn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, rest string }{
		"status line":        {"", "H"},
		"header line":        {ok + "X-A: ", "a"},
		"header lines":       {ok, "X-A: a\r\n"},
		"continuation lines": {ok + "X-A: a\r\n", " a\r\n"},
		"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := endless(t, c.start, c.rest)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := NewPool().Send(ctx, address, get("1"))
			assert.Assert(t, errors.Is(err, errHeadTooLong), "%v", err)
			assert.NilError(t, ctx.Err())
			select {
			case n := <-written:
				assert.Assert(t, n < maxSocketBytes, "%d bytes", n)
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open after 10 s")
			}
		})
	}
}

// Guards against idle connections whose unread bytes fill the memory of the VM: bytes
// that follow a complete response belong to no request.
func TestEndlessBytesAfterAResponseAreKept(t *testing.T) {
	address, written := endless(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x")
	p := NewPool()
	body, err := roundTrip(t, p, address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	time.Sleep(200 * time.Millisecond)
	p.Sweep()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open after 10 s")
	}
	assert.Equal(t, p.OpenConnections(address), 0)
}
