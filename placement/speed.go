package placement

import (
	"math"
	"time"
)

const (
	// speedGain is the weight of one observation of an upstream's speed.
	speedGain = 0.12
	// minSpeedSample is the predicted reading time in seconds below which the
	// first event says nothing about the speed.
	minSpeedSample = 0.01
	// maxSlowness and minSlowness bound what is learned.
	maxSlowness = 12.0
	minSlowness = 0.15
	// observationBound bounds the effect of one outlier.
	observationBound = 4.0
)

// speed is the learned slowness of an upstream: measured time by predicted time.
type speed struct {
	log float64
	n   float64
}

func (s *speed) slowness() float64 { return math.Exp(s.log) }

// observe notes how a measured time compares with the prediction.
func (s *speed) observe(measured, predicted float64) {
	if predicted <= 0 || measured <= 0 {
		return
	}
	ratio := math.Max(1/observationBound, math.Min(observationBound, measured/predicted))
	gain := math.Max(speedGain, 1/(s.n+2))
	s.n++
	s.log += gain * math.Log(ratio)
	s.log = math.Max(math.Log(minSlowness), math.Min(math.Log(maxSlowness), s.log))
}

const (
	// ejectAfter is the number of failures in a row after which an upstream is
	// avoided; the pause doubles up to maxEjection.
	ejectAfter  = 2
	minEjection = 700 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureGain is the weight of one outcome in the failure rate.
	failureGain = 0.15
)

// health is what outcomes of calls say about an upstream.
type health struct {
	row     int
	until   time.Time
	pause   time.Duration
	failing float64
}

// fail notes a failed call.
func (h *health) fail(now time.Time) {
	h.row++
	h.failing += failureGain * (1 - h.failing)
	if h.row < ejectAfter {
		return
	}
	h.pause = min(maxEjection, max(minEjection, 2*h.pause))
	h.until = now.Add(h.pause)
}

// succeed notes an answered call.
func (h *health) succeed() {
	h.row, h.pause = 0, 0
	h.failing -= failureGain * h.failing
}

// ejected reports whether the upstream is avoided.
func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }
