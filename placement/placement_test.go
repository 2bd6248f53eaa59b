package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return now.Add(d) }

// engines registers n engines, all in zone "z" unless zones are named.
func engines(n int, zones ...string) *Balancer {
	b := NewBalancer(Options{AvailabilityZone: "z"})
	var list []Upstream
	for i := range n {
		zone := "z"
		if len(zones) > 0 {
			zone = zones[i%len(zones)]
		}
		list = append(list, Upstream{ID: fmt.Sprint("e", i), Service: "s", Address: "a", AvailabilityZone: zone, Release: "v1", Slots: 4})
	}
	b.SetUpstreams(list, now)
	return b
}

func query(tokens int, parts ...Part) *Query {
	return &Query{Service: "s", Model: "m", Rank: 2, Tokens: tokens, Parts: parts, Now: now}
}

// place chooses an engine and starts the call.
func place(t *testing.T, b *Balancer, q *Query) (*Call, Choice) {
	t.Helper()
	c, ok := b.Choose(q)
	assert.Assert(t, ok)
	call := b.Start(c, q)
	assert.Assert(t, call != nil)
	return call, c
}

// Long prompts must spread over the engines by the work in flight, not by the
// number of calls.
func TestLoadSpreadsByWork(t *testing.T) {
	b := engines(3)
	_, long := place(t, b, query(30000))
	counts := map[string]int{}
	for range 10 {
		_, c := place(t, b, query(3000))
		counts[c.ID]++
	}
	assert.Assert(t, counts[long.ID] <= 2, "%v", counts)
}

// What other VMs have in flight counts as well, until they fall silent.
func TestLoadOfPeersCounts(t *testing.T) {
	b := engines(2)
	b.SetPeer("p", map[string]Load{"e0": {Calls: 5, PrefillSeconds: 2}}, now)
	_, c := place(t, b, query(1000))
	assert.Equal(t, c.ID, "e1")
	b.SetPeer("p", map[string]Load{"e1": {Calls: 5, PrefillSeconds: 5}}, now)
	_, c = place(t, b, query(1000))
	assert.Equal(t, c.ID, "e0")
	b.Sweep(after(2 * peerLoadLifetime))
	assert.Equal(t, b.InFlight("s", "none", true), 2)
}

// A request goes where its prefix lies, unless that engine is too busy.
func TestPrefixAgainstLoad(t *testing.T) {
	b := engines(3)
	shared := []Part{{"p", 8000}, {"own", 500}}
	call, first := place(t, b, query(8500, shared...))
	call.FirstEvent(now)
	call.End(Answered, now)
	_, again := place(t, b, query(8500, Part{"p", 8000}, Part{"other", 500}))
	assert.Equal(t, again.ID, first.ID)
	assert.Assert(t, again.UncachedTokens == 500)
	b.SetPeer("p", map[string]Load{first.ID: {Calls: 9, PrefillSeconds: 4}}, now)
	_, busy := place(t, b, query(8500, Part{"p", 8000}, Part{"third", 500}))
	assert.Assert(t, busy.ID != first.ID)
	// A prefix that lies behind one that is not kept does not help.
	late := query(8500, Part{"x", 100}, Part{"p", 8000}, Part{"own", 400})
	c, _ := b.Choose(late)
	assert.Equal(t, c.UncachedTokens, 8500.0)
}

// What a peer's calls have read counts too, and is forgotten in time.
func TestPrefixesOfPeers(t *testing.T) {
	b := engines(2)
	b.AddUses([]CacheUse{{Upstream: "e1", Model: "m", Part: "p", Age: time.Second}}, now)
	q := query(8500, Part{"p", 8000}, Part{"own", 500})
	c, _ := b.Choose(q)
	assert.Equal(t, c.ID, "e1")
	q.Now = after(10 * time.Second)
	c, _ = b.Choose(q)
	assert.Equal(t, c.UncachedTokens, 8500.0)
}

// An engine that turns slow gets fewer requests, and more when it recovers.
func TestSpeedIsLearned(t *testing.T) {
	b := engines(2)
	slow := func(factor float64) int {
		n := 0
		for range 60 {
			call, c := place(t, b, query(5000))
			took := c.NominalFirstEvent
			if c.ID == "e0" {
				took *= factor
				n++
			}
			call.FirstEvent(after(time.Duration(took * float64(time.Second))))
			call.End(Answered, now)
		}
		return n
	}
	assert.Assert(t, slow(5) < 20)
	first, _ := b.Choose(query(5000))
	assert.Equal(t, first.ID, "e1")
}

// An upstream that fails several times in a row is avoided for a while, but used
// when nothing else is left.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	b := engines(2)
	for range ejectAfter {
		call := b.Start(Choice{Upstream: Upstream{ID: "e0"}}, query(100))
		call.End(Failed, now)
	}
	for range 5 {
		_, c := place(t, b, query(100))
		assert.Equal(t, c.ID, "e1")
	}
	q := query(100)
	q.Exclude = map[string]bool{"e1": true}
	_, c := place(t, b, q)
	assert.Equal(t, c.ID, "e0")
	q = query(100)
	q.Now = after(minEjection + time.Millisecond)
	b.SetPeer("p", map[string]Load{"e1": {Calls: 4, PrefillSeconds: 2}}, q.Now)
	_, c = place(t, b, q)
	assert.Equal(t, c.ID, "e0", "tried again after the pause")
}

