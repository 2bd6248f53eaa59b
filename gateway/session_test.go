package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// Guards against a session that changes its release in the first half of a rollout
// because its last request took longer than the time after which a session is idle.
func TestSessionChangesItsReleaseAfterALongStream(t *testing.T) {
	const pause = 400 * time.Millisecond // three pauses exceed SessionIdle of the system
	old := startUpstream(t, "old", func(r *http.Request, w io.Writer) bool {
		events(1, "")(r, w)
		for i := 2; i <= 4; i++ {
			time.Sleep(pause)
			chunk(w, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		fmt.Fprint(w, lastChunk)
		return true
	})
	next := startUpstream(t, "new", events(4, lastChunk))
	s := newSystem(t, registration(old, "v1")).configure()
	order := rollout.Order{Service: "svc", Release: "v2", Duration: time.Hour, Revision: 1}
	session := ""
	for i := 0; session == ""; i++ {
		m := rollout.New(rollout.Options{SessionIdle: time.Second, Log: zap.NewNop()})
		m.SetReleases("svc", map[string]int{"v1": 1, "v2": 1})
		m.SetOrder(order, time.Now())
		if name := fmt.Sprint("s", i); m.Allow("svc", name, time.Now()).Prefer("v2") {
			session = name
		}
	}
	s.rollouts.SetReleases("svc", map[string]int{"v1": 1})
	s.rollouts.SetOrder(order, time.Now())
	s.rollouts.SetReleases("svc", map[string]int{"v1": 1, "v2": 1})
	assert.Assert(t, s.call("/stream/x", "Session: "+session).complete)
	now := time.Now()
	s.book.SetUpstreams([]placement.Upstream{registration(old, "v1"), registration(next, "v2")}, now, now)
	assert.Assert(t, s.call("/stream/x", "Session: "+session).complete)
	assert.Equal(t, len(next.received()), 0)
	assert.Equal(t, len(old.received()), 2)
}
