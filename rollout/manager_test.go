package rollout

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const duration = 24 * time.Second

var begin = time.Unix(1000, 0)

func at(part float64) time.Time {
	return begin.Add(time.Duration(part * float64(duration)))
}

func manager() *Manager {
	m := New(Options{SessionIdle: 5 * time.Second, Log: zap.NewNop()})
	m.SetReleases("s", map[string]int{"v1": 3})
	return m
}

// ordered is a manager with an order; the new release is as large as the old one.
func ordered() *Manager {
	m := manager()
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 10}, begin)
	m.SetReleases("s", map[string]int{"v1": 3, "v2": 3})
	return m
}

// prefers reports whether a session gets the new release.
func prefers(m *Manager, session string, now time.Time) bool {
	return m.Allow("s", session, now).Prefer("v2")
}

func sharePreferred(m *Manager, now time.Time) float64 {
	n := 0
	for i := range 2000 {
		if prefers(m, fmt.Sprint("session", i), now) {
			n++
		}
	}
	return float64(n) / 2000
}

// A release that registers before its order is read gets no request.
func TestUnorderedReleaseGetsNothing(t *testing.T) {
	m := manager()
	m.SetReleases("s", map[string]int{"v1": 3, "v2": 1})
	f := m.Allow("s", "x", begin)
	assert.Assert(t, f.Prefer("v1") && !f.Prefer("v2"))
	assert.Assert(t, f.Accept == nil, "with no other release left, serving beats refusing")
}

// A bad release must get a small part of the requests until it has been watched
// for half of the time, and a good one all of them before the time is over.
func TestScheduleOfShares(t *testing.T) {
	m := ordered()
	for part, bounds := range map[float64][2]float64{0.05: {0.08, 0.15}, 0.45: {0.08, 0.15}, 0.6: {0.4, 0.8}, 0.7: {1, 1}} {
		got := sharePreferred(m, at(part))
		assert.Assert(t, got >= bounds[0] && got <= bounds[1], "share %v at %v", got, part)
	}
}

// A session that runs on the old release must not move in the first half, on
// whatever VM it was served.
func TestSessionKeepsItsRelease(t *testing.T) {
	m, peer := ordered(), ordered()
	session := ""
	for i := 0; ; i++ {
		if session = fmt.Sprint("session", i); prefers(m, session, at(0.1)) {
			break
		}
	}
	peer.Served("s", session, "v1", at(0.1))
	m.AddSessions(peer.RecentSessions(time.Second, at(0.1).Add(100*time.Millisecond)), at(0.1).Add(100*time.Millisecond))
	assert.Assert(t, !prefers(m, session, at(0.1).Add(time.Second)))
	assert.Assert(t, prefers(m, session, at(0.1).Add(6*time.Second)), "a session that has ended is a new one")

	m.Served("s", "moved", "v2", at(0.55))
	assert.Assert(t, prefers(m, "moved", at(0.56)), "a session never moves back")
}

// A release whose answers fail is stopped within a few of its requests, on all
// VMs, before the store knows of it.
func TestFailingReleaseIsHalted(t *testing.T) {
	m, peer := ordered(), ordered()
	failures := 0
	for i := range 400 {
		m.Observe("s", "v1", "r", i%50 == 0, 0, 0, at(0.3))
		if i%8 == 0 {
			bad := i%16 == 0
			if bad {
				failures++
			}
			m.Observe("s", "v2", "r", bad, 0, 0, at(0.3))
		}
		if f := m.Allow("s", "x", at(0.3)); f.Accept != nil {
			break
		}
	}
	assert.Assert(t, failures < 20, "%d failures until the halt", failures)
	peer.Merge("m/1", m.Evidence())
	for _, one := range []*Manager{m, peer} {
		f := one.Allow("s", "x", at(0.7))
		assert.Assert(t, f.Prefer("v1") && !f.Prefer("v2") && !f.Accept("v2"))
		due := one.DueWrites(at(0.3), 0, 0, func(string, string) int { return 0 })
		assert.Equal(t, due[0].Progress.State, RolledBack)
	}
}

