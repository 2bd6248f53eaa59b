package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// A VM that knows no configuration yet must not call a route or key unknown.
func TestWithoutConfigurationRefuses(t *testing.T) {
	r := newSystem(t).call("/safe/x")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// Unknown routes and keys are told apart and reach no upstream.
func TestUnknownRouteAndKey(t *testing.T) {
	u := start(t, "u1", answer(200, "ok"))
	s := newSystem(t, of(u, "v1")).configure()
	assert.Equal(t, s.call("/other/x").status, http.StatusNotFound)
	assert.Equal(t, s.call("/safe/x", "Key: wrong").status, http.StatusUnauthorized)
	assert.Equal(t, len(u.seen()), 0)
	r := s.call("/safe/x?a=%2F")
	assert.Equal(t, r.body, "ok")
	got := u.seen()[0]
	assert.Equal(t, got.RequestURI, "/safe/x?a=%2F")
	assert.Equal(t, got.Header.Get("Organisation"), "org")
	assert.Equal(t, got.Header.Get("Key"), "")
	assert.Equal(t, got.Header.Get("Upstream"), "u1")
}

// A failure of one upstream is not the caller's when the request may be repeated.
func TestSafeRequestIsRepeated(t *testing.T) {
	bad, good := start(t, "a", answer(500, "bad")), start(t, "b", answer(200, "ok"))
	s := newSystem(t, of(bad, "v1"), of(good, "v1")).configure()
	for range 10 {
		assert.Equal(t, s.call("/safe/x").body, "ok")
	}
}

// A second call beside a slow one answers the request. Under the race detector
// this guards against a log line about a call that its goroutine already changes.
func TestSlowSafeRequestGetsASecondCall(t *testing.T) {
	var slow *upstream
	slow = start(t, "a", func(_ *http.Request, w io.Writer) bool { slow.hang(w); return false })
	good := start(t, "b", answer(200, "ok"))
	s := newSystem(t, of(slow, "v1"), of(good, "v1")).configure()
	// Calls at the other upstream make the slow one the choice.
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 4}}, time.Now())
	assert.Equal(t, s.call("/safe/x").body, "ok")
	assert.Equal(t, len(slow.seen()), 1)
}

// When every call fails, the caller gets the upstream's own failure, unchanged.
func TestFailureIsPassedOn(t *testing.T) {
	a, b := start(t, "a", answer(500, "bad")), start(t, "b", answer(500, "bad"))
	r := newSystem(t, of(a, "v1"), of(b, "v1")).configure().call("/safe/x")
	assert.Equal(t, r.status, 500)
	assert.Equal(t, r.body, "bad")
	assert.Equal(t, r.header.Get("Signature"), "s")
	assert.Equal(t, len(a.seen())+len(b.seen()), 2)
}

// The retry budget bounds repeats also while upstreams fail.
func TestRepeatsStayWithinBudget(t *testing.T) {
	a, b := start(t, "a", answer(500, "bad")), start(t, "b", answer(500, "bad"))
	s := newSystem(t, of(a, "v1"), of(b, "v1")).configure()
	s.budget.left = 3
	for range 10 {
		s.call("/safe/x")
	}
	assert.Equal(t, len(a.seen())+len(b.seen()), 13)
}

// A booking whose answer is lost may have run: it is not sent again, and the
// caller is not told that it did not run.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	closes := func(*http.Request, io.Writer) bool { return false }
	cut := func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
		return false
	}
	for name, do := range map[string]script{"closed": closes, "cut": cut} {
		t.Run(name, func(t *testing.T) {
			a, b := start(t, "a", do), start(t, "b", do)
			r := newSystem(t, of(a, "v1"), of(b, "v1")).configure().call("/unsafe/x")
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Equal(t, len(a.seen())+len(b.seen()), 1)
		})
	}
}

