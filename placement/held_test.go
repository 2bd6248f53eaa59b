package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharedPrompt is a prompt whose first two parts are shared, as those of a session are.
func sharedPrompt(session, own string) *Query {
	return query(12000, Part{"all", 512}, Part{session, 4870}, Part{own, 6618})
}

// write chooses an engine for q, starts the call and writes its request.
func write(t *testing.T, b *Balancer, q *Query) (*Call, Choice) {
	t.Helper()
	call, c := place(t, b, q)
	assert.Equal(t, call.Admit(q.Now), Admitted)
	return call, c
}

// Guards against VMs that read the same part at different engines because they have not yet
// heard of each other's calls.
func TestVMsChooseTheSameEngineWithoutAMessage(t *testing.T) {
	same, byHash := 0, 0
	for i := range 100 {
		session := string(rune('a' + i))
		_, one := write(t, engines(60), sharedPrompt(session, "x"))
		_, other := write(t, engines(60), sharedPrompt(session, "y"))
		if one.ID == other.ID {
			same++
		}
		if one.ByHash {
			byHash++
		}
	}
	assert.Equal(t, same, 100)
	assert.Equal(t, byHash, 100)
}

// Guards against a hash that outweighs the wait: a busy engine is left alone, and the next one
// of the order is the same at all VMs.
func TestHashYieldsToLoad(t *testing.T) {
	seen := map[string]bool{}
	b := engines(20)
	for range 3 {
		_, c := write(t, engines(20), sharedPrompt("s", "x"))
		assert.Equal(t, len(seen) == 0 || seen[c.ID], true)
		seen[c.ID] = true
		b.SetPeer("p", map[string]Load{c.ID: {Calls: 3, PrefillSeconds: 1}}, now)
	}
	_, first := write(t, b, sharedPrompt("s", "x"))
	assert.Assert(t, !seen[first.ID])
}

// Guards against prompts of which nothing can be shared being sent to few engines.
func TestUniquePromptsAreNotHashed(t *testing.T) {
	b := engines(4)
	for i := range 8 {
		_, c := write(t, b, query(3000, Part{"own" + string(rune('0'+i)), 3000}))
		assert.Assert(t, !c.ByHash)
	}
	assert.Equal(t, len(b.Loads()), 4)
}

// Guards against knowledge that comes only with the first event: a request that is written
// while the part is still being read would read it elsewhere.
func TestPartsCountFromTheWriting(t *testing.T) {
	b, peer := engines(10), engines(10)
	call, first := write(t, b, sharedPrompt("s", "x"))
	peer.AddUses(b.RecentUses(time.Second, after(100*time.Millisecond)), after(200*time.Millisecond))
	c, _ := peer.Choose(sharedPrompt("s", "y"))
	assert.Equal(t, c.ID, first.ID)
	assert.Equal(t, c.UncachedTokens, 12000.0-512-4870)
	// A call that ends before its prompt was read proves nothing.
	call.End(Failed, now)
	c, _ = b.Choose(sharedPrompt("s", "y"))
	assert.Equal(t, c.UncachedTokens, 12000.0)
}

// Guards against reports of every part of every prompt, which exceed the bound of a digest: the
// longest prefix implies the parts before it.
func TestLongestPrefixImpliesTheRest(t *testing.T) {
	b, peer := engines(1), engines(1)
	for i := range 10 {
		at := after(time.Duration(i) * 100 * time.Millisecond)
		q := sharedPrompt("s"+string(rune('0'+i)), "x")
		q.Now = at
		call, _ := write(t, b, q)
		call.FirstEvent(at)
		call.End(Answered, at)
	}
	uses := b.RecentUses(time.Second, after(time.Second))
	assert.Equal(t, len(uses), 11)
	peer.AddUses(uses[:1], now)
	assert.Equal(t, uses[0].Part, "s0")
	c, _ := peer.Choose(sharedPrompt("s0", "y"))
	assert.Equal(t, c.UncachedTokens, 12000.0-512-4870)
}

// use records that an engine used the parts of a session some time ago.
func use(b *Balancer, engine, session string, age time.Duration) {
	b.AddUses([]CacheUse{{Upstream: engine, Model: "m", Part: session, Age: age}}, now)
}