// No VM alone sees enough failures, but all of them together do.
func TestEvidenceOfAllVMsCounts(t *testing.T) {
	a, b := ordered(), ordered()
	for range 60 {
		a.Observe("s", "v1", "r", false, 0, 0, at(0.3))
		b.Observe("s", "v1", "r", false, 0, 0, at(0.3))
	}
	for range 3 {
		a.Observe("s", "v2", "r", true, 0, 0, at(0.3))
		b.Observe("s", "v2", "r", true, 0, 0, at(0.3))
	}
	assert.Assert(t, a.Allow("s", "x", at(0.3)).Accept == nil)
	a.Merge("b/1", b.Evidence())
	assert.Assert(t, a.Allow("s", "x", at(0.3)).Accept != nil)
}

// A healthy release is not halted for the failures that the old one has too.
func TestHealthyReleaseIsNotHalted(t *testing.T) {
	m := ordered()
	for i := range 3000 {
		m.Observe("s", "v1", "r", i%10 == 0, 0, 0, at(0.3))
		m.Observe("s", "v2", "r", i%10 == 5, 0, 0, at(0.3))
	}
	assert.Assert(t, m.Allow("s", "x", at(0.3)).Accept == nil)
}

// The rollout is done when all traffic has moved and the calls to the old
// release have ended, because its upstreams stop at once; at the latest before
// the time is over.
func TestDoneWaitsForOldCalls(t *testing.T) {
	m := ordered()
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
	calls := 3
	old := func(string, string) int { return calls }
	assert.Equal(t, len(m.DueWrites(at(0.6), 0, 0, old)), 0)
	assert.Equal(t, len(m.DueWrites(at(0.7), 0, 0, old)), 0)
	calls = 0
	due := m.DueWrites(at(0.71), 0, 0, old)
	assert.Equal(t, due[0].Progress.State, Done)
	assert.Equal(t, due[0].ExpectedRevision, int64(11))
	calls = 3
	assert.Equal(t, m.DueWrites(at(0.95), 0, 0, old)[0].Progress.State, Done)
	m.SetProgress(due[0].Progress, 12, begin)
	f := m.Allow("s", "x", at(0.96))
	assert.Assert(t, f.Prefer("v2") && !f.Prefer("v1"))
	assert.Equal(t, len(m.DueWrites(at(0.97), 0, 0, old)), 0)
}

// Only the first VM writes at once; the others do if it does not.
func TestWritersTakeTurns(t *testing.T) {
	m := ordered()
	none := func(string, string) int { return 0 }
	assert.Equal(t, len(m.DueWrites(begin, 0, 1, none)), 0)
	assert.Equal(t, len(m.DueWrites(begin.Add(writerStep), 0, 1, none)), 1)
	assert.Equal(t, len(m.DueWrites(begin.Add(writerStep+time.Millisecond), 0, 1, none)), 0, "one write at a time")
}

// A VM that starts during a rollout goes on where the others are, by the store's
// record of its beginning.
func TestRestartGoesOn(t *testing.T) {
	m := manager()
	restarted := at(0.7)
	m.SetOrder(Order{Service: "s", Release: "v2", Duration: duration, Revision: 10}, restarted)
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
	m.SetReleases("s", map[string]int{"v1": 3, "v2": 3})
	assert.Equal(t, sharePreferred(m, restarted), 1.0)
}

// The outcome of an earlier order does not count for a later one.
func TestSecondOrderBeginsAnew(t *testing.T) {
	m := ordered()
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Done, Order: 10}, 11, begin)
	m.SetOrder(Order{Service: "s", Release: "v3", Duration: duration, Revision: 20}, at(1))
	f := m.Allow("s", "x", at(1.01))
	assert.Assert(t, f.Prefer("v2") || f.Prefer("v3"))
	due := m.DueWrites(at(1.01), 0, 0, func(string, string) int { return 0 })
	assert.Equal(t, due[0].Progress.State, Running)
	assert.Equal(t, due[0].ExpectedRevision, int64(11))
}

