package cascade

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func input(confidence int) Input {
	return Input{
		Confidence: confidence, Terms: Terms{Value: 1, EngineTimeValue: 10, Objective: 4 * time.Second}, Cost: 0.12, EngineTime: 0.1, Wait: 0.05,
		PredictedFirstEvent: 200 * time.Millisecond, TimeLeft: 3 * time.Second,
	}
}

// While the larger model has free capacity, answers with low confidence are
// dropped and answers with high confidence are kept.
func TestFreeCapacity(t *testing.T) {
	assert.Assert(t, Decide(input(0)).Drop)
	assert.Assert(t, Decide(input(35)).Drop)
	assert.Assert(t, !Decide(input(75)).Drop)
	assert.Assert(t, !Decide(input(100)).Drop)
}

// An answer of low value is kept if an answer by the larger model costs more than
// it gains.
func TestValueAgainstCost(t *testing.T) {
	in := input(43)
	in.Cost = 0.3
	assert.Assert(t, Decide(in).Drop)
	in.Value = 0.4
	assert.Assert(t, !Decide(in).Drop)
}

// The confidence threshold falls as the wait for the larger model grows, so that
// a burst is answered by the small model instead of late by the larger one.
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

// Load answered: streams that are late because the engine of the larger model reads prompts
// beside them. Guards against requests for it that cost other callers more than they gain.
func TestLateStreamsRaiseThePrice(t *testing.T) {
	in := Input{Confidence: 30, PredictedFirstEvent: time.Second, TimeLeft: 3 * time.Second, Terms: Terms{Value: 1, Objective: time.Second}}
	price := Decide(in).Price
	for _, c := range []struct {
		late float64
		drop bool
	}{{0, true}, {0.5, true}, {1.2, false}, {5, false}} {
		in.LateStreams = c.late
		d := Decide(in)
		assert.Equal(t, d.Drop, c.drop, "%v", c.late)
		assert.Assert(t, d.Price >= price, "%v", c.late)
		price = d.Price
	}
}
