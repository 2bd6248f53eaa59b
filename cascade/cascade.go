package cascade

import (
	"math"
	"time"
)

const (
	// confidenceMidpoint is the stated confidence at which half of the answers of a
	// small model are assumed to be good. It is below the 50 that fits the observed
	// answers, because a dropped answer also delays the other requests at its
	// engine. confidenceStdDev is the standard deviation around the midpoint, fitted
	// to the share of good answers at five thresholds under low load.
	confidenceMidpoint = 43.0
	confidenceStdDev   = 12.0
	// poorValueFraction is the fraction of its value that an answer has if the
	// request was too hard for the model.
	poorValueFraction = 0.05
	// lateValueFraction is the fraction of its value that an answer has if its first
	// event is late.
	lateValueFraction = 0.2
	// safeTimeFraction is the fraction of the time left below which a predicted
	// first event is almost certain to be in time.
	safeTimeFraction = 0.5
	// Engine time is free up to a wait of freeWaitShare of the latency objective. Over the
	// next waitPriceShare of the objective its price rises linearly to
	// maxEngineTimePrice, a fraction of the value that engine time can give.
	freeWaitShare      = 0.0625
	waitPriceShare     = 0.375
	maxEngineTimePrice = 0.5
	// The same for the mean wait of the last requests. A burst raises the waits for a
	// moment; if the mean is up, requests for the larger model keep the queue long, and
	// first events of others late.
	freeMeanWaitShare      = 0.04
	meanWaitPriceShare     = 0.12
	maxMeanEngineTimePrice = 1.0
	// inputTokenCostRatio is the cost of a prompt token relative to that of a
	// generated token.
	inputTokenCostRatio = 0.25
)

// Cost returns the cost of an answer with the given numbers of generated and
// prompt tokens; per1k is the price of 1,000 generated tokens.
func Cost(per1k, generated, read float64) float64 {
	return per1k * (generated + inputTokenCostRatio*read) / 1000
}

// Input holds the state of a request when a small model has stated its
// confidence.
type Input struct {
	// Confidence is the stated confidence in the answer, 0 to 100.
	Confidence int
	Terms
	// Cost is the cost of an answer by the larger model.
	Cost float64
	// EngineTime is the engine time that the larger model needs; Wait is the time until
	// its engine starts the request. Both are in seconds.
	EngineTime, Wait float64
	// LateStreams is the number of other streams that the larger model is expected to make
	// late by reading the prompt beside them.
	LateStreams float64
	// PredictedFirstEvent is the predicted time to the first event of the larger model; TimeLeft
	// is the time after which a first event is late.
	PredictedFirstEvent, TimeLeft time.Duration
}

// Decision is the outcome of Decide with the two quantities that it compares.
type Decision struct {
	// Drop is set if the answer is to be dropped and the request sent to the larger
	// model.
	Drop bool
	// Gain is the value that the larger model is expected to add; Price is the cost
	// of its answer and of its engine time, and what the streams lose that it makes late.
	Gain, Price float64
}

// Decide decides whether to drop the answer of the small model: it does if the
// expected gain from the larger model exceeds its price.
func Decide(in Input) Decision {
	gain := poorProbability(in.Confidence) * (1 - poorValueFraction) * in.Value * retainedValueFraction(in.PredictedFirstEvent, in.TimeLeft)
	price := in.Cost + engineTimePrice(in)*in.EngineTime + in.LateStreams*(1-lateValueFraction)*in.Value
	return Decision{Drop: gain > price, Gain: gain, Price: price}
}

// poorProbability returns the probability that the request was too hard for a
// model that states the given confidence.
func poorProbability(confidence int) float64 {
	return 0.5 * math.Erfc((float64(confidence)-confidenceMidpoint)/(confidenceStdDev*math.Sqrt2))
}

// retainedValueFraction returns the fraction of its value that an answer is
// expected to retain, given its predicted first event and the time left.
func retainedValueFraction(predicted, left time.Duration) float64 {
	if left <= 0 {
		return lateValueFraction
	}
	used := predicted.Seconds() / left.Seconds()
	switch {
	case used <= safeTimeFraction:
		return 1
	case used >= 1:
		return lateValueFraction
	}
	return 1 - (1-lateValueFraction)*(used-safeTimeFraction)/(1-safeTimeFraction)
}

// engineTimePrice returns the price of a second of engine time. It follows from the waits
// at the engines, and from what other requests lose by waiting.
func engineTimePrice(in Input) float64 {
	objective := in.Objective.Seconds()
	if objective <= 0 {
		return 0
	}
	now := maxEngineTimePrice * ramp(in.Wait/objective, freeWaitShare, waitPriceShare)
	lasting := maxMeanEngineTimePrice * ramp(in.MeanWait/objective, freeMeanWaitShare, meanWaitPriceShare)
	return in.EngineTimeValue * math.Max(now, lasting)
}

// ramp rises from 0 at from to 1 at from+over.
func ramp(x, from, over float64) float64 { return math.Max(0, math.Min(1, (x-from)/over)) }