// latencies feeds both releases with first events, slow ones in the given
// shares.
func latencies(m *Manager, now time.Time, oldSlow, newSlow int) {
	for i := range 400 {
		took := func(every int) time.Duration {
			if every > 0 && i%every == 0 {
				return 2 * time.Second
			}
			return 150 * time.Millisecond
		}
		m.Observe("s", "v1", "r", false, took(oldSlow), 100*time.Millisecond, now)
		if i%4 == 0 {
			m.Observe("s", "v2", "r", false, took(newSlow), 100*time.Millisecond, now)
		}
	}
}

// A release that answers several times slower is halted while both releases
// serve. When most traffic has moved, a burst slows the new one only, and must
// not roll a good release back.
func TestLatencyIsComparedWhileBothServe(t *testing.T) {
	m := ordered()
	latencies(m, at(0.4), 0, 1)
	assert.Assert(t, m.Allow("s", "x", at(0.4)).Accept != nil)

	m = ordered()
	latencies(m, at(0.4), 0, 0)
	latencies(m, at(0.7), 0, 1)
	assert.Assert(t, m.Allow("s", "x", at(0.7)).Accept == nil)
}

// A release that fails on one route only must be stopped before half of the time
// is over, though the requests of all other routes succeed.
func TestReleaseThatFailsOneRouteIsHalted(t *testing.T) {
	m := ordered()
	routes := []string{"a", "b", "c", "d", "e"}
	n := 0
	for i := 0; m.Allow("s", "x", at(0.3)).Accept == nil; i++ {
		assert.Assert(t, n < 100, "not halted after %d requests of the new release", n)
		route := routes[i%len(routes)]
		for range 8 {
			m.Observe("s", "v1", route, false, 0, 0, at(0.3))
		}
		n++
		m.Observe("s", "v2", route, route == "a" && i%2 == 0, 0, 0, at(0.3))
	}
	t.Logf("halted after %d requests", n)
}

// While few failures speak against a release, no further sessions move to it.
func TestSuspiciousReleaseGetsNoMore(t *testing.T) {
	m := ordered()
	for range 200 {
		m.Observe("s", "v1", "a", false, 0, 0, at(0.4))
		m.Observe("s", "v1", "b", false, 0, 0, at(0.4))
	}
	for range 2 {
		m.Observe("s", "v2", "a", true, 0, 0, at(0.45))
	}
	assert.Assert(t, m.Allow("s", "x", at(0.6)).Accept == nil, "two failures prove nothing")
	assert.Assert(t, sharePreferred(m, at(0.6)) < 0.15)
	m.SetProgress(Progress{Service: "s", Release: "v2", State: Running, Order: 10}, 11, begin)
	due := m.DueWrites(at(0.8), 0, 0, func(string, string) int { return 0 })
	assert.Equal(t, due[0].Progress.State, RolledBack, "still suspected near the end")
	for range 20 {
		m.Observe("s", "v2", "a", false, 0, 0, at(0.62))
	}
	assert.Assert(t, sharePreferred(m, at(0.65)) > 0.5)
}

// The first upstream of a new release must not get the share of all of them: it
// would be overloaded, and a good release be taken for a bad one.
func TestShareFollowsTheUpstreams(t *testing.T) {
	m := ordered()
	for n, most := range map[int]float64{0: 0, 1: 0.03, 45: 0.13} {
		m.SetReleases("s", map[string]int{"v1": 90, "v2": n})
		got := sharePreferred(m, at(0.3))
		assert.Assert(t, got <= most && (n == 0 || got > 0), "share %v with %d of 90", got, n)
	}
	m.SetReleases("s", map[string]int{"v1": 90, "v2": 90})
	assert.Equal(t, sharePreferred(m, at(0.7)), 1.0)
	m.SetReleases("s", map[string]int{"v2": 90})
	assert.Equal(t, sharePreferred(m, at(0.7)), 1.0)
}
