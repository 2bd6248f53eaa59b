package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
)

const (
	limitPerSecond = 900
	phaseSeconds   = 90
	measuredFrom   = 30 // seconds into a phase
)

// phase is a part of the simulation with one distribution of the demand.
type phase struct {
	name   string
	total  float64                     // requests per second
	weight func(daemon, n int) float64 // relative demand of a daemon
}

var phases = []phase{
	{"even at 80%", 0.8 * limitPerSecond, func(int, int) float64 { return 1 }},
	{"all at one daemon", 1.2 * limitPerSecond, func(i, _ int) float64 { return indicator(i == 0) }},
	{"even at 80% again", 0.8 * limitPerSecond, func(int, int) float64 { return 1 }},
	{"two zones of three cold", 1.2 * limitPerSecond, func(i, _ int) float64 { return indicator(i%3 == 1) + 0.01 }},
	{"half warm at 40%, one daemon hot", 1.4 * limitPerSecond, func(i, n int) float64 { return indicator(i == 2) + 0.4*indicator(i%2 == 1)/float64(n/2) }},
	{"even overload", 2 * limitPerSecond, func(int, int) float64 { return 1 }},
}

func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// result holds the measurements of one phase.
type result struct {
	utilization   float64 // admitted fraction of the limit, from measuredFrom on
	writes, reads float64 // per second over the phase
	steadyWrites  float64 // per second, from measuredFrom on
	peakWrites    int64   // most writes in one second
	worstSecond   int64   // most requests admitted in one second
	rowBytes      int     // size of the row at the end of the phase
}

// simulate runs all phases with Poisson arrivals on virtual time.
func simulate(n int, burst time.Duration) []result {
	results := make([]result, len(phases))
	synctest.Test(&testing.T{}, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		table := memstore.New()
		table.SetFaults(memstore.Faults{Delay: 3 * time.Millisecond})
		managers := make([]*Manager, n)
		var running sync.WaitGroup
		for i := range managers {
			managers[i] = New(Options{Table: table, VM: fmt.Sprint("vm", i), Incarnation: "1", Holders: func() int { return n }, Burst: burst})
			managers[i].SetLimit("org", Limit{RequestsPerSecond: limitPerSecond})
			running.Go(func() { _ = managers[i].Run(ctx) })
		}
		r := rand.New(rand.NewPCG(7, 7))
		for i, p := range phases {
			results[i] = p.run(r, managers, table)
		}
		cancel()
		running.Wait()
	})
	return results
}

func (p phase) run(r *rand.Rand, managers []*Manager, table *memstore.Store) (out result) {
	n, weights := len(managers), 0.0
	for i := range managers {
		weights += p.weight(i, n)
	}
	began, writes, admitted := table.Counts(), table.Counts().Writes, int64(0)
	for second := range phaseSeconds {
		admittedBefore, writesBefore := admitted, writes
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for i, m := range managers {
				for range poisson(r, p.total/10*p.weight(i, n)/weights) {
					if m.Admit("org", 0) == nil {
						admitted++
					}
				}
			}
		}
		writes = table.Counts().Writes
		out.peakWrites = max(out.peakWrites, writes-writesBefore)
		out.worstSecond = max(out.worstSecond, admitted-admittedBefore)
		if second >= measuredFrom {
			out.steadyWrites += float64(writes-writesBefore) / (phaseSeconds - measuredFrom)
			out.utilization += float64(admitted-admittedBefore) / limitPerSecond / (phaseSeconds - measuredFrom)
		}
	}
	out.writes = float64(writes-began.Writes) / phaseSeconds
	row, _ := table.Get(context.Background(), rowPrefix+"org")
	out.rowBytes = len(row[0].Value)
	out.reads = float64(table.Counts().Reads-began.Reads) / phaseSeconds
	return out
}

// poisson draws a Poisson-distributed number by counting exponential gaps.
func poisson(r *rand.Rand, mean float64) (count int) {
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		count++
	}
	return count
}

// Guards against a limit that is exceeded, and against skewed demand that gets
// less than 90% of the limit although the other holders do not need it.
func TestSkewedDemand(t *testing.T) {
	for i, got := range simulate(9, 0) {
		t.Logf("%s: %.1f%% used, %.2f writes/s, %.2f reads/s, worst second %d", phases[i].name, 100*got.utilization, got.writes, got.reads, got.worstSecond)
		assert.Assert(t, got.worstSecond <= 2*limitPerSecond, phases[i].name) // limit and one burst
		assert.Assert(t, got.utilization <= 1.01, phases[i].name)
		offered := phases[i].total / limitPerSecond
		assert.Assert(t, got.utilization >= 0.9*min(1, offered), "%s: %f", phases[i].name, got.utilization)
	}
}

// BenchmarkWrites reports the table calls per second for 9 and 320 daemons.
func BenchmarkWrites(b *testing.B) {
	for _, c := range []struct {
		daemons int
		burst   time.Duration
	}{{9, time.Second}, {320, time.Second}, {320, 2 * time.Second}} {
		b.Run(fmt.Sprintf("%ddaemons/burst%v", c.daemons, c.burst), func(b *testing.B) {
			for b.Loop() {
				for i, got := range simulate(c.daemons, c.burst) {
					b.Logf("%s: %.1f%% used, %.2f writes/s (%.2f after 30 s, peak %d in a second), %.2f reads/s of %d bytes, worst second %d",
						phases[i].name, 100*got.utilization, got.writes, got.steadyWrites, got.peakWrites, got.reads, got.rowBytes, got.worstSecond)
				}
			}
		})
	}
}

// BenchmarkAdmit measures one admission, from one goroutine and from all cores.
func BenchmarkAdmit(b *testing.B) {
	m := New(Options{Table: memstore.New(), VM: "vm", Incarnation: "1"})
	m.SetLimit("org", Limit{RequestsPerSecond: 1e9, TokensPerSecond: 1e12})
	m.tick(b.Context())
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = m.Admit("org", 500)
		}
	})
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				_ = m.Admit("org", 500)
			}
		})
	})
}

// Guards against a lowered limit that is not applied at once, a bucket that
// keeps more than its capacity at the new limit, requests above the burst that
// are always refused, and admissions after Close.
func TestBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memstore.New()
		m := New(Options{Table: table, VM: "vm", Incarnation: "1"})
		admit := func() (n int) {
			for m.Admit("org", 1) == nil {
				n++
			}
			return n
		}
		assert.NilError(t, m.Admit("none", 1))
		m.SetLimit("org", Limit{RequestsPerSecond: 1000, TokensPerSecond: 1e6})
		assert.ErrorIs(t, m.Admit("org", 1), ErrLimited)
		m.tick(t.Context())
		share, _ := m.Share("org")
		time.Sleep(10 * time.Second)
		assert.Equal(t, admit(), int(1000*share/FullLimit))
		time.Sleep(10 * time.Second)
		m.SetLimit("org", Limit{RequestsPerSecond: 100, TokensPerSecond: 1e6})
		assert.Equal(t, admit(), int(100*share/FullLimit))
		time.Sleep(10 * time.Second)
		assert.NilError(t, m.Admit("org", 1e7))
		assert.ErrorIs(t, m.Admit("org", 1), ErrLimited)
		m.Correct("org", -1e7)
		assert.NilError(t, m.Close(t.Context()))
		time.Sleep(time.Hour)
		assert.ErrorIs(t, m.Admit("org", 1), ErrLimited)
		rows, err := table.Get(t.Context(), rowPrefix+"org")
		assert.NilError(t, err)
		assert.Equal(t, string(rows[0].Value), "{}")
	})
}
