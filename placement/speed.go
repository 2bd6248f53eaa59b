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
	// minDark and maxDark bound the time for which an upstream that could not be
	// reached is left out. The upper one is how long the return of a zone may go
	// unnoticed.
	minDark = 400 * time.Millisecond
	maxDark = 1200 * time.Millisecond
	// zoneMemory is how long failures to reach a zone count.
	zoneMemory = 2500 * time.Millisecond
	// zoneSilence is the time without a byte for any of at least minZoneCalls
	// calls after which a zone may be cut off.
	zoneSilence  = 300 * time.Millisecond
	minZoneCalls = 3
	// suspectPenalty is added, in seconds, for a zone that may be cut off.
	suspectPenalty = 0.8
	// failureGain is the weight of one outcome in the failure rate.
	failureGain = 0.15
)

// health is what outcomes of calls say about an upstream.
type health struct {
	row     int
	until   time.Time
	pause   time.Duration
	failing float64
	// darkUntil is the time until which an upstream that could not be reached is
	// left out, darkPause the last such time span.
	darkUntil time.Time
	darkPause time.Duration
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

// unreachable notes that an upstream could not be reached.
func (h *health) unreachable(now time.Time) {
	h.darkPause = min(maxDark, max(minDark, 2*h.darkPause))
	h.darkUntil = now.Add(h.darkPause)
}

// dark reports whether an upstream is left out because it cannot be reached.
func (h *health) dark(now time.Time) bool { return now.Before(h.darkUntil) }

// zone is what is known of the way to an availability zone.
type zone struct {
	// failed is the last failure to reach an upstream of the zone, heard the last
	// byte from any of them.
	failed, heard time.Time
	// calls counts the calls of this VM in flight there; busy is when the first
	// of them was sent.
	calls int
	busy  time.Time
}

// suspect reports whether the zone may be cut off: an upstream could not be
// reached lately and none was heard of since, or none of the calls there gets
// a byte.
func (z *zone) suspect(now time.Time) bool {
	if z == nil {
		return false
	}
	if now.Sub(z.failed) < zoneMemory && !z.heard.After(z.failed) {
		return true
	}
	return z.calls >= minZoneCalls && now.Sub(z.heard) > zoneSilence && now.Sub(z.busy) > zoneSilence
}

// succeed notes an answered call.
func (h *health) succeed() {
	h.row, h.pause, h.darkPause = 0, 0, 0
	h.failing -= failureGain * h.failing
}

// ejected reports whether the upstream is avoided.
func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }
