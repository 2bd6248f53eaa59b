package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// inTimeQuantile is the share of first events that come within the margin. While no engine
	// has room, engine time that is spent on a request in vain is taken from another one, so
	// a request that is admitted is to be in time more likely than not. A margin at the lower
	// end of the errors lets the queue grow until most requests are late.
	inTimeQuantile = 0.75
	// accuracyStep is the weight of one observation in the logarithm of the margin.
	accuracyStep = 0.05
	// minMargin and maxMargin bound what is learned.
	minMargin = 0.5
	maxMargin = 2.0
)

// Accuracy learns the error of the predicted time to the first event, as a moving quantile
// of the measured time over the predicted one. It is safe for concurrent use.
type Accuracy struct {
	mu        sync.Mutex
	logMargin float64
}

// Observe records the time to a first event and its prediction.
func (a *Accuracy) Observe(measured, predicted time.Duration) {
	if measured <= 0 || predicted <= 0 {
		return
	}
	x := math.Log(measured.Seconds() / predicted.Seconds())
	a.mu.Lock()
	defer a.mu.Unlock()
	step := accuracyStep * inTimeQuantile
	if x < a.logMargin {
		step -= accuracyStep
	}
	a.logMargin = max(math.Log(minMargin), min(math.Log(maxMargin), a.logMargin+step))
}

// Margin returns the factor by which a predicted time is multiplied to get the time within
// which most first events come; 1 before anything is known.
func (a *Accuracy) Margin() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return math.Exp(a.logMargin)
}
