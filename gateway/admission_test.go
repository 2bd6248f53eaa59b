package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/routing"
)

// metric returns the line of a metric of the gateway, empty if there is none.
func (s *system) metric(name string) string {
	var out bytes.Buffer
	s.metrics.Write(&out)
	for line := range strings.SplitSeq(out.String(), "\n") {
		if strings.HasPrefix(line, name) {
			return line
		}
	}
	return ""
}

// Guards against pauses of an upstream's stream that the placement does not learn of.
func TestPausesOfStreamsAreLearned(t *testing.T) {
	var s *system
	learned := make(chan float64, 1)
	u := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(w, "id: 1\ndata: x\n\n")
		for i := 2; i <= 3; i++ {
			time.Sleep(1500 * time.Millisecond)
			chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		// The gateway reads the last event in its own time.
		level := 0.0
		for until := time.Now().Add(time.Second); level <= 0.1 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			level = s.book.HighestPauseLevel()
		}
		learned <- level
		fmt.Fprint(w, lastChunk)
		return true
	})
	s = newSystem(t, registration(u, "v1")).configure()
	got := s.call("/twice/x", "Model: small")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, <-learned > 0.1)
	assert.Equal(t, s.metric("savoryshift_late_pauses_total"), `savoryshift_late_pauses_total{route="twice"} 2`)
}

// Load answered: engines whose queues are longer than clients wait. Guards against requests
// that wait in vain, against refusals of requests that may have run or while an engine has
// room, and against clients that are told to return all at once or later than they wait.
func TestRequestsAreRefusedByPrediction(t *testing.T) {
	const patience = 3 * time.Second
	full := placement.Load{Calls: 4, PrefillSeconds: 20}
	for name, c := range map[string]struct {
		loads   map[string]placement.Load
		last    string
		refused bool
	}{
		"all engines are full":           {map[string]placement.Load{"a": full, "b": full}, "", true},
		"one has room":                   {map[string]placement.Load{"a": full, "b": {Calls: 3, PrefillSeconds: 20}}, "", false},
		"one is soon done":               {map[string]placement.Load{"a": full, "b": {Calls: 4, PrefillSeconds: 0.5}}, "", false},
		"the stream has begun elsewhere": {map[string]placement.Load{"a": full, "b": full}, "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := startUpstream(t, "a", events(3, lastChunk)), startUpstream(t, "b", events(3, lastChunk))
			s := newSystem(t, registration(a, "v1"), registration(b, "v1")).configure()
			s.book.SetPeer("p", c.loads, time.Now())
			delays := map[string]bool{}
			for i := range 5 {
				begun := time.Now()
				got := s.call("/stream/x", "Model: small", fmt.Sprint("Id: r", i), "Tokens: 500", "Patience: 3000", "Last: "+c.last)
				if !c.refused {
					assert.Equal(t, got.status, http.StatusOK)
					continue
				}
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, time.Since(begun) < time.Second)
				after, err := time.ParseDuration(got.header.Get("Retry-After"))
				assert.NilError(t, err)
				assert.Assert(t, after > 0 && after <= patience/3, "%v", after)
				delays[got.header.Get("Retry-After")] = true
			}
			if !c.refused {
				return
			}
			assert.Equal(t, len(a.received())+len(b.received()), 0)
			assert.Assert(t, len(delays) >= 4, "%v", delays)
			assert.Equal(t, s.metric("savoryshift_refused_by_prediction_total"), `savoryshift_refused_by_prediction_total{route="stream"} 5`)
			assert.Equal(t, s.logs.FilterMessage("refused by prediction").Len(), 5)
		})
	}
}

// Load answered: one organisation uses most of the engines while these are saturated. Guards
// against its calls that are served before those of others, and against an effect without
// saturation or by the use that only this VM knows.
func TestOrganisationsOverTheirPartAreServedLater(t *testing.T) {
	a := startUpstream(t, "a", events(3, lastChunk))
	s := newSystem(t, registration(a, "v1"))
	fairness := admission.NewFairness()
	s.restart(gateway.Options{Fairness: fairness}).configure()
	now := time.Now()
	for i, c := range []struct {
		calls    int
		use      float64
		priority string
	}{{3, 10, "2"}, {8, 10, "3"}, {8, 0.5, "2"}} {
		s.book.SetPeer("p", map[string]placement.Load{"a": {Calls: c.calls}}, time.Now())
		other, greedy := admission.NewFairness(), admission.NewFairness()
		other.Charge("other", 2, now)
		other.Serve("other", 2, now)
		greedy.Charge("org", c.use, now)
		greedy.Serve("org", c.use/2, now)
		fairness.SetPeer("p", admission.SumReports(other.Report(now), greedy.Report(now)), time.Now())
		assert.Equal(t, s.call("/stream/x", "Model: small", fmt.Sprint("Id: r", i), "Tokens: 500").status, http.StatusOK)
		received := a.received()
		assert.Equal(t, received[len(received)-1].Header.Get("Engine-Priority"), c.priority, "%+v", c)
	}
	assert.Equal(t, s.logs.FilterMessage("over fair part").Len(), 1)
	assert.Equal(t, s.metric("savoryshift_over_fair_part_total"), `savoryshift_over_fair_part_total{route="stream"} 1`)
	report := fairness.Report(time.Now())
	assert.Assert(t, len(report.Uses) == 1 && report.Uses[0].Ms > 0 && report.ServedMs > 0, "%+v", report)
}

// Guards against prompts that are sent to engines which can never hold them, and which
// reject them as if they were full, so that the client returns in vain.
func TestPromptLargerThanTheMemoryIsRefused(t *testing.T) {
	a := startUpstream(t, "a", events(3, lastChunk))
	s := newSystem(t, registration(a, "v1")).configure()
	to := []routing.Destination{{Service: "svc", Weight: 1}}
	c, err := routing.Compile(routing.Configuration{
		Services: []routing.Service{{Name: "svc", KVTokens: 1000, Models: []routing.Model{{Name: "small"}}}},
		Routes:   []routing.Route{{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, MaxAttempts: 2, Models: []string{"small"}, Destinations: to, Resumable: true}},
	})
	assert.NilError(t, err)
	s.server.SetState(&gateway.State{Snapshot: c})
	got := s.call("/stream/x", "Model: small", "Tokens: 1000")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get("Retry-After"), "")
	assert.Equal(t, len(a.received()), 0)
	assert.Equal(t, s.logs.FilterMessage("exceeds memory").Len(), 1)
	assert.Equal(t, s.call("/stream/x", "Model: small", "Tokens: 999").status, http.StatusOK)
	assert.Equal(t, s.call("/stream/x", "Model: small", "Tokens: 1000", "Last: 1").status, http.StatusOK)
}