// When no upstream can be reached, a request is refused at once instead of
// waiting for a connection; the way back is tried again soon.
func TestUnreachableUpstreamsAreNotWaitedFor(t *testing.T) {
	b := engines(1)
	call, _ := place(t, b, query(100))
	call.End(Unreachable, now)
	_, ok := b.Choose(query(100))
	assert.Assert(t, !ok)
	q := query(100)
	q.Now = after(minDark + time.Millisecond)
	_, ok = b.Choose(q)
	assert.Assert(t, ok)
}

// Guards against a refusal whose cause the log cannot tell: each upstream that
// cannot take a call is counted under one reason.
func TestCensusNamesTheReasons(t *testing.T) {
	b := engines(6)
	q := query(100)
	q.Now = after(time.Second)
	assert.DeepEqual(t, b.ExclusionCounts(q), ExclusionCounts{Registered: 6, ListAge: time.Second})

	list := make([]Upstream, 0, 6)
	for id, e := range b.entries {
		switch id {
		case "e1":
			e.health.unreachable(q.Now)
		case "e2":
			e.health.fail(q.Now)
			e.health.fail(q.Now)
		}
		list = append(list, e.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	list[3].Draining, list[4].Release = true, "v2"
	b.SetUpstreams(list[:5], q.Now)
	q.Exclude = map[string]bool{"e0": true}
	q.Allow = func(release string) bool { return release != "v2" }
	assert.DeepEqual(t, b.ExclusionCounts(q), ExclusionCounts{Registered: 5, Tried: 1, Unreachable: 1, Failing: 1, Leaving: 1, OtherRelease: 1, Lapsed: 1})
}

// A zone that is cut off is noticed by one failure or by the silence of all
// calls there, and used again as soon as a byte comes.
func TestCutZoneIsAvoided(t *testing.T) {
	far := func(b *Balancer) string {
		c, ok := b.Choose(&Query{Service: "s", Model: "m", Rank: 2, Tokens: 100, Now: after(400 * time.Millisecond), Exclude: map[string]bool{"e1": true}})
		assert.Assert(t, ok)
		return c.AvailabilityZone
	}
	b := engines(4, "z", "other")
	b.SetPeer("p", map[string]Load{"e0": {PrefillSeconds: 0.3}, "e2": {PrefillSeconds: 0.3}}, after(400*time.Millisecond))
	assert.Equal(t, far(b), "other")
	call := b.Start(Choice{Upstream: Upstream{ID: "e1"}}, query(100))
	call.End(Unreachable, now)
	assert.Equal(t, far(b), "z")
	live := b.Start(Choice{Upstream: Upstream{ID: "e3"}}, query(100))
	live.RecordBytes(after(100 * time.Millisecond))
	assert.Equal(t, far(b), "other")

	b = engines(4, "z", "other")
	b.SetPeer("p", map[string]Load{"e0": {PrefillSeconds: 0.3}, "e2": {PrefillSeconds: 0.3}}, after(400*time.Millisecond))
	for range minZoneCalls {
		b.Start(Choice{Upstream: Upstream{ID: "e3"}}, query(1))
	}
	assert.Equal(t, far(b), "z")
}

// A draining upstream gets nothing, at once; one whose registration disappeared
// only while nothing else is left, and for a short time.
func TestLeavingUpstreams(t *testing.T) {
	b := engines(2)
	b.SetUpstreams([]Upstream{
		{ID: "e0", Service: "s", Address: "a", AvailabilityZone: "z", Release: "v1", Draining: true},
		{ID: "e1", Service: "s", Address: "a", AvailabilityZone: "z", Release: "v1"},
	}, now)
	_, c := place(t, b, query(100))
	assert.Equal(t, c.ID, "e1")
	assert.Assert(t, !b.Usable("e0", now))
	b.SetUpstreams(nil, now)
	_, c = place(t, b, query(100))
	assert.Equal(t, c.ID, "e1")
	q := query(100)
	q.Now = after(DefaultLapseGrace + time.Millisecond)
	_, ok := b.Choose(q)
	assert.Assert(t, !ok)
	assert.Assert(t, !b.Usable("e1", q.Now))
}

// A new process under an old ID knows nothing of before.
func TestReusedID(t *testing.T) {
	b := engines(1)
	call, _ := place(t, b, query(8500, Part{"p", 8000}, Part{"own", 500}))
	call.FirstEvent(now)
	call.End(Answered, now)
	b.SetUpstreams([]Upstream{{ID: "e0", Incarnation: 2, Service: "s", Address: "a", AvailabilityZone: "z"}}, now)
	c, _ := b.Choose(query(8500, Part{"p", 8000}, Part{"own", 500}))
	assert.Equal(t, c.UncachedTokens, 8500.0)
}

// Only releases that a request may get are chosen.
func TestReleaseFilter(t *testing.T) {
	b := engines(2)
	q := query(100)
	q.Allow = func(release string) bool { return release == "v2" }
	_, ok := b.Choose(q)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, b.Releases("s"), map[string]int{"v1": 2})
}
