package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that is outweighed by less than it costs, and against savings that are
// left although they are larger than the wait, for each state of the engine that holds the part.
func TestSavingAgainstWait(t *testing.T) {
	large, small := promptView{tokens: 12000, secondsPerToken: 9.0 / prefillTokensPerSecond}, promptView{tokens: 600, secondsPerToken: 9.0 / prefillTokensPerSecond}
	other := engineView{slowness: 1}
	for _, tc := range []struct {
		name   string
		prompt promptView
		engine engineView
		chosen bool
	}{
		{"idle", large, engineView{held: 5382, slowness: 1}, true},
		{"idle in another zone", large, engineView{held: 5382, slowness: 1, extra: zonePenalty}, true},
		{"busy for less than what is saved", large, engineView{held: 5382, slowness: 1, backlog: 0.3}, true},
		{"busy for long", large, engineView{held: 5382, slowness: 1, backlog: 5}, false},
		{"full of streams", large, engineView{held: 5382, slowness: 1, backlog: 0.3, running: 400}, false},
		{"cold", large, engineView{held: 5382, slowness: unknownColdSlowness}, false},
		{"little held of a small prompt", small, engineView{held: 100, slowness: 1, backlog: 0.3}, false},
		{"small prompt, other zone suspected", small, engineView{held: 512, slowness: 1, extra: suspectPenalty}, false},
		{"nothing held", large, engineView{slowness: 1, extra: zonePenalty}, false},
		{"named by the hash only", large, engineView{hashed: 0.3 * 5382, slowness: 1, extra: zonePenalty}, true},
		{"named by the hash only, busy", large, engineView{hashed: 0.3 * 5382, slowness: 1, backlog: 1}, false},
	} {
		chosen := weigh(&tc.prompt, &tc.engine).score < weigh(&tc.prompt, &other).score
		assert.Equal(t, chosen, tc.chosen, tc.name)
	}
}

// Guards against decisions that are worse than ignoring what is held by more than the cost of
// one wrong assumption: if the chosen engine holds nothing, the cost is at most the weighted
// time in which it reads what it was believed to hold.
func TestCostOfAWrongAssumption(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		p := promptView{tokens: 50 + rng.Float64()*30_000, secondsPerToken: prefillSeconds(1, rng.IntN(3))}
		best, ignoring := math.Inf(1), math.Inf(1)
		var chosen engineView
		for range 1 + rng.IntN(10) {
			e := engineView{backlog: rng.ExpFloat64(), running: 20 * rng.ExpFloat64(), slowness: 0.15 + 3*rng.ExpFloat64(), extra: 0.1 * rng.Float64()}
			ignoring = math.Min(ignoring, weigh(&p, &e).score)
			if rng.IntN(2) == 0 {
				e.held = rng.Float64() * p.tokens
				e.hashed = 0.3 * rng.Float64() * (p.tokens - e.held)
			}
			if s := weigh(&p, &e).score; s < best {
				best, chosen = s, e
			}
		}
		believed := (chosen.held + chosen.hashed) * p.secondsPerToken * chosen.slowness
		wrong := believed * (1 + runningSlowdown*chosen.running + engineTimeWeight + savingWeight)
		chosen.held, chosen.hashed = 0, 0
		assert.Assert(t, weigh(&p, &chosen).score <= ignoring+wrong+1e-9)
	}
}

// Guards against a choice that takes longer than 10 µs among 300 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := engines(n, "z", "y", "x")
			var uses []CacheUse
			for i := range n {
				uses = append(uses, CacheUse{Upstream: fmt.Sprint("e", i), Model: "m", Part: "all"}, CacheUse{Upstream: fmt.Sprint("e", i), Model: "m", Part: fmt.Sprint("s", i%50)})
			}
			// Readings of the monotonic clock, as in the product, are compared faster than others.
			start := time.Now()
			balancer.AddUses(uses, start)
			q := sharedPrompt("s1", "x")
			q.Now = start.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				balancer.Choose(q)
			}
		})
	}
}
