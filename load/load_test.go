package load_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/load"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/upstream/upstreamtest"
	"github.com/savoryshift/savoryshift/workload"
)

const target = "http://127.0.0.1:80"

// runOnVirtualTime runs the load generator against h on virtual time.
func runOnVirtualTime(t *testing.T, h http.Handler, o load.Options) (r load.Report) {
	synctest.Test(t, func(t *testing.T) {
		network := upstreamtest.New()
		network.Serve(t, "127.0.0.1:80", h)
		o.URL, o.Dial = target, network.Dial
		var err error
		r, err = load.Run(t.Context(), o)
		assert.NilError(t, err)
	})
	return r
}

// stallingHandler delays responses during seconds 10 and 11 of each minute until the
// end of that interval. Otherwise it responds at once.
type stallingHandler struct{ h http.Handler }

func (s stallingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if now := time.Now(); now.Second()%60 >= 10 && now.Second()%60 < 12 {
		time.Sleep(now.Truncate(time.Minute).Add(12 * time.Second).Sub(now))
	}
	s.h.ServeHTTP(w, r)
}

// Guards against coordinated omission: a stall of the target must show in the latency
// quantiles although only four requests can be in flight. The service time, measured
// from the send, is the negative control: it must not show the stall.
func TestStallIsNotOmitted(t *testing.T) {
	r := runOnVirtualTime(t, stallingHandler{bookingHandler}, load.Options{
		Rate: 100, Duration: 20 * time.Second, Arrivals: load.Constant, BookingShare: 1, MaxInFlight: 4, Seed: 1,
	})
	c := r.Classes["booking"]
	assert.Equal(t, r.Good, int64(2000))
	assert.Assert(t, c.Latency.P95 > 500 && c.Latency.Max > 1900, "%+v", c.Latency)
	assert.Assert(t, c.Service.P99 < 10, "the service time shows the stall too: %+v", c.Service)
}

var bookingHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) })

// Guards against runs of one seed that differ, against failures that are counted as
// good responses, and against callers that wait longer than they are willing to.
func TestReportCountsOutcomes(t *testing.T) {
	o := load.Options{Rate: 20, Duration: 30 * time.Second, StreamShare: 0.5, EngineVersion: "s1", Seed: 9}
	profiles := map[string]engine.Profile{"s1": {TokensPerSecond: 100, FirstToken: 50 * time.Millisecond, Quality: 1}}
	healthy := runOnVirtualTime(t, engine.New(engine.Options{Versions: profiles, Slots: 64}), o)
	assert.Equal(t, healthy.Good, healthy.Requests)
	assert.Assert(t, healthy.Requests > 500 && healthy.Requests < 700, "%d", healthy.Requests)
	c := healthy.Classes["default"]
	assert.Assert(t, c.Latency.P50 > 170 && c.Latency.P50 < 215, "%+v", c.Latency)
	assert.Assert(t, c.FirstToken.P50 > 15 && c.FirstToken.P50 < 65, "%+v", c.FirstToken)

	failing := engine.New(engine.Options{Versions: profiles, Slots: 64})
	failing.SetFaults(engine.Faults{ErrorRate: 0.5})
	r := runOnVirtualTime(t, failing, o)
	assert.Equal(t, r.Requests, healthy.Requests)
	assert.Assert(t, r.Errors["upstream_failed"] > 200 && r.Errors["upstream_failed"] < 400, "%v", r.Errors)

	slow := engine.New(engine.Options{Versions: profiles, Slots: 1})
	o.Classes = []workload.Class{{
		Name: "short", Share: 1, OutputTokens: workload.Lognormal{Median: 16}, DeadlineMs: workload.Lognormal{Median: 1000},
	}}
	r = runOnVirtualTime(t, slow, o)
	assert.Assert(t, r.Good < r.Requests/2 && r.Errors["caller_left"]+r.Errors["deadline_passed"] > 0, "%d of %d %v", r.Good, r.Requests, r.Errors)
}

// Guards against retries of a booking with another idempotency key, which a router
// cannot recognise as repeats.
func TestBookingRetriesKeepTheirKey(t *testing.T) {
	s := service.New()
	s.SetFaults(service.Faults{FailAfter: true})
	r := runOnVirtualTime(t, s, load.Options{
		Rate: 10, Duration: 10 * time.Second, BookingShare: 1, BookingPath: "/bookings", BookingRetries: 1, Seed: 2,
	})
	keys := map[string]int{}
	for _, e := range s.Executions() {
		keys[e.IdempotencyKey]++
	}
	assert.Equal(t, r.Resent, r.Requests)
	assert.Equal(t, int64(len(keys)), r.Requests)
	for key, n := range keys {
		assert.Equal(t, n, 2, key)
	}
}

// Guards against load that leaves the machine or exceeds the bounds of an option.
func TestOptionsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		option string
		modify func(*load.Options)
	}{
		{"url", func(o *load.Options) { o.URL = "http://192.0.2.1:80" }},
		{"url", func(o *load.Options) { o.URL = "http://127.0.0.1.example:80" }},
		{"rate", func(o *load.Options) { o.Rate = 0 }},
		{"rate", func(o *load.Options) { o.Rate = load.MaxRate + 1 }},
		{"duration in seconds", func(o *load.Options) { o.Duration = 2 * load.MaxDuration }},
		{"requests", func(o *load.Options) { o.Requests = load.MaxRequests + 1 }},
		{"stream share", func(o *load.Options) { o.StreamShare = 2 }},
		{"max in flight", func(o *load.Options) { o.MaxInFlight = -1 }},
		{"arrivals", func(o *load.Options) { o.Arrivals = "bursts" }},
	} {
		o := load.Options{URL: target, Rate: 1, Duration: time.Second}
		tc.modify(&o)
		_, err := load.Run(t.Context(), o)
		bad, ok := errors.AsType[*load.OptionError](err)
		assert.Assert(t, ok && bad.Option == tc.option, "%s: %v", tc.option, err)
	}
}
