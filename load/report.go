package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = time.Microsecond
	histogramMax    = 30 * time.Minute
	histogramDigits = 3
)

// Report is the result of a run.
type Report struct {
	Seed     uint64   `json:"seed"`
	Rate     float64  `json:"rate_per_s"`
	Arrivals Arrivals `json:"arrivals"`
	// DurationS is the time until the last request ended, in seconds.
	DurationS float64 `json:"duration_s"`
	// Requests is the number of requests that were due.
	Requests int64 `json:"requests"`
	// Good is the number of requests with a complete response before the caller left.
	Good int64 `json:"good"`
	// GoodputPerS is Good divided by the time during which requests were due, in
	// seconds.
	GoodputPerS float64 `json:"goodput_per_s"`
	// Resent is the number of retries of bookings.
	Resent int64 `json:"resent"`
	// Errors counts the requests that are not good, by error kind or outcome code.
	Errors  map[string]int64        `json:"errors"`
	Classes map[string]*ClassReport `json:"classes"`
}

// ClassReport is the result of one class of requests. Its times cover good requests
// only.
type ClassReport struct {
	Requests int64 `json:"requests"`
	Good     int64 `json:"good"`
	// Latency and FirstToken are measured from the time at which a request was due.
	Latency    Times `json:"latency_ms"`
	FirstToken Times `json:"first_token_ms"`
	// Service is measured from the time at which a request was sent, for comparison.
	Service Times `json:"service_ms"`

	latency, firstToken, service *hdrhistogram.Histogram
}

// Times summarises a distribution of durations, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// recorder adds outcomes to a report. It is used by one goroutine.
type recorder struct {
	options Options
	totals  Report
}

func newRecorder(o Options) *recorder {
	return &recorder{options: o, totals: Report{
		Seed: o.Seed, Rate: o.Rate, Arrivals: o.Arrivals, Errors: map[string]int64{}, Classes: map[string]*ClassReport{},
	}}
}

func (rec *recorder) add(out outcome) {
	c := rec.totals.Classes[out.class]
	if c == nil {
		c = &ClassReport{latency: newHistogram(), firstToken: newHistogram(), service: newHistogram()}
		rec.totals.Classes[out.class] = c
	}
	rec.totals.Requests++
	c.Requests++
	rec.totals.Resent += int64(max(0, out.attempts-1))
	if out.code != outcomeOK {
		rec.totals.Errors[out.code]++
		return
	}
	rec.totals.Good++
	c.Good++
	record(c.latency, out.latency)
	record(c.service, out.service)
	if out.firstToken > 0 {
		record(c.firstToken, out.firstToken)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin.Microseconds(), histogramMax.Microseconds(), histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The clamped value is always within the range of the histogram.
	_ = h.RecordValue(min(max(d, histogramMin), histogramMax).Microseconds())
}

func (rec *recorder) report(elapsed time.Duration) Report {
	r := rec.totals
	r.DurationS = elapsed.Seconds()
	r.GoodputPerS = float64(r.Good) / max(min(elapsed, rec.options.Duration).Seconds(), histogramMin.Seconds())
	for _, c := range r.Classes {
		c.Latency, c.FirstToken, c.Service = times(c.latency), times(c.firstToken), times(c.service)
	}
	return r
}

func times(h *hdrhistogram.Histogram) Times {
	const microsPerMilli = 1000.0
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Times{
		Count: h.TotalCount(), Mean: h.Mean() / microsPerMilli, P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / microsPerMilli,
	}
}
