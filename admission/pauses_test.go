package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const allowed = 1200 * time.Millisecond

// observeStream records events with the given gaps, and returns the time of the last one.
func observeStream(p *Pauses, at time.Time, gaps ...time.Duration) time.Time {
	for _, gap := range gaps {
		at = at.Add(gap)
		p.Observe(gap, allowed, at)
	}
	return at
}

// steady returns n gaps of 40 ms, as streams without pauses have them.
func steady(n int) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = 40 * time.Millisecond
	}
	return gaps
}

// cost returns the cost of a prompt of one second beside 20 streams.
func cost(p *Pauses) float64 {
	return PauseCost(p.Level(), LateStreams(0.8, 20, p.Level()))
}

// Guards against a cost for engines that are sound: they pause for about a second now and
// then, also when idle.
func TestSoundPausesCostNothing(t *testing.T) {
	for _, pause := range []time.Duration{900 * time.Millisecond, time.Second} {
		var p Pauses
		at := observeStream(&p, start, steady(50)...)
		for range 20 {
			at = observeStream(&p, at, pause)
			at = observeStream(&p, at, steady(20)...)
			assert.Equal(t, cost(&p), 0.0, "%v", pause)
		}
	}
}

// Guards against late pauses under lasting load that are not seen, and against a cost that
// stays when they are over.
func TestLastingPausesCost(t *testing.T) {
	var p Pauses
	at := observeStream(&p, start, steady(50)...)
	for range 4 {
		at = observeStream(&p, at, 1300*time.Millisecond)
		at = observeStream(&p, at, steady(100)...)
	}
	assert.Assert(t, cost(&p) > 1, "%+v", p)
	observeStream(&p, at, steady(400)...)
	assert.Equal(t, cost(&p), 0.0)
}

// Guards against windows without events that count as windows without pauses while all
// streams of the engine wait.
func TestLongPauseIsNotDiluted(t *testing.T) {
	var p Pauses
	at := observeStream(&p, start, 10*time.Second, 10*time.Second)
	observeStream(&p, at, steady(10)...)
	assert.Assert(t, p.Level() > 0.9, "%+v", p)
	p.Observe(0, allowed, at.Add(60*time.Second))
	assert.Equal(t, cost(&p), 0.0)
}

// Properties: the level lies between 0 and 1, equal events give equal levels, and the cost
// grows with the prompt, the streams and the level.
func TestPauseProperties(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var p, again Pauses
		at := start
		for range 300 {
			gap := time.Duration(r.ExpFloat64() * float64(400*time.Millisecond))
			at = at.Add(gap)
			p.Observe(gap, allowed, at)
			again.Observe(gap, allowed, at)
			assert.Assert(t, p.Level() >= 0 && p.Level() <= 1, "seed %d", seed)
		}
		assert.Equal(t, p, again, "seed %d", seed)
		share, streams, level := 2*r.Float64(), r.IntN(40), r.Float64()
		late := LateStreams(share, streams, level)
		assert.Assert(t, late >= 0 && late <= float64(streams) && late <= LateStreams(share+0.1, streams, level), "seed %d", seed)
		assert.Assert(t, late <= LateStreams(share, streams+1, level) && late <= LateStreams(share, streams, level+0.1), "seed %d", seed)
		assert.Assert(t, PauseCost(level, late) <= PauseCost(level+0.1, late) && PauseCost(level, late) <= PauseCost(level, late+1), "seed %d", seed)
	}
}

// Guards against streams of routes without an allowed pause, and against clocks that go
// back.
func TestUnusablePausesAreIgnored(t *testing.T) {
	var p Pauses
	p.Observe(time.Second, 0, start)
	p.Observe(-time.Second, allowed, start)
	assert.Equal(t, p, Pauses{})
	assert.Equal(t, PauseCost(0, LateStreams(3, 0, 1)), 0.0)
}
