package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
)

// reserve is a silent call that was replaced although its upstream shows no sign of a
// failure. Until the overlap with its replacement is over, it is kept in case that the
// stream breaks off and no other call can be made.
type reserve struct {
	call *streamCall
	// expiry ends the call, also while the request waits for its client.
	expiry *time.Timer
}

// mayReturnTo reports whether the current call could continue the stream again after the
// candidate has delivered events of it.
func (t *streamExecution) mayReturnTo(c *streamCall, now time.Time) bool {
	return t.route.Resumable && c.choice.Release == t.candidate.choice.Release && c.call.FailureSign(now) == "" && t.overlapLeft(now) > 0
}

// overlapLeft returns the time for which the current call and the candidate may still run
// together.
func (t *streamExecution) overlapLeft(now time.Time) time.Duration {
	return maxOverlap - now.Sub(t.candidate.start)
}

// keepReserve keeps a call that the candidate replaces, until the overlap is over.
func (t *streamExecution) keepReserve(c *streamCall, now time.Time) {
	c.call.RecordSilence(now)
	t.reserve = reserve{call: c, expiry: time.AfterFunc(t.overlapLeft(now), func() { c.end(placement.Neutral) })}
}

// dropReserve ends the call that is kept in reserve, if there is one.
func (t *streamExecution) dropReserve() {
	if t.reserve.call != nil {
		t.reserve.expiry.Stop()
		t.reserve.call.end(placement.Neutral)
		t.reserve.call = nil
	}
}

// returnToReserve takes the call that is kept in reserve. It returns nil if there is none,
// if it has expired, or if it cannot continue what the client has received since.
func (t *streamExecution) returnToReserve() *streamCall {
	c := t.reserve.call
	if c == nil || !t.mayContinue(c) || !t.reserve.expiry.Stop() {
		t.dropReserve()
		return nil
	}
	t.reserve.call = nil
	c.rejoined, c.caughtUp = true, false
	c.logEvent("returned to", zap.String("last_event", t.lastEventID), zap.Bool("news", c.hasNews()))
	return c
}

// mayContinue reports whether the call in reserve produces the same stream as the calls
// since, as far as is known, and its events can be compared with theirs.
func (t *streamExecution) mayContinue(c *streamCall) bool {
	return t.sequence.numbered && c.choice.Release == t.streamRelease && (!c.accepted || t.continues(c))
}

// isRepeated reports whether the client has received an event of a rejoined call from
// another one.
func (t *streamExecution) isRepeated(c *streamCall, event streamEvent) bool {
	if !c.rejoined || c.caughtUp {
		return false
	}
	n, err := strconv.ParseInt(event.id, 10, 64)
	if err != nil || n > t.sequence.last {
		return event.id == "" && isComment(event.data)
	}
	c.caughtUp = n == t.sequence.last
	return true
}
