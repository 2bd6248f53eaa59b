package cascade

import (
	"math"
	"time"
)

const (
	// evenConfidence is the confidence at which half of the answers of a small
	// model are taken to be good, and confidenceSpread the standard deviation
	// around it. The spread is fitted to the share of good answers at five
	// thresholds on quiet days; the middle lies below the fitted 50, because a
	// dropped answer also delays the other requests at its engine.
	evenConfidence   = 43.0
	confidenceSpread = 12.0
	// poorShare is what an answer is worth that was too hard for its model.
	poorShare = 0.05
	// lateShare is what an answer is worth whose first event is late.
	lateShare = 0.2
	// safeShare is the part of the time left below which a predicted first event
	// is nearly sure to be in time.
	safeShare = 0.5
	// freeBacklog is the wait in seconds up to which engine time has no price of
	// its own, and backlogRange the further wait over which the price rises to
	// scarcePrice, in units of value a second.
	freeBacklog  = 0.25
	backlogRange = 1.5
	scarcePrice  = 5.0
	// readTokenShare is the cost of a token that is read, as a part of that of a
	// token that is generated.
	readTokenShare = 0.25
)

// valueOfPriority is what a mean answer of a route is worth, by the priority of
// the route. The figures are those of the users' sheets; lower priorities count
// like the last one.
var valueOfPriority = [...]float64{5.5, 1, 0.4}

// Value is what an answer is worth: that of the mean answer of its priority, by
// its size in proportion to the mean size of its route. A part of the value does
// not depend on the size.
func Value(priority int, size, meanSize float64) float64 {
	v := valueOfPriority[max(0, min(priority, len(valueOfPriority)-1))]
	if meanSize <= 0 {
		return v
	}
	return v * math.Min(4, 0.3+0.7*size/meanSize)
}

// Cost is the price of an answer: tokens that are generated and read, at the
// price of 1,000 generated ones.
func Cost(per1k, generated, read float64) float64 {
	return per1k * (generated + readTokenShare*read) / 1000
}

// Input is what is known when a small model has stated its confidence.
type Input struct {
	// Confidence in the answer, 0 to 100.
	Confidence int
	// Value of a good answer, and cost of one by the larger model.
	Value, Cost float64
	// EngineTime is the engine time of the larger model in seconds, Wait the time until
	// its engine begins with it.
	EngineTime, Wait float64
	// PredictedFirstEvent is the time that the larger model needs to its first event, TimeLeft
	// what is left until that is late.
	PredictedFirstEvent, TimeLeft time.Duration
}

// Decision is the outcome with what it was weighed from.
type Decision struct {
	// Drop says that the answer is dropped for one of the larger model.
	Drop bool
	// Gain is the value that the larger model is expected to add, Price what it
	// takes.
	Gain, Price float64
}

// Decide weighs the answer at hand against one of the larger model.
func Decide(in Input) Decision {
	gain := poorProbability(in.Confidence) * (1 - poorShare) * in.Value * timely(in.PredictedFirstEvent, in.TimeLeft)
	price := in.Cost + scarcity(in.Wait)*in.EngineTime
	return Decision{Drop: gain > price, Gain: gain, Price: price}
}

// poorProbability is the probability that an answer was too hard for its model.
func poorProbability(confidence int) float64 {
	return 0.5 * math.Erfc((float64(confidence)-evenConfidence)/(confidenceSpread*math.Sqrt2))
}

// timely is the part of its value that an answer is expected to keep.
func timely(predicted, left time.Duration) float64 {
	if left <= 0 {
		return lateShare
	}
	use := predicted.Seconds() / left.Seconds()
	switch {
	case use <= safeShare:
		return 1
	case use >= 1:
		return lateShare
	}
	return 1 - (1-lateShare)*(use-safeShare)/(1-safeShare)
}

// scarcity is the price of a second of engine time.
func scarcity(wait float64) float64 {
	return scarcePrice * math.Max(0, math.Min(1, (wait-freeBacklog)/backlogRange))
}
