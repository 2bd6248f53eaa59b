package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a difference between pooling statistics one by one, as in the
// cached cells of the peers, and pooling them all at once, for samples of
// different ages. The test also checks that the two differ if ages are ignored.
func TestKeptPoolEqualsJoinAtOnce(t *testing.T) {
	const seed = 1
	rng := rand.New(rand.NewPCG(seed, seed))
	differs := false
	for range 200 {
		var all []MeanStat
		var incremental, ageless MeanStat
		for range 1 + rng.IntN(8) {
			s := MeanStat{Weight: float64(rng.IntN(20)), At: time.Duration(rng.IntN(3600)) * time.Second}
			s.Sum = s.Weight * rng.Float64()
			all, incremental = append(all, s), poolTwo(incremental, s)
			s.At = 0
			ageless = poolTwo(ageless, s)
		}
		mean, weight := pool(all)
		incrementalMean, incrementalWeight := incremental.mean()
		if math.Abs(mean-incrementalMean) > 1e-9 || math.Abs(weight-incrementalWeight) > 1e-9*max(1, weight) {
			t.Fatalf("seed %d: incremental pool %v of weight %v, at once %v of weight %v", seed, incrementalMean, incrementalWeight, mean, weight)
		}
		agelessMean, _ := ageless.mean()
		differs = differs || math.Abs(mean-agelessMean) > 1e-9
	}
	if !differs {
		t.Fatal("the pool without ages never differs, so the check cannot fail")
	}
}

// Guards against cached cells of the peers that are still used after one of their
// summaries was replaced or removed.
func TestPoolFollowsThePeers(t *testing.T) {
	p, key := New(Options{}), CellKey{"e", "v"}
	cells := func(perToken float64) Summary {
		s := newSummary()
		s.Cells[key] = CellStat{PerToken: MeanStat{Weight: 10, Sum: 10 * perToken}}
		return s
	}
	sum := func() float64 { return p.mergeLocked(Inputs{}).cells[key].PerToken.Sum }
	for _, step := range []struct {
		change func()
		want   float64
	}{
		{func() { p.Merge("a", cells(1)) }, 10},
		{func() { p.Merge("a", cells(2)) }, 20},
		{func() { p.Merge("b", cells(1)) }, 30},
		{func() { p.Forget("a") }, 10},
		{func() { p.Forget("b") }, 0},
	} {
		step.change()
		if got := sum(); math.Abs(got-step.want) > 1e-9 {
			t.Fatalf("sum %v, want %v", got, step.want)
		}
	}
}
