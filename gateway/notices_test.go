package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// kindsOfRoute lists a path for each kind of route.
var kindsOfRoute = []string{"/safe/x", "/unsafe/x", "/stream/x"}

// kindsOfAnswer lists, for each kind of answer, a script that adds header lines to it.
var kindsOfAnswer = map[string]func(header ...string) script{
	"whole":  func(header ...string) script { return answer(http.StatusOK, "ok", header...) },
	"stream": func(header ...string) script { return events(3, lastChunk, header...) },
	"refusal": func(header ...string) script {
		return answer(http.StatusServiceUnavailable, "", append(header, "Not-Run: 1")...)
	},
	"failure": func(header ...string) script {
		return answer(http.StatusInternalServerError, "bad", header...)
	},
}

// newPreferred starts a system with two upstreams, of which placement chooses the first
// one even after it has failed. A request at the second one is still in time, so that it is
// not refused by prediction.
func newPreferred(t *testing.T, first, second script) (s *system, a, b *upstream) {
	t.Helper()
	s, a, b = newPair(t, first, second)
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1000, PrefillSeconds: 2}}, time.Now())
	return s, a, b
}

// Guards against requests that reach an upstream after one of its answers has said that
// it leaves, while its registration is still ready.
func TestUpstreamThatSaysItLeavesGetsNothing(t *testing.T) {
	for kind, with := range kindsOfAnswer {
		for _, path := range kindsOfRoute {
			t.Run(kind+path, func(t *testing.T) {
				s, a, b := newPreferred(t, with("Leaving: 1"), events(3, lastChunk))
				s.call(path, "Model: large")
				assert.Equal(t, len(a.received()), 1)
				before := len(b.received())
				for _, next := range kindsOfRoute {
					assert.Equal(t, s.call(next, "Model: large").status, http.StatusOK)
				}
				assert.Equal(t, len(a.received()), 1)
				assert.Equal(t, len(b.received()), before+len(kindsOfRoute))
			})
		}
	}
}

// Guards against requests that wait, or go to a leaving upstream as a last resort, when
// there is no other one.
func TestOnlyUpstreamLeaves(t *testing.T) {
	a := startUpstream(t, "a", answer(http.StatusOK, "ok", "Leaving: 1"))
	s := newSystem(t, registration(a, "v1")).configure()
	assert.Equal(t, s.call("/safe/x").body, "ok")
	for _, path := range kindsOfRoute {
		began := time.Now()
		r := s.call(path, "Model: large")
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	}
	assert.Equal(t, len(a.received()), 1)
	fields := s.logs.FilterMessage("no upstream").All()[0].ContextMap()
	assert.Equal(t, fields["leaving"], int64(1))
	assert.Equal(t, s.logs.FilterMessage("upstream leaving").Len(), 1)
}

// Guards against answers of another instance, or to another request, that keep calls
// from the upstream that is registered.
func TestNoticesOfOthersAreIgnored(t *testing.T) {
	foreign := func(header string) script {
		return func(_ *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n", header)
			return false
		}
	}
	for _, header := range []string{"Leaving: 1", "Retry-After: 5s"} {
		for name, first := range map[string]script{"misdirected": answer(http.StatusMisdirectedRequest, "", header), "foreign": foreign(header)} {
			t.Run(name+" "+header, func(t *testing.T) {
				var later atomic.Bool
				a := startUpstream(t, "a", func(r *http.Request, w io.Writer) bool {
					if later.CompareAndSwap(false, true) {
						return first(r, w)
					}
					return answer(http.StatusOK, "ok")(r, w)
				})
				s := newSystem(t, registration(a, "v1")).configure()
				s.call("/unsafe/x")
				assert.Equal(t, s.call("/safe/x").body, "ok")
			})
		}
	}
}

// refusingOnce returns a script that refuses the first request with a pause and answers
// the others. It sends the time from the refusal to each of them.
func refusingOnce(pause time.Duration, later chan<- time.Duration) script {
	var refused atomic.Pointer[time.Time]
	return func(r *http.Request, w io.Writer) bool {
		now := time.Now()
		if refused.CompareAndSwap(nil, &now) {
			return answer(http.StatusServiceUnavailable, "", "Not-Run: 1", "Retry-After: "+pause.String())(r, w)
		}
		later <- now.Sub(*refused.Load())
		return events(3, lastChunk)(r, w)
	}
}

