package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
)

// breaking returns a script that streams the next event, begins another one and closes the
// connection.
func breaking() script {
	return func(r *http.Request, w io.Writer) bool {
		last := 0
		_, _ = fmt.Sscanf(r.Header.Get("Last"), "%d", &last)
		return events(last+1, "14\r\nid: 9\n")(r, w)
	}
}

// newTrio starts a system with three upstreams, which placement chooses in turn.
func newTrio(t *testing.T, scripts [3]script, releases [3]string) (s *system, all []*upstream) {
	t.Helper()
	var registrations []placement.Upstream
	for i, id := range []string{"a", "b", "c"} {
		all = append(all, startUpstream(t, id, scripts[i]))
		registrations = append(registrations, registration(all[i], releases[i]))
	}
	s = newSystem(t, registrations...).configure()
	s.book.SetPeer("p", map[string]placement.Load{"b": {Calls: 1, PrefillSeconds: 0.3}, "c": {Calls: 1, PrefillSeconds: 0.6}}, time.Now())
	return s, all
}

// isReserveLate reports whether a slow machine kept a case from arising: no call was
// replaced, or the last stream broke off when the replaced call had to be ended.
func (s *system) isReserveLate() bool {
	replaced := s.logs.FilterField(zap.String("event", "replaced")).All()
	broke := s.logs.FilterField(zap.String("event", "stream broke")).All()
	if len(replaced) == 0 || len(broke) == 0 {
		return true
	}
	overlap := replaced[0].ContextMap()["overlap"].(time.Duration)
	return overlap+broke[len(broke)-1].Time.Sub(replaced[0].Time) >= 300*time.Millisecond
}

// endsAfter returns a script that streams events, pauses and ends the stream.
func endsAfter(last int, pause time.Duration) script {
	return func(r *http.Request, w io.Writer) bool {
		events(last, "")(r, w)
		time.Sleep(pause)
		_, _ = io.WriteString(w, lastChunk)
		return true
	}
}

// late returns a script that answers with a header of its own and pauses before the first
// event.
func late(status int, contentType string) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nContent-Type: %s\r\n\r\n", status, r.Header.Get("Id"), contentType)
		time.Sleep(1750 * time.Millisecond)
		for i := 1; i <= 6; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		fmt.Fprint(w, lastChunk)
		return true
	}
}

// Guards against a stream that is lost although its paused upstream goes on, because its
// call was ended at the first event of a replacement that broke off, like the one after it;
// and against one that is continued by a call that does not belong to it.
func TestPausedCallIsEndedForReplacementsThatBreak(t *testing.T) {
	same, old := [3]string{"v1", "v1", "v1"}, "v1"
	hesitates := hesitating(1950*time.Millisecond, events(6, lastChunk))
	for name, c := range map[string]struct {
		scripts  [3]script
		releases [3]string
		received int
		complete bool
	}{
		"before the first event":        {[3]script{hesitates, breaking(), breaking()}, same, 6, true},
		"in the stream":                 {[3]script{pausing(2, 6, 1800*time.Millisecond), breaking(), breaking()}, same, 6, true},
		"others sent the last event":    {[3]script{pausing(2, 4, 1800*time.Millisecond), breaking(), breaking()}, same, 4, true},
		"others sent more events":       {[3]script{endsAfter(2, 1800*time.Millisecond), breaking(), breaking()}, same, 4, false},
		"in a continuation":             {[3]script{breaking(), hesitating(2250*time.Millisecond, events(4, lastChunk)), events(4, "14\r\nid: 9\n")}, same, 4, true},
		"others of another release":     {[3]script{hesitates, breaking(), breaking()}, [3]string{old, "v2", "v2"}, 2, false},
		"the last of another release":   {[3]script{hesitates, breaking(), breaking()}, [3]string{old, old, "v2"}, 2, false},
		"others of another kind":        {[3]script{late(201, "application/x"), breaking(), breaking()}, same, 2, false},
		"its upstream stays silent":     {[3]script{lostUpstreams()["within"], breaking(), breaking()}, same, 4, false},
		"it stays silent, one is sound": {[3]script{lostUpstreams()["within"], breaking(), events(6, lastChunk)}, same, 6, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *system
			var all []*upstream
			var r reply
			for try := 0; try < 3 && (try == 0 || s.isReserveLate()); try++ {
				s, all = newTrio(t, c.scripts, c.releases)
				r = s.call("/stream/x", "Model: large")
			}
			assert.Equal(t, r.complete, c.complete, "%q", r.body)
			var want []string
			for id := 1; id <= c.received; id++ {
				want = append(want, fmt.Sprint(id))
			}
			assert.DeepEqual(t, eventIDs(r.body), want)
			for _, u := range all {
				assert.Equal(t, len(u.received()), 1, u.id)
			}
			assert.Equal(t, len(s.book.Loads()), 0)
		})
	}
}

// Guards against a stream that stands still at a lost upstream, because its call is returned
// to although another one can be made.
func TestReturnToALostCallHoldsTheStream(t *testing.T) {
	t.Parallel()
	var a *upstream
	broke, asked := make(chan time.Time, 1), make(chan time.Time, 1)
	again := false
	s, a, _ := newPair(t, func(_ *http.Request, w io.Writer) bool {
		a.hang(w)
		return false
	}, func(r *http.Request, w io.Writer) bool {
		if again {
			asked <- time.Now()
			return events(6, lastChunk)(r, w)
		}
		again = true
		breaking()(r, w)
		broke <- time.Now()
		return false
	})
	r := s.call("/stream/x", "Model: large")
	assert.Assert(t, r.complete, "%q", r.body)
	gap := (<-asked).Sub(<-broke)
	assert.Assert(t, gap < time.Second, "%v", gap)
}

// Guards against two upstreams that work on a stream for longer than is allowed, because
// its client does not read.
func TestSlowClientKeepsAReplacedCall(t *testing.T) {
	t.Parallel()
	var a *upstream
	began, ended := make(chan time.Time, 1), make(chan time.Time, 1)
	s, a, _ := newPair(t, func(_ *http.Request, w io.Writer) bool {
		a.hang(w)
		ended <- time.Now()
		return false
	}, func(r *http.Request, w io.Writer) bool {
		began <- time.Now()
		return longEvents(r, w)
	})
	conn, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /twice/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nModel: large\r\nContent-Length: 0\r\n\r\n")
	overlap := (<-ended).Sub(<-began)
	assert.Assert(t, overlap < maxTwoCalls, "%v", overlap)
}
