package gateway

import (
	"time"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// maxSoundPause is the silence up to which a call is expected to go on, beyond the
	// predicted time of its first event, unless there is a sign that its upstream has
	// failed. The platform says that a sound upstream may be silent for a second or so.
	maxSoundPause = 2200 * time.Millisecond
	// maxLastSoundPause replaces it if no call is left after the one that would replace the
	// silent call.
	maxLastSoundPause = 4400 * time.Millisecond
	// replacementReserve is kept of the time that the client waits for a call that
	// replaces a silent one.
	replacementReserve = 600 * time.Millisecond
	// minClientPatience, clientPatienceObjectives and clientPatiencePauses determine the
	// gap in a stream after which clients leave.
	minClientPatience        = 2 * time.Second
	clientPatienceObjectives = 4
	clientPatiencePauses     = 8
)

// clientPatience returns the time without an event after which the clients of a route
// leave.
func clientPatience(route *routing.Route) time.Duration {
	return max(minClientPatience, clientPatienceObjectives*route.Objective, clientPatiencePauses*route.MaxPause)
}

// soundPauseLimit returns the silence up to which a call may be sound and only paused.
// expected is the predicted time of its next event, waits how long the client waits; last
// is set if the call that would replace it is the last one.
func soundPauseLimit(expected, waits time.Duration, last bool) time.Duration {
	longest := maxSoundPause
	if last {
		longest = maxLastSoundPause
	}
	return min(expected+longest, waits-replacementReserve)
}

// silence is what is known about a call that makes no progress.
type silence struct {
	// idle is the time since its last progress, limit the one up to which it may be sound.
	idle, limit time.Duration
	// upstreamSilent is the time since the upstream sent a byte for any call.
	upstreamSilent time.Duration
	sign           placement.FailureSign
}

// maybeSound reports whether the call may be sound and only paused.
func (s silence) maybeSound() bool { return s.sign == "" && s.idle < s.limit }

// untilLate returns the time until a candidate may replace the call without having
// delivered.
func (s silence) untilLate() time.Duration { return s.limit - maxOverlap - s.idle }

// isEarly reports whether the call may still be sound at the end of the overlap with a
// candidate that is made now. Such a candidate replaces it only with its first event.
func (s silence) isEarly() bool { return s.sign == "" && s.untilLate() > 0 }

// endsSoon reports whether a candidate that is made now would be dropped right before
// one may replace the call.
func (s silence) endsSoon() bool { return s.untilLate() < maxOverlap }

// yieldsTo reports whether a candidate that has delivered nothing by the end of the
// overlap replaces the call. A candidate that is the last call of the request must have
// been accepted, or the upstream of the silent call be silent for all its calls.
func (s silence) yieldsTo(mayRetry, accepted bool) bool {
	return !s.maybeSound() && (mayRetry || accepted || s.upstreamSilent >= silentUpstreamAfter)
}