// Guards against requests that reach an upstream before the end of the pause that it
// asked for, and against one that gets none after it.
func TestPausedUpstreamGetsNothingUntilTheEnd(t *testing.T) {
	const pause = 600 * time.Millisecond
	for _, path := range kindsOfRoute {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			later := make(chan time.Duration, 1000)
			s, _, b := newPreferred(t, refusingOnce(pause, later), events(3, lastChunk))
			began := time.Now()
			assert.Equal(t, s.call(path, "Model: large").status, http.StatusOK)
			for time.Since(began) < pause {
				assert.Equal(t, s.call(path, "Model: large").status, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			assert.Assert(t, len(b.received()) > 1)
			time.Sleep(time.Until(began.Add(pause + 100*time.Millisecond)))
			assert.Equal(t, s.call(path, "Model: large").status, http.StatusOK)
			select {
			case first := <-later:
				assert.Assert(t, first >= pause, "a request came %v after the refusal", first)
			default:
				t.Error("no request came after the pause")
			}
			assert.Equal(t, s.logs.FilterMessage("upstream paused").Len(), 1)
		})
	}
}

// retryAfter returns the time after which a refused client is told to retry.
func retryAfter(t *testing.T, r reply) time.Duration {
	t.Helper()
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	after, err := time.ParseDuration(r.header.Get("Retry-After"))
	assert.NilError(t, err)
	return after
}

// Guards against clients that are told to return before the pause of the only upstream
// ends, and against refusals that are held back.
func TestRefusalNamesTheEndOfThePause(t *testing.T) {
	const pause = 3 * time.Second
	a := startUpstream(t, "a", refusingOnce(pause, make(chan time.Duration, 1000)))
	s := newSystem(t, registration(a, "v1")).configure()
	began := time.Now()
	for _, path := range append([]string{"/unsafe/x"}, kindsOfRoute...) {
		asked := time.Now()
		after := retryAfter(t, s.call(path, "Model: large", "Patience: 30000"))
		assert.Assert(t, time.Since(asked) < 200*time.Millisecond)
		assert.Assert(t, !time.Now().Add(after).Before(began.Add(pause)), "%v", after)
	}
	assert.Equal(t, len(a.received()), 1)
	fields := s.logs.FilterMessage("no upstream").All()[1].ContextMap()
	assert.Equal(t, fields["paused"], int64(1))
}

// Guards against a request that is refused because of a pause although another upstream
// may take it soon, and is told to return only when that pause ends.
func TestRefusalDoesNotWaitForOnePauseOfSeveral(t *testing.T) {
	a := startUpstream(t, "a", refusingOnce(20*time.Second, make(chan time.Duration, 1000)))
	gone := placement.Upstream{ID: "b", Service: "svc", Address: "127.0.0.1:1", Release: "v1", Slots: 4}
	s := newSystem(t, registration(a, "v1"), gone).configure()
	assert.Assert(t, retryAfter(t, s.call("/unsafe/x", "Patience: 90000")) < time.Second)
}

// Guards against a pause of the whole upstream because of a Retry-After that is about one
// client or resource, and against a failure whose Retry-After is ignored.
func TestOnlyServerErrorsAskForAPause(t *testing.T) {
	for _, c := range []struct {
		status int
		header string
		pauses bool
	}{
		{http.StatusOK, "X: y", false},
		{http.StatusAccepted, "X: y", false},
		{http.StatusNotFound, "X: y", false},
		{http.StatusTooManyRequests, "Not-Run: 1", false},
		{http.StatusInternalServerError, "X: y", true},
		{http.StatusServiceUnavailable, "X: y", true},
		{http.StatusServiceUnavailable, "Not-Run: 1", true},
	} {
		for _, path := range kindsOfRoute {
			t.Run(fmt.Sprintf("%d %s%s", c.status, c.header, path), func(t *testing.T) {
				a := startUpstream(t, "a", answer(c.status, "", "Retry-After: 5s", c.header))
				s := newSystem(t, registration(a, "v1")).configure()
				s.call(path, "Model: large")
				s.call(path, "Model: large")
				want := 2
				if c.pauses {
					want = 1
				}
				assert.Equal(t, len(a.received()), want)
			})
		}
	}
}
