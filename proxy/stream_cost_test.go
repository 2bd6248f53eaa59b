package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/upstream"
)

// pacedEngine streams prepared parts, so that it allocates nothing per part
// itself. It sends part number n once step(n) returns.
type pacedEngine struct {
	parts int
	step  func(n int)
}

func (e pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
		w.Header().Set(name, r.Header.Get(name))
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	var line []byte
	flusher := w.(http.Flusher)
	for n := 1; n <= e.parts; n++ {
		e.step(n)
		line = strconv.AppendInt(append(line[:0], "id: "...), int64(n), 10)
		line = append(append(line, "\ndata: "...), part...)
		if _, err := w.Write(line); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: {\"parts\":%d,\"completion_tokens\":%d}\n\ndata: [DONE]\n\n", e.parts, e.parts)
}

const part = `{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"thread "},"finish_reason":null}]}` + "\n\n"

// requestStream sends a request over conn and reads its stream to the end. It
// allocates nothing per part.
func requestStream(conn net.Conn, buf []byte) error {
	body := `{"model":"brief","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: p\r\nAuthorization: Bearer %s\r\nSavoryshift-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body)
	have, first := 0, true
	for err == nil && !bytes.HasSuffix(buf[:have], lastChunk) {
		// The end of the previous text is kept, because the last chunk can be
		// split across reads.
		have = copy(buf, buf[max(0, have-len(lastChunk)):have])
		var n int
		n, err = conn.Read(buf[have:])
		have += n
		if first && err == nil && !bytes.HasPrefix(buf, []byte("HTTP/1.1 200")) {
			return fmt.Errorf("answer %s", buf[:have])
		}
		first = false
	}
	return err
}

var lastChunk = []byte("\r\n0\r\n\r\n")

// newCostFixture returns a fixture with a proxy in front of a paced engine.
func newCostFixture(t *testing.T, e pacedEngine) *fixture {
	w := newFixture(t)
	w.streamIdle = 2 * barrierTimeout
	w.net.Serve(t, "10.0.0.9:80", e)
	target := proxy.Target{Upstream: "e1", URL: "http://10.0.0.9:80", Model: "small", Version: "s1"}
	w.serve("10.0.1.1:80", w.options(w.router(proxy.Step{Target: target})))
	return w
}

// Guards against work per streamed part that allocates or grows with the length
// of the stream. As a negative control, an engine that allocates for each part
// must exceed the bound.
func TestAllocationsPerStreamedPart(t *testing.T) {
	perPart := func(step func(int)) float64 {
		allocations := func(parts int) float64 {
			w := newCostFixture(t, pacedEngine{parts: parts, step: step})
			conn, err := w.net.Dial(context.Background(), "", "10.0.1.1:80")
			assert.NilError(t, err)
			defer conn.Close()
			assert.Check(t, conn.SetDeadline(time.Now().Add(3*barrierTimeout)))
			buf := make([]byte, 4096)
			assert.NilError(t, requestStream(conn, buf)) // opens the connections
			return testing.AllocsPerRun(3, func() { assert.NilError(t, requestStream(conn, buf)) })
		}
		const short, long = 1000, 5000
		return (allocations(long) - allocations(short)) / (long - short)
	}
	got := perPart(func(int) {})
	t.Logf("%.3f allocations per part", got)
	assert.Assert(t, got <= maxAllocationsPerPart, "%.2f allocations per part", got)
	var sink []byte
	control := perPart(func(n int) {
		for range 3 {
			sink = make([]byte, 16+n%2)
		}
	})
	runtime.KeepAlive(sink)
	assert.Assert(t, control > maxAllocationsPerPart, "the negative control has %.2f allocations per part", control)
}

// Guards against memory that grows with the length of concurrent streams: the
// heap after 50 parts of each stream must be within the tolerance of the heap
// after 10 parts. The figures include engine, proxy and callers. As a negative
// control, memory of four times the size of each part is kept and must be
// detected.
func TestMemoryOfConcurrentStreams(t *testing.T) {
	const early, late, parts = 10, 50, 60
	var mu sync.Mutex
	var leak [][]byte // four times the size of each part
	keep := func(n int) {}
	reached := map[int]*barrier{early: newBarrier(), late: newBarrier()}
	w := newCostFixture(t, pacedEngine{parts: parts, step: func(n int) {
		keep(n)
		if b := reached[n-1]; b != nil {
			b.wait()
		}
	}})
	keep = func(n int) {
		if n <= early || n > late {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		leak = append(leak, make([]byte, 4*len(part)))
	}
	var callers sync.WaitGroup
	for range concurrentStreams {
		callers.Go(func() {
			conn, err := w.net.Dial(context.Background(), "", "10.0.1.1:80")
			if !assert.Check(t, err) {
				return
			}
			defer conn.Close()
			assert.Check(t, conn.SetDeadline(time.Now().Add(3*barrierTimeout)))
			assert.Check(t, requestStream(conn, make([]byte, 1024)))
		})
	}
	first, missing := reached[early].release()
	last, missingLate := reached[late].release()
	callers.Wait()
	assert.Assert(t, missing == 0 && missingLate == 0, "of %d streams %d did not reach part %d and %d not part %d within %v",
		concurrentStreams, missing, early, missingLate, late, barrierTimeout)
	const tolerance = 1.05
	leaked := int64(len(leak) * 4 * len(part))
	t.Logf("%d streams: %d bytes each after part %d, %d after part %d", concurrentStreams,
		first/concurrentStreams, early, (last-leaked)/concurrentStreams, late)
	assert.Assert(t, float64(last-leaked) <= tolerance*float64(first), "the heap grew from %d to %d bytes", first, last-leaked)
	assert.Assert(t, float64(last) > tolerance*float64(first), "the check misses %d bytes that are kept", leaked)
}

// barrierTimeout bounds the wait until all streams have arrived at a barrier. The
// router must not end a stream that waits there.
const barrierTimeout = 2 * time.Minute

// barrier holds all streams at one part while the heap is measured.
type barrier struct {
	arrived atomic.Int64
	all     chan struct{}
	open    chan struct{}
}

func newBarrier() *barrier {
	return &barrier{all: make(chan struct{}), open: make(chan struct{})}
}

func (b *barrier) wait() {
	if b.arrived.Add(1) == concurrentStreams {
		close(b.all)
	}
	<-b.open
}

// release waits until all streams have arrived, measures the heap and lets them
// continue. It returns the number of streams that did not arrive in time.
func (b *barrier) release() (heap, missing int64) {
	select {
	case <-b.all:
	case <-time.After(barrierTimeout):
		missing = concurrentStreams - b.arrived.Load()
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	close(b.open)
	return int64(m.HeapAlloc + m.StackInuse), missing
}
