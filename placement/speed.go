package placement

import (
	"math"
	"time"
)

const (
	// slownessGain is the least weight of one observation in the learned slowness;
	// the first observations weigh more.
	slownessGain = 0.12
	// minSlownessSample is the predicted prefill time in seconds below which the
	// first-event latency says nothing about the slowness and is not used.
	minSlownessSample = 0.01
	// maxSlowness and minSlowness bound the learned slowness.
	maxSlowness = 12.0
	minSlowness = 0.15
	// maxObservationRatio limits the ratio of one observation, and its inverse, to
	// bound the effect of an outlier.
	maxObservationRatio = 4.0
)

// slowness is the learned ratio of measured to predicted time of an upstream, as
// an exponential moving average of its logarithm.
type slowness struct {
	logFactor    float64
	observations float64
	// computed is the factor of computedOf, 0 if there is none yet. It is kept because each
	// choice compares the factors of all upstreams.
	computed, computedOf float64
}

func (s *slowness) factor() float64 {
	if s.computed == 0 || s.computedOf != s.logFactor {
		s.computed, s.computedOf = math.Exp(s.logFactor), s.logFactor
	}
	return s.computed
}

// observe updates the learned slowness with a measured and a predicted time.
func (s *slowness) observe(measured, predicted float64) {
	if predicted <= 0 || measured <= 0 {
		return
	}
	ratio := math.Max(1/maxObservationRatio, math.Min(maxObservationRatio, measured/predicted))
	gain := math.Max(slownessGain, 1/(s.observations+2))
	s.observations++
	s.logFactor += gain * math.Log(ratio)
	s.logFactor = math.Max(math.Log(minSlowness), math.Min(math.Log(maxSlowness), s.logFactor))
}

const (
	// ejectAfter is the number of consecutive failures after which an upstream is
	// ejected. The ejection time doubles with each further failure, from
	// minEjection up to maxEjection.
	ejectAfter  = 2
	minEjection = 700 * time.Millisecond
	maxEjection = 4 * time.Second
	// minUnreachablePause and maxUnreachablePause bound the time for which an
	// upstream is excluded after it could not be reached. The upper bound is also
	// the longest time for which the recovery of a zone goes unnoticed.
	minUnreachablePause = 400 * time.Millisecond
	maxUnreachablePause = 1200 * time.Millisecond
	// zoneFailureLifetime is how long a failure to reach an upstream makes its zone
	// suspected of being cut off.
	zoneFailureLifetime = 2500 * time.Millisecond
	// maxZoneSilence is the time after which a zone is suspected of being cut off
	// if none of at least minZoneCalls calls in flight there receives a byte.
	maxZoneSilence = 300 * time.Millisecond
	minZoneCalls   = 3
	// silentZoneAfter and minSilentUpstreams bound the silence of a zone that is no
	// pause of a single upstream.
	silentZoneAfter    = 600 * time.Millisecond
	minSilentUpstreams = 2
	// suspectPenalty is added, in seconds, to the score of an upstream in a zone
	// that is suspected of being cut off.
	suspectPenalty = 0.8
	// failureGain is the weight of one outcome in the moving average of the failure
	// rate.
	failureGain = 0.15
)

// health tracks the failures of an upstream and the resulting exclusions.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	ejection            time.Duration
	failureRate         float64
	// unreachableUntil is the time until which the upstream is excluded because it
	// could not be reached; unreachablePause is the length of the last exclusion.
	unreachableUntil time.Time
	unreachablePause time.Duration
}

// recordFailure counts a failed call and ejects the upstream after ejectAfter
// consecutive failures.
func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.failureRate += failureGain * (1 - h.failureRate)
	if h.consecutiveFailures < ejectAfter {
		return
	}
	h.ejection = min(maxEjection, max(minEjection, 2*h.ejection))
	h.ejectedUntil = now.Add(h.ejection)
}

// recordUnreachable excludes the upstream for a time that doubles with each call
// that cannot reach it.
func (h *health) recordUnreachable(now time.Time) {
	h.unreachablePause = min(maxUnreachablePause, max(minUnreachablePause, 2*h.unreachablePause))
	h.unreachableUntil = now.Add(h.unreachablePause)
}

// recordSilence ejects the upstream for a short time. It remains the last choice, because
// a sound upstream may pause.
func (h *health) recordSilence(now time.Time) {
	if until := now.Add(minEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// isUnreachable reports whether the upstream is excluded because it could not be
// reached.
func (h *health) isUnreachable(now time.Time) bool { return now.Before(h.unreachableUntil) }

// zone tracks whether an availability zone is reachable from this VM.
type zone struct {
	// lastFailureAt is the time of the last failure to reach an upstream of the
	// zone; lastByteAt is the time of the last byte from any of them.
	lastFailureAt, lastByteAt time.Time
	// unconnectableAt is the time at which this VM last failed to open a connection to an
	// upstream of the zone.
	unconnectableAt time.Time
	// calls counts the calls of this VM in flight to the zone. busySince is the time
	// at which that count last rose from zero.
	calls     int
	busySince time.Time
}

// suspected reports whether the zone may be cut off: either an upstream could not
// be reached within zoneFailureLifetime and no byte has come from the zone since,
// or at least minZoneCalls calls are in flight there and none has received a byte
// for maxZoneSilence.
func (z *zone) suspected(now time.Time) bool {
	if z == nil {
		return false
	}
	if !z.lastFailureAt.IsZero() && now.Sub(z.lastFailureAt) < zoneFailureLifetime && !z.lastByteAt.After(z.lastFailureAt) {
		return true
	}
	return z.calls >= minZoneCalls && now.Sub(z.lastByteAt) > maxZoneSilence && now.Sub(z.busySince) > maxZoneSilence
}

// recordSuccess resets the consecutive failures and backoffs after an answered
// call and lowers the failure rate.
func (h *health) recordSuccess() {
	h.consecutiveFailures, h.ejection, h.unreachablePause = 0, 0, 0
	h.failureRate -= failureGain * h.failureRate
}

// ejected reports whether the upstream is excluded after consecutive failures.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
