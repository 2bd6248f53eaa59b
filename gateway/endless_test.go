package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/placement"
)

// endless returns a script that writes a response header and then repeats rest until
// the connection is closed, which it reports to closed.
func endless(closed chan<- time.Time, header, rest string) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%s\r\n", r.Header.Get("Id"), header)
		block := strings.Repeat(rest, 1+4096/len(rest))
		for {
			if _, err := io.WriteString(w, block); err != nil {
				closed <- time.Now()
				return false
			}
		}
	}
}

// chunks returns data as one chunk of a chunked body.
func chunks(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// Guards against a response body without end that is read until the deadline of the
// request, or that reaches the caller as if it were an answer.
func TestEndlessBodyIsReadOn(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct{ path, header, rest string }{
		"whole, chunked":           {"/safe/x", chunked, chunks(strings.Repeat("x", 1000))},
		"whole, until closed":      {"/safe/x", "Connection: close\r\n", "x"},
		"whole, tiny chunks":       {"/safe/x", chunked, chunks("x")},
		"whole, chunk extensions":  {"/safe/x", chunked + "\r\n1;", "x"},
		"stream without line ends": {"/stream/x", chunked, chunks(strings.Repeat("x", 1000))},
		"stream of empty lines":    {"/stream/x", chunked, chunks("\n\n\n\n")},
		"stream of comments":       {"/stream/x", chunked, chunks(":\n")},
		"stream until closed":      {"/stream/x", "Connection: close\r\n", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			bad := startUpstream(t, "bad", endless(closed, c.header, c.rest))
			other := answer(200, "answer")
			if c.path == "/stream/x" {
				other = events(3, lastChunk)
			}
			good := startUpstream(t, "good", other)
			s := newSystem(t, registration(bad, "v1"), registration(good, "v1")).configure()
			// Load on the second upstream makes placement choose the first one.
			s.book.SetPeer("p", map[string]placement.Load{"good": {Calls: 4, PrefillSeconds: 1}}, time.Now())
			begun := time.Now()
			reply := s.call(c.path)
			assert.Assert(t, reply.complete && reply.status == 200, "%d, complete %t, %.100q", reply.status, reply.complete, reply.body)
			assert.Assert(t, !strings.Contains(reply.body, "x"), "%.100q", reply.body)
			select {
			case at := <-closed:
				assert.Assert(t, at.Sub(begun) < 2*time.Second, "closed after %v", at.Sub(begun))
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open after 10 s")
			}
		})
	}
}

// Guards against a stream of empty lines that is read until the deadline of the request
// because no other upstream is left and no event ends.
func TestEndlessEmptyLinesAreReadOn(t *testing.T) {
	closed := make(chan time.Time, 8)
	bad := startUpstream(t, "bad", endless(closed, "Transfer-Encoding: chunked\r\n", chunks(strings.Repeat("\n", 1000))))
	s := newSystem(t, registration(bad, "v1")).configure()
	begun := time.Now()
	reply := s.call("/stream/x")
	assert.Assert(t, !reply.complete || reply.status != http.StatusOK, "%+v", reply)
	select {
	case at := <-closed:
		assert.Assert(t, at.Sub(begun) < time.Second, "closed after %v", at.Sub(begun))
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open after 10 s")
	}
}

// Guards against events without end from many upstreams at once, each of which has a bound,
// that together use up the memory of the VM.
func TestLongEventsShareTheMemory(t *testing.T) {
	// The bytes that follow the last full read buffer are not held yet.
	const line, size, readBuffer = "data: ", 400 << 10, 4 << 10
	release := make(chan struct{})
	hold := startUpstream(t, "hold", func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(w, line+strings.Repeat("x", size))
		<-release
		chunk(w, "\n\n")
		fmt.Fprint(w, lastChunk)
		return false
	})
	s := newSystem(t, registration(hold, "v1"))
	s.restart(gateway.Options{MaxBuffered: 1 << 20}).configure()
	first := make(chan reply)
	go func() { first <- s.call("/stream/x", "Id: first") }()
	for begun := time.Now(); s.server.BufferedBytes() < 2*(size-readBuffer); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 10*time.Second, "%d bytes are held", s.server.BufferedBytes())
	}
	second := s.call("/stream/x", "Id: second")
	assert.Assert(t, !second.complete || second.status != http.StatusOK, "%d", second.status)
	close(release)
	got := <-first
	assert.Assert(t, got.complete && got.status == http.StatusOK && len(got.body) > size, "%d, %d bytes", got.status, len(got.body))
}