// Guards against beliefs that expire while the engine still holds the part, and against those
// that outlive it: the chance follows from the memory of the engine and from what it reads.
func TestRetentionFollowsMemory(t *testing.T) {
	const shared = 512 + 4870
	for _, tc := range []struct {
		name        string
		memory      int
		age         time.Duration
		calls       int
		least, most float64
	}{
		{"memory not known, within the lifetime", 0, 9 * time.Second, 0, shared, shared},
		{"memory not known, after the lifetime", 0, 11 * time.Second, 0, 0, 0},
		{"much memory, after the lifetime", 1_000_000, 11 * time.Second, 0, shared, shared},
		{"much memory, long after", 1_000_000, 31 * time.Second, 0, 0, 0},
		{"little memory, recent", 60_000, time.Second, 0, shared, shared},
		{"little memory, within the lifetime", 60_000, 7 * time.Second, 0, 1, shared - 1},
		{"little memory, older", 60_000, 12 * time.Second, 0, 0, 0},
		{"full of calls in flight", 60_000, time.Second, 5, 0, 0},
	} {
		b := engines(1)
		b.SetMemory(map[string]int{"s": tc.memory})
		// The engine reads 12,000 tokens a second.
		for i := range 20 {
			q := query(12000, Part{"own", 12000})
			q.Now = now.Add(time.Duration(i-20) * time.Second)
			call := b.Start(Choice{Upstream: Upstream{ID: "e0"}, UncachedTokens: 12000}, q)
			call.Admit(q.Now)
			call.FirstEvent(q.Now)
			call.End(Answered, q.Now)
		}
		b.SetPeer("p", map[string]Load{"e0": {Calls: tc.calls}}, now)
		use(b, "e0", "s", tc.age)
		b.Sweep(now)
		c, _ := b.Choose(sharedPrompt("s", "x"))
		held := 12000 - c.UncachedTokens
		assert.Assert(t, held >= tc.least && held <= tc.most, "%s: %v", tc.name, held)
	}
}

// Guards against beliefs that survive a restart: what this VM knew, and what peers report late,
// is about the previous instance.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	b := engines(1)
	use(b, "e0", "s", 0)
	restarted := Upstream{ID: "e0", Service: "s", Address: "a", AvailabilityZone: "z", Release: "v1", Slots: 4, Incarnation: 2}
	b.SetUpstreams([]Upstream{restarted}, now, after(time.Second))
	b.AddUses([]CacheUse{{Upstream: "e0", Model: "m", Part: "s", Age: 600 * time.Millisecond}}, after(1500*time.Millisecond))
	q := sharedPrompt("s", "x")
	q.Now = after(2 * time.Second)
	c, _ := b.Choose(q)
	assert.Equal(t, c.UncachedTokens, 12000.0)
	b.AddUses([]CacheUse{{Upstream: "e0", Model: "m", Part: "s", Age: 600 * time.Millisecond}}, after(2*time.Second))
	c, _ = b.Choose(q)
	assert.Equal(t, c.UncachedTokens, 12000.0-512-4870)
	b.Sweep(q.Now)
	assert.Equal(t, len(b.holders[cacheKey{"m", "s"}]), 1)
}

// Guards against clients that use up the memory of a VM with prompts of parts that no other
// prompt has.
func TestClientsChooseManyParts(t *testing.T) {
	b := NewBalancer(Options{AvailabilityZone: "z", MaxHeld: 100})
	b.SetUpstreams([]Upstream{{ID: "e0", Service: "s", Address: "a", AvailabilityZone: "z", Release: "v1", Slots: 4}}, now, now)
	for i := range 50 {
		at := after(time.Duration(i) * time.Millisecond)
		var parts []Part
		for n := range 200 {
			parts = append(parts, Part{fmt.Sprint(i, "-", n), 300})
		}
		parts = append(parts, Part{strings.Repeat("a", 4<<10), 300})
		q := query(12000, parts...)
		q.Now = at
		call, _ := place(t, b, q)
		call.Admit(at)
	}
	uses, evicted := b.Held()
	assert.Equal(t, uses, 100)
	assert.Assert(t, evicted >= 50*200-100)
	assert.Assert(t, len(b.recentUses) <= maxRecentUses)
	b.SetMaxHeld(10)
	uses, _ = b.Held()
	assert.Equal(t, uses, 10)
	for key := range b.holders {
		assert.Assert(t, !key.tooLong())
	}
	b.Sweep(after(time.Hour))
	uses, _ = b.Held()
	assert.Equal(t, uses, 0)
}
