package e2e_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/load"
)

// Load of the overhead benchmark. Direct, routed and forwarded rounds alternate, so
// that other work on the machine affects all of them.
const (
	overheadRate   = 1000.0 // requests per second
	overheadRounds = 5
	overheadTime   = 2 * time.Second // duration of one round
)

// BenchmarkOverhead compares calls through one daemon with direct calls to the engine
// stand-in, and with calls through a forwarder, which shows the cost of any additional
// process on the path. It reports medians over the rounds. The number of rounds does
// not depend on b.N.
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
				d := measureRound(b, o)
				o.URL, o.EngineVersion, o.Key = s.Daemons[0].CallerURL, "", e2e.CallerKey(0)
				r := measureRound(b, o)
				o.URL, o.EngineVersion = forwarder, "s1"
				f := measureRound(b, o)
				if round == 0 {
					continue // warm-up round, which opens connections
				}
				for i := range d {
					direct[i], forwarded[i], routed[i] = append(direct[i], d[i]), append(forwarded[i], f[i]), append(routed[i], r[i])
				}
			}
			for i, name := range []string{"p50", "p99", "first-p50", "first-p99"} {
				d, r := median(direct[i]), median(routed[i])
				if d == 0 {
					continue // responses that are not streamed have no first token
				}
				b.ReportMetric(d, name+"-direct-µs")
				b.ReportMetric(r-d, name+"-added-µs")
				b.ReportMetric(median(forwarded[i])-d, name+"-forwarder-µs")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureRound runs one round and returns p50 and p99 of the latency of complete
// responses, from the send, and of the first token, from the time at which the request
// was due. All are in microseconds.
func measureRound(b *testing.B, o load.Options) [4]float64 {
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