// A booking that an upstream refused without running it goes to another one; if
// all refuse, the caller learns that it was not run and when to come back.
func TestUnsafeRequestAfterRefusal(t *testing.T) {
	full := answer(503, "", "Not-Run: 1")
	a, b := start(t, "a", full), start(t, "b", answer(200, "booked"))
	s := newSystem(t, of(a, "v1"), of(b, "v1")).configure()
	for range 5 {
		assert.Equal(t, s.call("/unsafe/x").body, "booked")
	}
	c, d := start(t, "c", full), start(t, "d", answer(421, ""))
	r := newSystem(t, of(c, "v1"), of(d, "v1")).configure().call("/unsafe/x")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// The log of a refusal says what kept each upstream from the request; "no
// capacity" alone leaves the engineer without a cause.
func TestRefusalIsExplained(t *testing.T) {
	full := answer(503, "", "Not-Run: 1")
	a, b := start(t, "a", full), start(t, "b", full)
	leaving := of(b, "v1")
	leaving.Draining = true
	s := newSystem(t, of(a, "v1"), leaving).configure()
	assert.Equal(t, s.call("/unsafe/x").status, http.StatusServiceUnavailable)
	lines := s.lines.FilterMessage("no upstream").All()
	assert.Equal(t, len(lines), 1)
	fields := lines[0].ContextMap()
	for name, want := range map[string]int64{"registered": 2, "tried": 1, "leaving": 1, "unreachable": 0, "runs": 0} {
		assert.Equal(t, fields[name], want, name)
	}
	assert.Equal(t, fields["request"], "r1")
}

// A booking at an upstream that does not answer ends at the route's timeout
// with an answer that promises nothing.
func TestUnsafeRequestEndsAtTimeout(t *testing.T) {
	var u *upstream
	u = start(t, "a", func(r *http.Request, w io.Writer) bool { u.hang(w); return false })
	began := time.Now()
	r := newSystem(t, of(u, "v1")).configure().call("/slow/x")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < time.Second)
	<-u.gone
}

// Answers that belong to another request, or that carry no signature, never
// reach a caller as a success.
func TestForeignAnswersAreNotDelivered(t *testing.T) {
	foreign := func(r *http.Request, w io.Writer) bool {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")
		return true
	}
	unsigned := func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nother", r.Header.Get("Id"))
		return true
	}
	for name, do := range map[string]script{"foreign": foreign, "unsigned": unsigned} {
		t.Run(name, func(t *testing.T) {
			a := start(t, "a", do)
			r := newSystem(t, of(a, "v1")).configure().call("/unsafe/x")
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Assert(t, !strings.Contains(r.body, "other"))
		})
	}
}

// numbers returns the events of a stream by their IDs.
func numbers(body string) []string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// A stream that breaks, also within an event, goes on at another upstream without
// a gap and without a repeated event, under the first upstream's signature.
func TestStreamIsResumed(t *testing.T) {
	for name, rest := range map[string]string{"closed": "", "within an event": "c\r\nid: 4\ndata: h\r\n", "unframed": "garbage\r\n"} {
		t.Run(name, func(t *testing.T) {
			a := start(t, "a", events(3, rest))
			s := newSystem(t, of(a, "v1")).configure()
			b := start(t, "b", events(6, end))
			s.book.SetUpstreams([]placement.Upstream{of(a, "v1"), of(b, "v1")}, time.Now())
			// Load at the second upstream makes the first one the choice.
			s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1, PrefillSeconds: 1}}, time.Now())
			r := s.call("/stream/x", "Model: large")
			assert.Assert(t, r.whole)
			assert.DeepEqual(t, numbers(r.body), []string{"1", "2", "3", "4", "5", "6"})
			assert.Equal(t, r.header.Get("Signature"), "s-a")
			assert.Equal(t, b.seen()[0].Header.Get("Last"), "3")
			assert.Assert(t, !strings.Contains(r.body, "data: h"))
		})
	}
}

// A stream goes on at an upstream that failed it before when no other is left:
// a broken stream is lost to its caller, who still has time.
func TestStreamIsResumedWhereItBroke(t *testing.T) {
	var broke atomic.Bool
	a := start(t, "a", func(r *http.Request, w io.Writer) bool {
		if broke.CompareAndSwap(false, true) {
			return events(3, "")(r, w)
		}
		return events(6, end)(r, w)
	})
	gone := placement.Upstream{ID: "b", Service: "svc", Address: "127.0.0.1:1", Release: "v1", Slots: 4}
	s := newSystem(t, of(a, "v1"), gone).configure()
	// Load at the other upstream makes the first one the choice.
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1, PrefillSeconds: 1}}, time.Now())
	r := s.call("/stream/x", "Model: large")
	assert.Assert(t, r.whole)
	assert.DeepEqual(t, numbers(r.body), []string{"1", "2", "3", "4", "5", "6"})
	assert.Equal(t, len(a.seen()), 2)
}

// A stream that may not be resumed breaks visibly: it must not look complete.
func TestBrokenStreamLooksBroken(t *testing.T) {
	a, b := start(t, "a", events(3, "")), start(t, "b", events(3, ""))
	r := newSystem(t, of(a, "v1"), of(b, "v1")).configure().call("/once/x", "Model: large")
	assert.Assert(t, !r.whole)
	assert.Equal(t, len(a.seen())+len(b.seen()), 1)
}

