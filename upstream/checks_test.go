package upstream_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/upstream"
	"github.com/savoryshift/savoryshift/upstream/upstreamtest"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		if err := seed.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// cannedResponse answers every call with the ids of the call and a fixed body.
// A header name with a leading plus sign adds a value instead of setting it.
func cannedResponse(contentType, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
			w.Header().Set(name, r.Header.Get(name))
		}
		w.Header().Set("Content-Type", contentType)
		for i := 0; i+1 < len(header); i += 2 {
			if name, ok := strings.CutPrefix(header[i], "+"); ok {
				w.Header().Add(name, header[i+1])
				continue
			}
			w.Header().Set(header[i], header[i+1])
		}
		_, _ = io.WriteString(w, body)
	}
}

const (
	endOne    = "event: end\ndata: {\"parts\":1,\"completion_tokens\":1}\n\ndata: [DONE]\n\n"
	goodWhole = `{"model":"small","choices":[{"message":{"role":"assistant"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
)

var smallLimits = upstream.Options{MaxResponseBytes: 1 << 10, MaxPartBytes: 64, MaxLineBytes: 128, MaxHeaderBytes: 4 << 10}

// Guards against malformed responses that are accepted and so reach a caller as
// if they were complete.
func TestMalformedAnswersAreRejected(t *testing.T) {
	const invalid, failed = errkind.UpstreamInvalidAnswer, errkind.UpstreamFailed
	long := strings.Repeat("x", 2<<10)
	for _, tc := range []struct {
		name, body string
		kind       errkind.Kind // empty: accepted
		parts      int
	}{
		{"good", "id: 1\ndata: {}\n\n" + endOne, "", 1},
		{"comments and CRLF", ": hi\r\n\r\nid: 1\r\ndata: {}\r\n\r\n" + endOne, "", 1},
		{"duplicate part", "id: 1\ndata: {}\n\nid: 1\ndata: {}\n\n" + endOne, "", 1},
		{"out of order", "id: 2\ndata: {}\n\nid: 1\ndata: {}\n\n" + strings.Replace(endOne, ":1", ":2", 1), "", 2},
		{"gap", "id: 2\ndata: {}\n\n" + endOne, invalid, 0},
		{"too many ahead", partEvents(2, 40), invalid, 0},
		{"wrong count", "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\n" + endOne, invalid, 2},
		{"no number", "data: {}\n\n" + endOne, invalid, 0},
		{"number zero", "id: 0\ndata: {}\n\n" + endOne, invalid, 0},
		{"number overflow", "id: 99999999999999999999\ndata: {}\n\n" + endOne, invalid, 0},
		{"no end event", "id: 1\ndata: {}\n\ndata: [DONE]\n\n", invalid, 1},
		{"end without count", "id: 1\ndata: {}\n\nevent: end\ndata: {}\n\ndata: [DONE]\n\n", invalid, 1},
		{"part after end", endOne[:len(endOne)-len("data: [DONE]\n\n")] + "id: 1\ndata: {}\n\n", invalid, 0},
		{"unknown event", "event: other\ndata: {}\n\n" + endOne, invalid, 0},
		{"unknown field", "broken line\n\n" + endOne, invalid, 0},
		{"error in the stream", "id: 1\ndata: {}\n\nid: 2\ndata: {\"error\":{\"message\":\"oom\"}}\n\n" + endOne, failed, 1},
		{"parts after a gap", "id: 1\ndata: {}\n\nid: 3\ndata: {}\n\n" + endOne, invalid, 1},
		{"error with a space", "id: 1\ndata: {}\n\nid: 2\ndata: { \"error\": {\"message\":\"oom\"}}\n\n" + endOne, failed, 1},
		{"error after other members", "id: 1\ndata: {}\n\nid: 2\ndata: {\"object\":\"error\",\"error\":\"oom\"}\n\n" + endOne, failed, 1},
		{"no error", "id: 1\ndata: {\"error\":null,\"choices\":[{\"delta\":{\"content\":\"error\"}}]}\n\n" + endOne, "", 1},
		{"part not JSON", "id: 1\ndata: {\n\n" + endOne, invalid, 0},
		{"invalid UTF-8", "id: 1\ndata: \"\xff\"\n\n" + endOne, invalid, 0},
		{"long line", "id: 1\ndata: \"" + long + "\"\n\n" + endOne, invalid, 0},
		{"long part", "id: 1\n" + strings.Repeat("data: 111111111111111111\n", 5) + "\n" + endOne, invalid, 0},
		{"cut before the end", "id: 1\ndata: {}\n\n", failed, 1},
		{"cut in the end event", "id: 1\ndata: {}\n\nevent: end\ndata: {\"parts\":1}\n", failed, 1},
		{"empty", "", failed, 0},
	} {
		t.Run("stream/"+tc.name, func(t *testing.T) {
			url := serve(t, cannedResponse("text/event-stream", tc.body))
			res, err := newClient(t, smallLimits).Stream(bounded(t), call(url, streamBody), 0, func(upstream.Part) error { return nil })
			checkKind(t, err, tc.kind)
			assert.Equal(t, res.Parts, tc.parts)
		})
	}
	for _, tc := range []struct {
		name, body string
		header     []string
		kind       errkind.Kind
	}{
		{"good", goodWhole, nil, ""},
		{"wrong request id", goodWhole, []string{upstream.HeaderRequestID, "r2"}, invalid},
		{"answer of a late attempt", goodWhole, []string{upstream.HeaderAttemptID, "a0"}, invalid},
		{"wrong version", goodWhole, []string{upstream.HeaderVersion, "s2"}, invalid},
		{"two attempt ids", goodWhole, []string{"+" + upstream.HeaderAttemptID, "a0"}, invalid},
		{"no choices", `{"choices":[],"usage":{}}`, nil, invalid},
		{"not finished", strings.Replace(goodWhole, `"stop"`, `null`, 1), nil, invalid},
		{"no usage", strings.Replace(goodWhole, "usage", "other", 1), nil, invalid},
		{"not JSON", "!" + goodWhole, nil, invalid},
		{"two documents", goodWhole + goodWhole, nil, invalid},
		{"invalid UTF-8", strings.Replace(goodWhole, "small", "\xff", 1), nil, invalid},
		{"too long", strings.Replace(goodWhole, "small", long, 1), nil, invalid},
		{"long header", goodWhole, []string{"X-Long", strings.Repeat("x", 5<<10)}, invalid},
		{"cut", goodWhole, []string{"Content-Length", "900"}, failed},
	} {
		t.Run("whole/"+tc.name, func(t *testing.T) {
			url := serve(t, cannedResponse("application/json", tc.body, tc.header...))
			_, err := newClient(t, smallLimits).Complete(bounded(t), call(url, wholeBody))
			checkKind(t, err, tc.kind)
		})
	}
}

func checkKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if kind == "" {
		assert.NilError(t, err)
		return
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, errkind.Of(err), kind, "%v", err)
	assert.Assert(t, errkind.RanOf(err) != errkind.RanNo, "%v", err)
	if kind == errkind.UpstreamInvalidAnswer {
		assert.Equal(t, errkind.RanOf(err), errkind.RanYes, "%v", err)
	}
}

func partEvents(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: {}\n\n", n)
	}
	return b.String()
}

// Guards against a refusal with the ids of another attempt that is taken as
// "not run".
func TestRefusalNeedsTheIdsOfTheAttempt(t *testing.T) {
	for attempt, ran := range map[string]errkind.Ran{"a1": errkind.RanNo, "a0": errkind.RanUnknown} {
		url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, "r1")
			w.Header().Set(upstream.HeaderAttemptID, attempt)
			w.Header().Set(upstream.HeaderRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := newClient(t, upstream.Options{}).Complete(bounded(t), call(url, wholeBody))
		assert.Equal(t, errkind.RanOf(err), ran, "attempt %s: %v", attempt, err)
	}
}

// Guards against calls whose response cannot be attributed, because an id is
// missing, and against URLs with another scheme or host: a path without a
// leading slash would change the host.
func TestUncheckableCallsAreNotSent(t *testing.T) {
	url, c := serve(t, cannedResponse("application/json", goodWhole)), newClient(t, upstream.Options{})
	for name, change := range map[string]func(*upstream.Call){
		"request id": func(c *upstream.Call) { c.RequestID = "" },
		"attempt id": func(c *upstream.Call) { c.AttemptID = "" },
		"version":    func(c *upstream.Call) { c.Version = "" },
		"URL":        func(c *upstream.Call) { c.URL = "https://127.0.0.1:1" },
	} {
		bad := call(url, wholeBody)
		change(&bad)
		_, err := c.Complete(bounded(t), bad)
		assert.Equal(t, errkind.Of(err), errkind.BadRequest, "%s: %v", name, err)
		assert.Equal(t, errkind.RanOf(err), errkind.RanNo, name)
	}
	_, err := c.Forward(bounded(t), upstream.ServiceCall{URL: url, Method: http.MethodGet, Path: "@127.0.0.1:1/"})
	assert.Equal(t, errkind.Of(err), errkind.BadRequest, "%v", err)
}

// Guards against a response to HEAD that is rejected because of its
// Content-Length, which is the length of a body that is not sent.
func TestHeadOfALongAnswer(t *testing.T) {
	url := serve(t, cannedResponse("text/plain", "", "Content-Length", "99999"))
	res, err := newClient(t, smallLimits).Forward(bounded(t), upstream.ServiceCall{URL: url, Method: http.MethodHead, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, res.Status, http.StatusOK)
}

// Guards against callers that disconnect, short deadlines and errors of a
// version that count against the health of an engine.
func TestUnreachableIsToldFromOtherErrors(t *testing.T) {
	slow := engine.Profile{TokensPerSecond: 1, Quality: 1}
	for name, tc := range map[string]struct {
		faults      engine.Faults
		address     string
		deadline    time.Duration
		leaves      time.Duration
		unreachable bool
	}{
		"healthy":          {address: "engine:80"},
		"no listener":      {address: "none:80", unreachable: true},
		"cut":              {address: "engine:80", faults: engine.Faults{CutAfterPart: 2}, unreachable: true},
		"engine error":     {address: "engine:80", faults: engine.Faults{ErrorRate: 1}},
		"malformed":        {address: "engine:80", faults: engine.Faults{Malformed: true}},
		"leaving":          {address: "engine:80", faults: engine.Faults{Leaving: true}},
		"deadline":         {address: "engine:80", deadline: 2 * time.Second},
		"caller leaves":    {address: "engine:80", leaves: 2 * time.Second},
		"stalls":           {address: "engine:80", faults: engine.Faults{Slow: 30}, unreachable: true},
		"answers an error": {address: "failing:80"},
	} {
		synctest.Test(t, func(t *testing.T) {
			network, e := upstreamtest.New(), engine.New(engine.Options{Fallback: &slow})
			network.Serve(t, "engine:80", e)
			network.Serve(t, "failing:80", http.NotFoundHandler())
			e.SetFaults(tc.faults)
			c, one := newClient(t, upstream.Options{Dial: network.Dial}), call("http://"+tc.address, streamBody)
			if tc.deadline > 0 {
				one.Deadline = time.Now().Add(tc.deadline)
			}
			ctx, leave := context.WithCancel(t.Context())
			if tc.leaves > 0 {
				time.AfterFunc(tc.leaves, leave)
			}
			_, err := c.Stream(ctx, one, 0, func(upstream.Part) error { return nil })
			leave()
			assert.Equal(t, err == nil, name == "healthy", "%s: %v", name, err)
			assert.Equal(t, upstream.IsUnreachable(err), tc.unreachable, "%s: %v", name, err)
			assert.Equal(t, upstream.IsLeaving(err), tc.faults.Leaving, name)
			assert.Equal(t, c.CheckReachable(t.Context(), "http://"+tc.address) == nil, tc.address != "none:80", name)
		})
	}
}

// Guards against a load report of a frozen engine that blocks its caller
// indefinitely.
func TestAdminCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, e := upstreamtest.New(), engine.New(engine.Options{})
		c, url := newClient(t, upstream.Options{Dial: network.Dial}), network.Serve(t, "engine:80", e)
		e.SetFaults(engine.Faults{Frozen: true})
		start := time.Now()
		_, err := c.Load(bounded(t), url)
		assert.Equal(t, errkind.Of(err), errkind.UpstreamTimeout)
		assert.Equal(t, time.Since(start), upstream.AdminTimeout)
		e.SetFaults(engine.Faults{})
	})
}

// Guards against a stream that stalls and ends only at its deadline instead of
// the idle timeout. A stream that never starts must end at the deadline.
func TestStalledStreamTimesOut(t *testing.T) {
	for _, tc := range []struct {
		name   string
		freeze time.Duration
		want   time.Duration
		parts  int
	}{
		{"stalls after parts", 3500 * time.Millisecond, 13 * time.Second, 3},
		{"never starts", 0, 30 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := upstreamtest.New()
				e := engine.New(engine.Options{Fallback: &engine.Profile{TokensPerSecond: 1, Quality: 1}})
				c := newClient(t, upstream.Options{Dial: network.Dial})
				stalled := call(network.Serve(t, "engine:80", e), streamBody)
				stalled.Deadline = time.Now().Add(30 * time.Second)
				time.AfterFunc(tc.freeze, func() { e.SetFaults(engine.Faults{Frozen: true}) })
				synctest.Wait()
				start := time.Now()
				res, err := c.Stream(bounded(t), stalled, 0, func(upstream.Part) error { return nil })
				assert.Equal(t, errkind.Of(err), errkind.UpstreamTimeout, "%v", err)
				assert.Equal(t, time.Since(start), tc.want)
				assert.Equal(t, res.Parts, tc.parts)
				e.SetFaults(engine.Faults{})
			})
		})
	}
}

// scriptedStream is the order in which one upstream sends the parts of a
// response. If cut is set, the connection ends without an end event.
type scriptedStream struct {
	order []int
	cut   bool
}

func (s scriptedStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b strings.Builder
	for _, n := range s.order {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	if !s.cut {
		fmt.Fprintf(&b, "event: end\ndata: {\"parts\":%d,\"completion_tokens\":1}\n\ndata: [DONE]\n\n", scriptParts)
	}
	cannedResponse("text/event-stream", b.String())(w, r)
}

const scriptParts = 12

// drawScript draws a stream of parts 1 to scriptParts with duplicates and
// swaps. Unless last is set, the stream is cut after a random number of parts.
func drawScript(t *rapid.T, last bool) scriptedStream {
	n := scriptParts
	if !last {
		n = rapid.IntRange(0, scriptParts).Draw(t, "sent")
	}
	var order []int
	for i := 1; i <= n; i++ {
		for range rapid.IntRange(1, 2).Draw(t, "copies") {
			order = append(order, i)
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "swaps") {
		if len(order) > 1 {
			i := rapid.IntRange(0, len(order)-2).Draw(t, "swap")
			order[i], order[i+1] = order[i+1], order[i]
		}
	}
	return scriptedStream{order: order, cut: !last}
}

// Guards against a caller that receives parts twice, out of order or not at all
// when streams are reordered, duplicated or cut, and a cut stream is resumed on
// another upstream after the last delivered part.
func TestResumedStreamIsWholeAndInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		got, err := streamAndResume(t, rt, func(r upstream.Result) int { return r.Parts })
		assert.NilError(rt, err)
		assert.DeepEqual(rt, got, allParts())
	})
}

// Negative control: a cut stream is resumed from the beginning, without the
// number of the last delivered part. The check must find that parts are repeated.
func TestResumedStreamWithoutPartNumbers(t *testing.T) {
	broken := false
	rapid.Check(t, func(rt *rapid.T) {
		got, err := streamAndResume(t, rt, func(upstream.Result) int { return 0 })
		broken = broken || err != nil || len(got) != scriptParts
	})
	assert.Assert(t, broken, "the check cannot fail")
}

func allParts() []string {
	var want []string
	for n := 1; n <= scriptParts; n++ {
		want = append(want, fmt.Sprint(n))
	}
	return want
}

// streamAndResume streams from up to three upstreams in turn. After a cut it
// resumes after the part number that resume returns.
func streamAndResume(t *testing.T, rt *rapid.T, resume func(upstream.Result) int) ([]string, error) {
	network := upstreamtest.New()
	c := upstream.New(upstream.Options{Dial: network.Dial})
	defer c.Close()
	var got []string
	from, upstreams := 0, rapid.IntRange(1, 3).Draw(rt, "upstreams")
	for i := range upstreams {
		url := network.Serve(t, fmt.Sprintf("engine-%d:80", i), drawScript(rt, i == upstreams-1))
		res, err := c.Stream(bounded(t), call(url, streamBody), from, func(p upstream.Part) error {
			got = append(got, string(p.Data))
			return nil
		})
		if err == nil || errkind.Of(err) == errkind.UpstreamInvalidAnswer {
			return got, err
		}
		from = resume(res)
	}
	return got, nil
}

// Guards against an engine that is preferred for good because of an impossible load
// report: counts whose sum overflows, or an age that dates the report in the future.
func TestImpossibleLoadReportsAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		ok   bool
	}{
		"good":              {`{"slots":8,"running":3,"queued":1,"age_ms":200}`, true},
		"negative":          {`{"slots":8,"running":-1}`, false},
		"sum overflows":     {`{"running":9223372036854775807,"queued":9223372036854775807}`, false},
		"age overflows":     {`{"age_ms":9300000000000}`, false},
		"number too large":  {`{"running":1e40}`, false},
		"number with parts": {`{"running":1.5}`, false},
		"text":              {`{"running":"none"}`, false},
		"deeply nested":     {`{"running":1,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`, false},
	} {
		url := serve(t, cannedResponse("application/json", tc.body))
		report, err := newClient(t, upstream.Options{}).Load(bounded(t), url)
		assert.Check(t, (err == nil) == tc.ok, "%s: %+v %v", name, report, err)
	}
}

// Guards against a cache event that is dated in the future, and so is believed for
// good, because its age overflows.
func TestImpossibleCacheEventsAreRejected(t *testing.T) {
	for body, ok := range map[string]bool{
		`{"events":[{"seq":1,"kind":"stored","age_ms":5}],"last":1}`:             true,
		`{"events":[{"seq":1,"kind":"stored","age_ms":9300000000000}],"last":1}`: false,
		`{"events":[{"seq":1,"kind":"stored","age_ms":-1}],"last":1}`:            false,
	} {
		url := serve(t, cannedResponse("application/json", body))
		_, err := newClient(t, upstream.Options{}).CacheEvents(bounded(t), url, 0)
		assert.Check(t, (err == nil) == ok, "%s: %v", body, err)
	}
}
