package proxy_test

import (
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// benchStreams is the number of streams over which the cost per stream is
// averaged.
const benchStreams = 20

// resourceUsage returns the CPU time of the process, its number of allocations,
// and its heap and stack memory in bytes.
func resourceUsage() (cpu time.Duration, mallocs, memory uint64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs, m.HeapAlloc + m.StackInuse
}

func streamBody(parts int) string {
	return fmt.Sprintf(`{"model":"brief","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, parts)
}

// BenchmarkStream reports CPU time and allocations per streamed response by its
// number of parts, on the virtual time of synctest. The figures include caller
// and engine.
func BenchmarkStream(b *testing.B) {
	for _, parts := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			for b.Loop() {
				synctest.Test(&testing.T{}, func(t *testing.T) {
					w := newFixture(t)
					url := w.serve("10.1.0.1:80", w.options(w.router(step("e1", "s1"))))
					w.stream(url) // opens the connections
					cpu, mallocs, _ := resourceUsage()
					for range benchStreams {
						w.post(url+"/v1/chat/completions", callerKey, streamBody(parts))
					}
					cpuAfter, mallocsAfter, _ := resourceUsage()
					b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/benchStreams, "cpu-µs/stream")
					b.ReportMetric(float64(mallocsAfter-mallocs)/benchStreams, "allocs/stream")
				})
			}
		})
	}
}

// BenchmarkInFlight reports heap and stack memory by the number of streams in
// flight. The figures include caller, engine and the in-memory connections.
func BenchmarkInFlight(b *testing.B) {
	for _, streams := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				synctest.Test(&testing.T{}, func(t *testing.T) {
					w := newFixture(t)
					url := w.serve("10.1.0.1:80", w.options(w.router(step("e1", "s1"))))
					w.stream(url)
					runtime.GC()
					_, _, before := resourceUsage()
					var calls sync.WaitGroup
					for range streams {
						calls.Go(func() { w.post(url+"/v1/chat/completions", callerKey, streamBody(100)) })
					}
					time.Sleep(100 * time.Millisecond)
					runtime.GC()
					_, _, during := resourceUsage()
					calls.Wait()
					b.ReportMetric(float64(during)-float64(before), "bytes")
				})
			}
		})
	}
}