// An answer of the small model with low confidence is dropped before the caller
// got a byte of it; a confident one is kept. The dropped call is cancelled.
func TestLowConfidenceIsDropped(t *testing.T) {
	model := func(confidence int) script {
		return func(r *http.Request, w io.Writer) bool {
			if r.Header.Get("Model") == "small" {
				return events(3, end, fmt.Sprintf("Confidence: %d", confidence))(r, w)
			}
			return events(3, end)(r, w)
		}
	}
	for confidence, want := range map[int]string{0: "large", 100: "small"} {
		a := start(t, "a", model(confidence))
		r := newSystem(t, of(a, "v1")).configure().call("/stream/x", "Model: any", "Tokens: 100")
		assert.Assert(t, r.whole)
		assert.Assert(t, strings.Contains(r.body, want+"-1") && strings.Count(r.body, "id: ") == 3, r.body)
	}
}

// sendAndLeave sends a request and closes the connection once it has reached
// the upstream.
func (s *system) sendAndLeave(u *upstream, path string) {
	s.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(s.t, err)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nModel: large\r\nContent-Length: 0\r\n\r\n", path)
	for len(u.seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(s.t, conn.Close())
}

// A booking that has begun is finished when its caller leaves: broken off, nobody
// would know how far it got.
func TestBookingOutlivesItsCaller(t *testing.T) {
	open := make(chan bool, 1)
	u := start(t, "a", func(r *http.Request, w io.Writer) bool {
		conn := w.(net.Conn)
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		open <- errors.As(err, &timeout) && timeout.Timeout()
		return false
	})
	s := newSystem(t, of(u, "v1")).configure()
	s.sendAndLeave(u, "/unsafe/x")
	assert.Assert(t, <-open, "the booking was broken off")
}

// When a caller leaves, the work at the upstream is cancelled at once.
func TestCallerLeaves(t *testing.T) {
	var u *upstream
	u = start(t, "a", func(r *http.Request, w io.Writer) bool {
		events(2, "")(r, w)
		u.hang(w)
		return false
	})
	s := newSystem(t, of(u, "v1")).configure()
	s.sendAndLeave(u, "/stream/x")
	select {
	case <-u.gone:
	case <-time.After(time.Second):
		t.Fatal("the upstream still works for a caller that has left")
	}
}

// A stopping VM serves what comes over kept connections, tells callers to close
// them, and refuses truthfully once the balancer has turned away.
func TestStopping(t *testing.T) {
	u := start(t, "a", answer(200, "ok"))
	s := newSystem(t, of(u, "v1")).configure()
	s.server.Stop(time.Now())
	r := s.call("/safe/x")
	assert.Equal(t, r.body, "ok")
	// A stream could be cut by the end of the grace period, a booking is short.
	s.server.Stop(time.Now().Add(-4 * time.Second))
	assert.Equal(t, s.call("/safe/x").body, "ok")
	r = s.call("/stream/x", "Model: large")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(u.seen()), 2)
	s.server.Stop(time.Now().Add(-10 * time.Second))
	r = s.call("/unsafe/x")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(u.seen()), 2)
}

// A request that a failing new release could not answer goes back to the old
// release, instead of using its attempts up at the new one.
func TestFailedNewReleaseRetreats(t *testing.T) {
	bad := answer(500, "bad")
	a, b, c := start(t, "a", bad), start(t, "b", bad), start(t, "c", answer(200, "ok"))
	s := newSystem(t, of(a, "v2"), of(b, "v2"), of(c, "v1")).configure()
	s.rollouts.SetOrder(rollout.Order{Service: "svc", Release: "v2", Duration: time.Hour, Revision: 1}, time.Now().Add(-45*time.Minute))
	for i := range 3 {
		assert.Equal(t, s.call("/safe/x", fmt.Sprintf("Session: s%d", i)).body, "ok")
	}
	assert.Assert(t, len(a.seen())+len(b.seen()) > 0)
}

// Callers that are refused together are told to return at different times.
func TestRefusedCallersReturnSpread(t *testing.T) {
	s := newSystem(t)
	times := map[string]bool{}
	for i := range 20 {
		r := s.call("/safe/x", fmt.Sprintf("Id: r%d", i))
		d, err := time.ParseDuration(r.header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, d > 100*time.Millisecond && d < time.Second, d)
		times[d.String()] = true
	}
	assert.Assert(t, len(times) > 15, "%v", times)
}
