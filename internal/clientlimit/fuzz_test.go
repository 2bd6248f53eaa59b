package clientlimit

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/idleconn"
)

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// outcome is what a server made of the bytes of one connection.
type outcome struct {
	bodies [][]byte
	// most is the largest memory that the limiter counted.
	most int64
	left Usage
}

// feed sends bytes to a server behind a limiter, in two pieces, and closes the connection.
func feed(t *testing.T, data []byte, split int, memory int64) outcome {
	t.Helper()
	var out outcome
	limiter := New(Options{Memory: memory, Descriptors: 10, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	handled := func(w http.ResponseWriter, r *http.Request) {
		share, done := Share(r.Context()), ReadingBody(r.Context())
		defer share.Release()
		body, err := share.ReadAll(r.Body, int(min(max(0, r.ContentLength), 1<<20)), 1<<20)
		out.most = max(out.most, limiter.Usage().Memory)
		if done() == nil && err == nil {
			out.bodies = append(out.bodies, body)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(handled), MaxHeaderBytes: 16 << 10}
	pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	listener := limiter.Setup(server, pipes, idleconn.New(), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	ours, theirs := net.Pipe()
	pipes.conns <- theirs
	read := make(chan struct{})
	go func() { defer close(read); _, _ = io.Copy(io.Discard, ours) }()
	split = max(0, min(split, len(data)))
	_ = ours.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := ours.Write(data[:split]); err == nil {
		_, _ = ours.Write(data[split:])
	}
	_ = ours.Close()
	<-read
	for begun := time.Now(); limiter.Usage().Connections > 0 && time.Since(begun) < 5*time.Second; {
		time.Sleep(100 * time.Microsecond)
	}
	out.left = limiter.Usage()
	_ = server.Close()
	<-served
	return out
}

// Guards against header sections whose lines do not count, or that leave memory counted after
// their connection has ended.
func FuzzHeaderSections(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n" + strings.Repeat("a:\n", 400) + "\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 300) + "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("a", 30<<10),
		"GET / HTTP/1.1\r\nHost: h\r\na:\r\n b\r\n\tc\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\n\n\n\n\nGET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("b:\n", 200),
		"\n\n", "\n\r\n", "GET", "",
	} {
		f.Add([]byte(head), 1)
		f.Add([]byte(head), len(head)-1)
	}
	f.Fuzz(func(t *testing.T, head []byte, split int) {
		if len(head) > 32<<10 {
			return
		}
		out := feed(t, head, split, 1<<30)
		assert.Equal(t, out.left, Usage{})
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err == nil && len(out.bodies) > 0 {
			assert.Check(t, out.most >= connectionBytes+requestBytes+headCost(req), "%d", out.most)
		}
		// However the bytes arrive, the lines after the end of a header section count that the
		// reader of net/http may hold.
		end := max(0, bytes.LastIndex(head, []byte("\n\n"))+2, bytes.LastIndex(head, []byte("\n\r\n"))+3)
		if !bytes.Contains(head, []byte("\n\n")) && !bytes.Contains(head, []byte("\n\r\n")) {
			end = 0
		}
		held := head[max(end, len(head)-readerBytes):]
		for _, at := range []int{0, max(0, min(split, len(head)))} {
			c := &conn{}
			c.note(head[:at])
			c.note(head[at:])
			assert.Check(t, c.ahead() >= int64(bytes.Count(held, []byte{'\n'}))*lineBytes)
		}
		// With little memory the connection is refused, and nothing is left either.
		assert.Equal(t, feed(t, head, split, connectionBytes+requestBytes+1000).left, Usage{})
	})
}

// Guards against chunked bodies that are read otherwise than net/http reads them alone, or that
// leave memory counted.
func FuzzChunkedBodies(f *testing.F) {
	for _, body := range []string{
		"0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nTrailer: x\r\n\r\n", "5\nhello\n0\n\n",
		"1\r\na\r\n" + strings.Repeat("1\r\nb\r\n", 300) + "0\r\n\r\n", "ffffffffffffffff\r\n", "10000\r\nshort", "-1\r\n", "\r\n\r\n",
		"2000\r\n" + strings.Repeat("\n", 0x2000) + "\r\n0\r\n\r\n", "0\r\n" + strings.Repeat("a:\n", 200),
	} {
		f.Add([]byte(body), 1)
		f.Add([]byte(body), len(body)-1)
	}
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, body []byte, split int) {
		if len(body) > 32<<10 {
			return
		}
		data := slices.Concat([]byte(head), body)
		out := feed(t, data, len(head)+min(max(0, split), len(body)), 1<<30)
		assert.Equal(t, out.left, Usage{})
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		assert.NilError(t, err)
		want, err := io.ReadAll(req.Body)
		if err == nil {
			assert.Assert(t, len(out.bodies) > 0)
			assert.DeepEqual(t, out.bodies[0], want)
		} else {
			assert.Equal(t, len(out.bodies), 0)
		}
		assert.Equal(t, feed(t, data, split, connectionBytes+requestBytes+1000).left, Usage{})
	})
}
