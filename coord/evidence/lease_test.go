package evidence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/evidence"
)

type fakeClock struct{ now evidence.Instant }

func (c *fakeClock) Now() evidence.Instant { return c.now }

func (c *fakeClock) advance(boot, wall time.Duration) {
	c.now.Boot += boot
	c.now.Wall += wall
}

// Each case guards against one way in which stale evidence could be counted as
// fresh.
func TestLeaseValidity(t *testing.T) {
	type step func(*evidence.Lease, *fakeClock)
	observe := func(revision int64, ago, age time.Duration) step {
		return func(l *evidence.Lease, c *fakeClock) {
			sent := c.now
			sent.Boot -= ago
			sent.Wall -= ago
			_ = l.Observe(revision, sent, age)
		}
	}
	pass := func(boot, wall time.Duration) step {
		return func(_ *evidence.Lease, c *fakeClock) { c.advance(boot, wall) }
	}
	apply := func(revision int64) step {
		return func(l *evidence.Lease, _ *fakeClock) { l.Advance(revision) }
	}
	const s = time.Second
	cases := []struct {
		name  string
		steps []step
		age   time.Duration
	}{
		{"no evidence", []step{apply(1)}, evidence.Never},
		{"transit counts", []step{apply(1), observe(1, s, s)}, 2 * s},
		{"older evidence is ignored", []step{apply(1), observe(1, 0, s), observe(1, 0, 3*s)}, s},
		{"later head does not renew", []step{apply(1), observe(1, 0, 0), pass(3*s, 3*s), observe(2, 0, 0)}, 3 * s},
		{"later head counts once applied", []step{apply(1), observe(2, 0, s), apply(2)}, s},
		{"pending of a still later head", []step{apply(1), observe(3, 0, s), apply(2)}, evidence.Never},
		{"earlier head renews", []step{apply(5), observe(4, 0, s)}, s},
		{"going back is ignored", []step{apply(5), apply(4), observe(5, 0, s)}, s},
		{"suspend stops neither clock", []step{apply(1), observe(1, 0, 0), pass(9*s, 9*s)}, 9 * s},
		{"restored VM: only the wall clock moves", []step{apply(1), observe(1, 0, 0), pass(0, 9*s)}, 9 * s},
		{"wall clock set back", []step{apply(1), observe(1, 0, 0), pass(9*s, -60*s)}, 9 * s},
		{"wall clock set forward, then back", []step{apply(1), pass(0, 60*s), observe(1, 0, 0), pass(9*s, -60*s)}, 9 * s},
		{"negative age is rejected", []step{apply(1), observe(1, 0, -s)}, evidence.Never},
		{"huge age does not overflow", []step{apply(1), observe(1, s, evidence.Never-1)}, evidence.Never},
	}
	for _, tc := range cases {
		clock := &fakeClock{now: evidence.Instant{Boot: 1000 * s, Wall: 1000 * s}}
		l := evidence.New(evidence.Options{Clock: clock})
		for _, step := range tc.steps {
			step(l, clock)
		}
		assert.Equal(t, l.Age(), tc.age, tc.name)
		assert.Equal(t, l.Valid(), tc.age <= evidence.DefaultDuration, tc.name)
	}
}

// Guards against admitting a request that was decided with a superseded
// configuration because there is fresh evidence for the new one.
func TestCoversOnlyTheRevisionInForce(t *testing.T) {
	clock := &fakeClock{}
	l := evidence.New(evidence.Options{Clock: clock})
	l.Advance(1)
	assert.NilError(t, l.Observe(1, l.Now(), 0))
	assert.Assert(t, l.Covers(1))
	assert.NilError(t, l.Observe(2, l.Now(), time.Second))
	revision, age, ok := l.Evidence()
	assert.Assert(t, ok && revision == 1 && age == 0)
	clock.advance(2*time.Second, 0)
	assert.NilError(t, l.Observe(2, l.Now(), time.Second))
	revision, age, _ = l.Evidence()
	assert.Assert(t, revision == 2 && age == time.Second)
	l.Advance(2)
	assert.Assert(t, l.Covers(2) && !l.Covers(1))
}

// maxCheckAllocs bounds the allocations of Covers, which is called for every
// request.
const maxCheckAllocs = 0

func TestCheckDoesNotAllocate(t *testing.T) {
	l := evidence.New(evidence.Options{})
	l.Advance(1)
	assert.NilError(t, l.Observe(1, l.Now(), 0))
	allocs := testing.AllocsPerRun(100, func() { l.Covers(1) })
	assert.Assert(t, allocs <= maxCheckAllocs, "%v allocations", allocs)
}

func BenchmarkCovers(b *testing.B) {
	l := evidence.New(evidence.Options{})
	l.Advance(1)
	_ = l.Observe(1, l.Now(), 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Covers(1)
		}
	})
}
