package infra_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/standin/endless"
)

// Guards against a platform whose replies have no end and are read into memory until the
// call times out.
func TestReplyWithoutEndIsReadOn(t *testing.T) {
	for _, kind := range endless.Kinds() {
		t.Run(string(kind), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { endless.Write(w, kind, http.Header{}) }))
			defer server.Close()
			c := infra.New(infra.Options{URL: server.URL, Timeout: 3 * time.Second})
			peak := peakHeap(t)
			_, err := c.Get(context.Background(), "key")
			assert.Assert(t, err != nil)
			_, err = c.Objects().Get(context.Background(), "object")
			assert.Assert(t, err != nil)
			assert.Assert(t, peak() < smallVM, "%d MB", peak()>>20)
		})
	}
}

// smallVM is the memory of a small VM, in bytes.
const smallVM = 128 << 20

// peakHeap watches the heap until the end of the test. The returned function returns its
// largest size so far.
func peakHeap(t *testing.T) func() uint64 {
	var largest atomic.Uint64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest.Store(max(largest.Load(), stats.HeapInuse))
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	return largest.Load
}
