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
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/upstream"
)

// pacedEngine streams parts that it has ready, so that it allocates nothing per
// part itself. It sends the part with number n once step(n) returns.
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

// streamThrough reads one stream to its end. It allocates nothing per part.
func streamThrough(conn net.Conn, buf []byte) error {
	body := `{"model":"brief","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: p\r\nAuthorization: Bearer %s\r\nSavoryshift-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s",
		callerKey, len(body), body)
	have, first := 0, true
	for err == nil && !bytes.HasSuffix(buf[:have], lastChunk) {
		// The end of the text before is kept, because the last chunk can be
		// split.
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

// costWorld is a proxy in front of a paced engine.
func costWorld(t *testing.T, e pacedEngine) *world {
	w := newWorld(t)
	w.net.Serve(t, "10.0.0.9:80", e)
	target := proxy.Target{Upstream: "e1", URL: "http://10.0.0.9:80", Model: "small", Version: "s1"}
	w.serve("10.0.1.1:80", w.options(w.router(proxy.Step{Target: target})))
	return w
}

// Guards against work per streamed part that grows with the length of the
// stream, or allocates. The twin, a caller that allocates for each part, must
// exceed the bound.
func TestAllocationsPerStreamedPart(t *testing.T) {
	perPart := func(step func(int)) float64 {
		allocations := func(parts int) float64 {
			w := costWorld(t, pacedEngine{parts: parts, step: step})
			conn, err := w.net.Dial(context.Background(), "", "10.0.1.1:80")
			assert.NilError(t, err)
			defer conn.Close()
			buf := make([]byte, 4096)
			assert.NilError(t, streamThrough(conn, buf)) // opens the connections
			return testing.AllocsPerRun(3, func() { assert.NilError(t, streamThrough(conn, buf)) })
		}
		const short, long = 1000, 5000
		return (allocations(long) - allocations(short)) / (long - short)
	}
	got := perPart(func(int) {})
	t.Logf("%.3f allocations per part", got)
	assert.Assert(t, got <= maxAllocationsPerPart, "%.2f allocations per part", got)
	var sink []byte
	twin := perPart(func(n int) {
		for range 3 {
			sink = make([]byte, 16+n%2)
		}
	})
	runtime.KeepAlive(sink)
	assert.Assert(t, twin > maxAllocationsPerPart, "the twin has %.2f allocations per part", twin)
}

// Guards against memory that grows while many streams go on: the heap after
// 50 parts of each of the concurrent streams must be that after 10. The figure
// covers engine, proxy and callers. The twin keeps every part.
func TestMemoryOfConcurrentStreams(t *testing.T) {
	const early, late, parts = 10, 50, 60
	var mu sync.Mutex
	var twin [][]byte // four times the size of each part
	kept := func(n int) {}
	reached := map[int]*barrier{early: newBarrier(), late: newBarrier()}
	w := costWorld(t, pacedEngine{parts: parts, step: func(n int) {
		kept(n)
		if b := reached[n-1]; b != nil {
			b.wait()
		}
	}})
	kept = func(n int) {
		if n <= early || n > late {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		twin = append(twin, make([]byte, 4*len(part)))
	}
	var callers sync.WaitGroup
	for range concurrentStreams {
		callers.Go(func() {
			conn, err := w.net.Dial(context.Background(), "", "10.0.1.1:80")
			if !assert.Check(t, err) {
				return
			}
			defer conn.Close()
			assert.Check(t, streamThrough(conn, make([]byte, 1024)))
		})
	}
	first := reached[early].release()
	last := reached[late].release()
	callers.Wait()
	const tolerance = 1.05
	keeping := int64(len(twin) * 4 * len(part))
	t.Logf("%d streams: %d bytes each after part %d, %d after part %d", concurrentStreams,
		first/concurrentStreams, early, (last-keeping)/concurrentStreams, late)
	assert.Assert(t, float64(last-keeping) <= tolerance*float64(first), "the heap grew from %d to %d bytes", first, last-keeping)
	assert.Assert(t, float64(last) > tolerance*float64(first), "the check misses %d bytes that are kept", keeping)
}

// barrier holds all streams at one part while the heap is measured.
type barrier struct {
	arrived sync.WaitGroup
	open    chan struct{}
}

func newBarrier() *barrier {
	b := &barrier{open: make(chan struct{})}
	b.arrived.Add(concurrentStreams)
	return b
}

func (b *barrier) wait() {
	b.arrived.Done()
	<-b.open
}

// release waits for all streams, measures the heap and lets them go on.
func (b *barrier) release() int64 {
	b.arrived.Wait()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	close(b.open)
	return int64(m.HeapAlloc + m.StackInuse)
}
