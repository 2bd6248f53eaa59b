package e2e_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/load"
)

// The load of the overhead benchmark. Direct and routed rounds alternate, so
// that other work on the machine hits both.
const (
	overheadRate   = 1000.0 // requests per second
	overheadRounds = 5
	overheadTime   = 2 * time.Second // of one round
)

// BenchmarkOverhead compares calls through one daemon with calls straight to
// the engine stand-in, and with calls through a forwarder that does nothing
// else, which shows what a second process on the way costs on the machine. It
// prints the medians over the rounds and runs the same rounds whatever b.N is.
func BenchmarkOverhead(b *testing.B) {
	s := e2e.Launch(b, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 1024})
	forwarder := startForwarder(b, s.Engine.URL)
	for _, kind := range []struct {
		name   string
		stream float64
	}{{"whole", 0}, {"stream", 1}} {
		b.Run(kind.name, func(b *testing.B) {
			var direct, forwarded, routed [4][]float64
			for round := range overheadRounds + 1 {
				o := load.Options{Rate: overheadRate, Duration: overheadTime, StreamShare: kind.stream, Seed: uint64(round)}
				o.URL, o.EngineVersion = s.Engine.URL, "s1"
				d := times(b, o)
				o.URL, o.EngineVersion, o.Key = s.Daemons[0].Callers, "", e2e.CallerKey(0)
				r := times(b, o)
				o.URL, o.EngineVersion = forwarder, "s1"
				f := times(b, o)
				if round == 0 {
					continue // connections are opened
				}
				for i := range d {
					direct[i], forwarded[i], routed[i] = append(direct[i], d[i]), append(forwarded[i], f[i]), append(routed[i], r[i])
				}
			}
			for i, name := range []string{"p50", "p99", "first-p50", "first-p99"} {
				d, r := median(direct[i]), median(routed[i])
				if d == 0 {
					continue // whole answers have no first part
				}
				b.ReportMetric(d, name+"-direct-µs")
				b.ReportMetric(r-d, name+"-added-µs")
				b.ReportMetric(median(forwarded[i])-d, name+"-forwarder-µs")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// times runs one round and returns p50 and p99 of the whole answers and of the
// first parts, in microseconds, measured from when a request was sent.
func times(b *testing.B, o load.Options) [4]float64 {
	r, err := load.Run(b.Context(), o)
	assert.NilError(b, err)
	assert.Equal(b, r.Good, r.Requests, "%s: %v", o.URL, r.Errors)
	c := r.Classes["default"]
	return [4]float64{c.Service.P50 * 1000, c.Service.P99 * 1000, c.FirstToken.P50 * 1000, c.FirstToken.P99 * 1000}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
