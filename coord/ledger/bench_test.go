package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savoryshift/savoryshift/coord/memstore"
)

const (
	requestsPerSecond = 19 // of one daemon: 6,100 over 320
	memoryBound       = 256 << 20
)

// typicalEntry returns the n-th entry of a daemon, with a random UUID as key.
func typicalEntry(r *rand.Rand, n int) Entry {
	var id [uuidBytes]byte
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	return Entry{
		Organisation: fmt.Sprintf("organisation-%d", r.IntN(10)), RequestKey: formatUUID(id[:]),
		Model: fmt.Sprintf("model-%d", r.IntN(6)), Version: fmt.Sprintf("version-%d", r.IntN(30)),
		PromptTokens: r.Int64N(4000), CompletionTokens: r.Int64N(1000), CostMicros: r.Int64N(20000),
		Time: noon.Add(time.Duration(n) * time.Second / requestsPerSecond),
	}
}

// BenchmarkBatch reports the encoded bytes per entry for batches of three sizes:
// one copy message at the design rate, one flush of 5 s, and one closed batch.
func BenchmarkBatch(b *testing.B) {
	for _, entries := range []int{1, 5 * requestsPerSecond, 2000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			r, size := rand.New(rand.NewPCG(1, 1)), 0
			list := make([]Entry, entries)
			for i := range list {
				list[i] = typicalEntry(r, i)
			}
			b.ReportAllocs()
			for b.Loop() {
				enc := newEncoder()
				for _, e := range list {
					enc.add(e)
				}
				size = len(enc.batch())
			}
			b.ReportMetric(float64(size)/float64(entries), "bytes/entry")
		})
	}
}

// BenchmarkOutage reports the hours of a platform outage for which 256 MB hold
// all entries at the design rate, with copies for two other daemons, and the heap
// in use.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
		r := rand.New(rand.NewPCG(1, 1))
		heap := heapBytes()
		l := New(Options{Self: Peer{ID: "vm0/1"}, MaxBytes: memoryBound})
		n := 0
		for ; ; n++ {
			reservation, err := l.Reserve()
			if err != nil {
				break
			}
			l.append(reservation, typicalEntry(r, n))
			l.uncopied = nil
			for _, owner := range []string{"vm1/1", "vm2/1"} {
				enc := newEncoder()
				enc.add(typicalEntry(r, n))
				_ = l.Accept(copyMessage{Owner: owner, First: uint64(n + 1), Batch: enc.batch()}.encode())
			}
		}
		s := l.Stats()
		b.ReportMetric(float64(n)/requestsPerSecond/3600, "hours")
		b.ReportMetric(float64(s.Bytes)/float64(s.OwnEntries+s.HeldEntries), "counted-bytes/entry")
		b.ReportMetric(float64(heapBytes()-heap)/float64(s.OwnEntries+s.HeldEntries), "heap-bytes/entry")
		runtime.KeepAlive(l)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap per own entry for three numbers of entries.
func BenchmarkMemory(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for b.Loop() {
				r, heap := rand.New(rand.NewPCG(1, 1)), heapBytes()
				l := New(Options{Self: Peer{ID: "vm0/1"}})
				for n := range entries {
					l.append(&Reservation{l: l}, typicalEntry(r, n))
					l.uncopied = nil
				}
				b.ReportMetric(float64(heapBytes()-heap)/float64(entries), "heap-bytes/entry")
				runtime.KeepAlive(l)
			}
		})
	}
}

// directCopier calls the ledgers of the peers in the same process.
type directCopier map[string]*Ledger

func (d directCopier) CopyEntries(_ context.Context, peer string, entries []byte) error {
	return d[peer].Accept(entries)
}

func (d directCopier) ReleaseEntries(_ context.Context, peer, owner string, through uint64) error {
	d[peer].AcceptRelease(owner, through)
	return nil
}

// BenchmarkAdd reports the CPU time and the allocations of one Add with its two
// copies and its part of the flushes, at two rates on virtual time. The figures
// include the work of the peers that hold the copies.
func BenchmarkAdd(b *testing.B) {
	const adds = 20_000
	for _, rate := range []int{requestsPerSecond, 5000} {
		b.Run(fmt.Sprintf("%dps", rate), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			entries := make([]Entry, adds)
			for i := range entries {
				entries[i] = typicalEntry(r, i)
			}
			for b.Loop() {
				cpu, mallocs := resourceUsage()
				synctest.Test(&testing.T{}, func(*testing.T) { addAll(entries, rate) })
				cpuAfter, mallocsAfter := resourceUsage()
				b.ReportMetric(float64(cpuAfter-cpu)/adds, "cpu-ns/add")
				b.ReportMetric(float64(mallocsAfter-mallocs)/adds, "allocs/add")
			}
		})
	}
}

func addAll(entries []Entry, rate int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers := directCopier{"vm1/1": New(Options{}), "vm2/1": New(Options{})}
	l := New(Options{Self: Peer{ID: "vm0/1"}, Objects: memstore.New().Objects(), Copier: peers,
		Peers: func() []Peer { return []Peer{{ID: "vm1/1"}, {ID: "vm2/1", AvailabilityZone: "b"}} }})
	go func() { _ = l.Run(ctx) }()
	began := time.Now()
	for i := range entries {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		go func() { _ = l.Add(ctx, entries[i]) }()
	}
	time.Sleep(time.Second)
}

// resourceUsage returns the CPU time of the process in nanoseconds and its
// number of allocations.
func resourceUsage() (cpu int64, mallocs uint64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return u.Utime.Nano() + u.Stime.Nano(), m.Mallocs
}
