package cascade

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func input(confidence int) Input {
	return Input{
		Confidence: confidence, Value: 1, Cost: 0.12, EngineTime: 0.1, Wait: 0.05,
		PredictedFirstEvent: 200 * time.Millisecond, TimeLeft: 3 * time.Second,
	}
}

// Answers that are probably poor are dropped while the larger model is free, and
// confident ones are kept.
func TestFreeCapacity(t *testing.T) {
	assert.Assert(t, Decide(input(0)).Drop)
	assert.Assert(t, Decide(input(35)).Drop)
	assert.Assert(t, !Decide(input(75)).Drop)
	assert.Assert(t, !Decide(input(100)).Drop)
}

// A cheap request is not worth a dear answer.
func TestValueAgainstCost(t *testing.T) {
	in := input(43)
	in.Cost = 0.3
	assert.Assert(t, Decide(in).Drop)
	in.Value = 0.4
	assert.Assert(t, !Decide(in).Drop)
}

// The confidence that is good enough falls as engines fill up, so that a burst
// is served by the small model instead of late by the large one.
func TestThresholdFallsWithLoad(t *testing.T) {
	threshold := func(wait float64) int {
		for c := range 101 {
			in := input(c)
			in.Wait, in.PredictedFirstEvent = wait, time.Duration((wait+0.2)*float64(time.Second))
			if !Decide(in).Drop {
				return c
			}
		}
		return 101
	}
	last := 101
	for _, wait := range []float64{0, 0.5, 1, 1.5, 2} {
		now := threshold(wait)
		assert.Assert(t, now <= last, "threshold %d at a wait of %v s, %d before", now, wait, last)
		last = now
	}
	assert.Assert(t, threshold(0) > 40)
	in := input(20)
	in.PredictedFirstEvent, in.Wait = 4*time.Second, 3.5
	assert.Assert(t, !Decide(in).Drop, "the larger model would be late")
}

// Large requests are worth more than small ones of their route, up to a bound.
func TestValueGrowsWithSize(t *testing.T) {
	assert.Equal(t, Value(1, 100, 100), 1.0)
	assert.Assert(t, Value(1, 300, 100) > 2)
	assert.Equal(t, Value(1, 1e6, 100), 4.0)
	assert.Equal(t, Value(0, 100, 100), 5.5)
	assert.Equal(t, Value(9, 100, 100), Value(2, 100, 100))
}
