package entrytest

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/entry"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/platform/standin"
)

// BenchmarkVMWithoutRequests measures the processor time of a VM that serves no requests, in
// fleets of whole VMs in one process, on loopback. There are 94 upstreams, one of which changes
// its registration every 0.5 s. The time of the store stand-in is included.
func BenchmarkVMWithoutRequests(b *testing.B) {
	for _, size := range []int{20, 100} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) { benchmarkVMs(b, size) })
	}
}

func benchmarkVMs(b *testing.B, size int) {
	const upstreams, zones, settle, length = 94, 4, 5 * time.Second, 5 * time.Second
	store := standin.NewRowStore()
	server := httptest.NewServer(store)
	defer server.Close()
	store.Put("op", "config", standin.Configuration(1, "desk"))
	register := func(i, seq int) {
		store.Put("servers", fmt.Sprint("model-", i), map[string]any{
			"Service": "model", "Address": fmt.Sprintf("127.0.0.1:%d", 1000+i), "Zone": fmt.Sprint("zone-", i%zones), "Version": "v1",
			"Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": seq, "born": 1000 + i,
		})
	}
	for i := range upstreams {
		register(i, 1)
	}
	ctx, stop := context.WithCancel(context.Background())
	var seeds []string
	ended := make(chan error, size)
	for i := range size {
		cores := 0.2
		if i < 2*zones {
			cores = 1
		}
		peer := e2e.FreePort(b)
		e := entry.New(entry.Options{Log: zap.NewNop(), Settings: platform.Settings{
			VM: fmt.Sprintf("vm-%03d", i), AvailabilityZone: fmt.Sprint("zone-", i%zones), Front: e2e.FreePort(b), Ready: e2e.FreePort(b), Peer: peer,
			Seeds: seeds, StoreAddress: strings.TrimPrefix(server.URL, "http://"), MemoryBytes: 1 << 30, Cores: cores,
			Bounds: platform.Bounds{
				Drain: 2 * time.Second, Grace: 5 * time.Second, RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 500,
				ExposureShare: 0.15, SessionIdle: 5 * time.Second, CacheLifetime: 10 * time.Second,
			},
		}})
		go func() { ended <- e.Run(ctx) }()
		if len(seeds) < 3 {
			seeds = append(seeds, peer)
		}
	}
	defer func() {
		stop()
		for range size {
			<-ended
		}
	}()
	change := time.NewTicker(500 * time.Millisecond)
	defer change.Stop()
	run := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); {
			<-change.C
			register(int(time.Now().UnixMilli())%upstreams, int(time.Now().UnixMilli()))
		}
	}
	run(settle)
	b.ResetTimer()
	before := processTime()
	for range b.N {
		run(length)
	}
	used := processTime() - before
	b.StopTimer()
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*size)/length.Seconds(), "mean-µs/s")
	assert.Assert(b, used > 0)
}

func processTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}
