package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
)

const (
	// silentUpstreamAfter is the time after which an upstream that has sent no byte
	// for any call of this VM counts as silent rather than slow.
	silentUpstreamAfter = 600 * time.Millisecond
	// firstEventTimeoutFactor is the timeout of the first event, as a multiple of
	// its predicted time.
	firstEventTimeoutFactor = 3
	// minFirstEventTimeout is the minimum timeout of the first event.
	minFirstEventTimeout = 900 * time.Millisecond
	// pauseTimeoutShare is the fraction of the route's maximum pause after which a
	// replacement is sought for a silent stream. The rest of the pause is left for
	// its upstream to read the prompt.
	pauseTimeoutShare = 0.75
	// pauseTimeoutFactor is the minimum timeout of a pause, as a multiple of the
	// longest pause of the call so far.
	pauseTimeoutFactor = 2
	// defaultPauseTimeout is used if the route sets no maximum pause.
	defaultPauseTimeout = 1500 * time.Millisecond
	// lastRetryFactor extends the timeout if only one retry is left, because the
	// response is lost if that retry fails too.
	lastRetryFactor = 2
	// soleCallFactor extends the timeout of the first event if the call is the only
	// one of this VM at its upstream. No other call then shows whether the
	// upstream is alive.
	soleCallFactor = 2
	// slowUpstreamFactor extends the timeout while the upstream still sends bytes
	// for other calls.
	slowUpstreamFactor = 4
	// maxOverlap is how long a silent call and its candidate run together. The platform
	// allows 400 ms for two calls that work on the same stream.
	maxOverlap = 300 * time.Millisecond
	// maxEscalationOverlap is the same for a call to a larger model. Upstreams refuse
	// within milliseconds, and the smaller model works in vain meanwhile.
	maxEscalationOverlap = 50 * time.Millisecond
	// newsPollInterval is the delay of a check while a result or an event waits to be
	// handled.
	newsPollInterval = 2 * time.Millisecond
	// probePollInterval is the interval at which a silent call is checked for the result of
	// a probe of its upstream.
	probePollInterval = 50 * time.Millisecond
	// silencePollInterval is the interval at which a silent call without a candidate is
	// checked for signs that its upstream has failed.
	silencePollInterval = 100 * time.Millisecond
)

// pauseTimeout returns the time without an event after which a stream counts as
// silent.
func (t *streamExecution) pauseTimeout() time.Duration {
	if timeout := time.Duration(pauseTimeoutShare * float64(t.route.MaxPause)); timeout > 0 {
		return timeout
	}
	return defaultPauseTimeout
}

// firstCheck returns the time without progress after which a call is first checked.
func (t *streamExecution) firstCheck(c *streamCall) time.Duration {
	return min(c.timeout, t.probeAfter(c))
}

// checkCalls ends the overlap of the current call and its candidate, or makes a candidate
// if the current call is silent. It returns the time until the next check.
func (t *streamExecution) checkCalls(now time.Time) time.Duration {
	if t.candidate == nil {
		return t.seekReplacement(now)
	}
	overlap := maxOverlap
	if t.escalating {
		overlap = maxEscalationOverlap
	}
	if left := overlap - now.Sub(t.candidate.start); left > 0 {
		return left
	}
	switch {
	case t.candidate.hasNews() || !t.escalating && t.current.hasNews():
		return newsPollInterval
	case t.candidateTakesOver(now):
		t.replaceCurrent()
		return t.firstCheck(t.current)
	}
	t.current.triedEarly, t.current.tried = true, t.candidate.choice.ID
	t.dropCandidate()
	return silencePollInterval
}

// candidateTakesOver reports whether the candidate, which has delivered nothing by the end
// of the overlap, replaces the current call. A smaller model is asked again if the larger
// one fails.
func (t *streamExecution) candidateTakesOver(now time.Time) bool {
	mayRetry := t.mayRetryAfter(t.candidate)
	if t.escalating {
		return mayRetry
	}
	return t.silence(now).yieldsTo(mayRetry, t.candidate.accepted)
}

// mayRetryAfter reports whether the request could be called once more if c, whose result
// is not known, fails.
func (t *streamExecution) mayRetryAfter(c *streamCall) bool {
	runs := t.runs
	for _, call := range []*streamCall{t.current, c} {
		if call.isUncounted() {
			runs++
		}
	}
	return runs < t.route.MaxAttempts && t.sends < maxSends && t.mayCall(time.Now()) && t.hasRetries(1)
}

// mayRetryTwice reports whether the request could be called once more if its next call
// fails. The last send is kept for a stream that breaks.
func (t *streamExecution) mayRetryTwice() bool {
	return t.retriesLeft() >= 2 && t.sends < maxSends-2 && t.hasRetries(2)
}

// seekReplacement makes a candidate if the current call has been silent for too long
// and another upstream can take the call. It returns the time until the next check.
func (t *streamExecution) seekReplacement(now time.Time) time.Duration {
	c, s := t.current, t.silence(now)
	probeAfter := t.probeAfter(c)
	least := max(c.timeout, pauseTimeoutFactor*c.longestPause)
	if s.failed() {
		least = min(least, probeAfter)
	}
	timeout := t.silenceTimeout(s, least)
	switch {
	case s.idle < min(least, probeAfter):
		return min(least, probeAfter) - s.idle
	case s.idle < least:
		t.probe(c, s, now)
		return min(probePollInterval, least-s.idle)
	case s.idle < timeout:
		t.probe(c, s, now)
		return min(silencePollInterval, timeout-s.idle)
	case c.hasNews():
		return newsPollInterval
	case s.sign == "" && s.upstreamSilent < silentUpstreamAfter && s.idle < slowUpstreamFactor*timeout:
		return silentUpstreamAfter
	case t.retriesLeft() == 0 || t.sends >= maxSends-1 || !c.hasAlternative(now):
		// The last send is kept for a stream that breaks.
		return c.timeout
	case s.isEarly() && (c.triedEarly || s.endsSoon() || !t.mayRetryTwice()):
		return min(silencePollInterval, s.untilLate())
	}
	next := t.placeReplacement(s)
	if next == nil {
		c.triedEarly = true
		if s.isEarly() {
			return min(silencePollInterval, s.untilLate())
		}
		return c.timeout
	}
	c.logEvent("silent", append(t.stateFields(s), zap.String("candidate", next.choice.ID), zap.Float64("candidate_predicted", next.choice.FirstEvent))...)
	t.dropReserve()
	t.candidate = t.begin(next, t.modelRank)
	return maxOverlap
}

// silence returns what is known about the silence of the current call.
func (t *streamExecution) silence(now time.Time) silence {
	c, expected := t.current, time.Duration(0)
	if !c.accepted {
		expected = time.Duration(c.choice.FirstEvent * float64(time.Second))
	}
	lastDelivery := t.start
	if t.response.begun() {
		lastDelivery = t.lastEventAt
	}
	leaves := lastDelivery.Add(clientPatience(t.route))
	if t.deadline.Before(leaves) {
		leaves = t.deadline
	}
	last := t.candidate == nil && !t.mayRetryTwice() || t.candidate != nil && !t.mayRetryAfter(t.candidate)
	return silence{
		idle: now.Sub(c.lastProgress), limit: soundPauseLimit(expected, leaves.Sub(c.lastProgress), last),
		upstreamSilent: c.call.SilentFor(now), sign: c.call.FailureSign(now),
	}
}

// silenceTimeout returns the time without progress after which a replacement is sought
// for the current call: the least one, extended if nothing shows that the upstream has
// failed. The extensions end where the silence is no pause any more.
func (t *streamExecution) silenceTimeout(s silence, least time.Duration) time.Duration {
	if s.sign != "" {
		return least
	}
	extended := least
	if t.current.longestPause == 0 && t.current.call.OnlyCall() {
		extended *= soleCallFactor
	}
	if t.retriesLeft() == 1 {
		extended *= lastRetryFactor
	}
	return min(extended, max(least, s.limit-maxOverlap))
}

// retriesLeft returns the number of calls that may still be made after the current one
// and its candidate.
func (t *streamExecution) retriesLeft() int {
	if !t.route.Idempotent() {
		return 0
	}
	left := t.route.MaxAttempts - t.runs
	for _, c := range []*streamCall{t.current, t.candidate} {
		if c != nil && c.isUncounted() {
			left--
		}
	}
	return max(0, left)
}

// placeReplacement places a call at an upstream other than that of the current call. It
// returns nil if there is none, if the retry budget does not allow the call, or if the
// prompt alone takes longer than an early candidate has. The load that peers report may
// have gone by then.
func (t *streamExecution) placeReplacement(s silence) *attempt {
	t.exclude(t.current.choice.ID)
	next := t.placeBeside(t.current.tried)
	if next == nil {
		// Upstreams that refused or failed the request may take it at the next check.
		clear(t.excluded)
		return nil
	}
	// Silence is no reason for the session to change its release.
	changes := t.response.begun() && next.choice.Release != t.current.choice.Release
	late := s.isEarly() && time.Duration((next.choice.FirstEvent-next.choice.Wait)*float64(time.Second)) > maxOverlap
	if changes || late || !t.chargeRetry() {
		t.unplace(next)
		return nil
	}
	return next
}

// placeBeside places a call at an upstream other than the given one, and at that one if no
// other can take the call.
func (t *streamExecution) placeBeside(id string) *attempt {
	if id != "" && !t.excluded[id] {
		t.excluded[id] = true
		next := t.place(t.ctx, t.modelName(), t.modelRank)
		delete(t.excluded, id)
		if next != nil {
			return next
		}
	}
	return t.place(t.ctx, t.modelName(), t.modelRank)
}

// hasAlternative reports whether another upstream can take over the call.
func (a *attempt) hasAlternative(now time.Time) bool {
	return a.exec.srv.opts.Balancer.Alternatives(a.choice.Service, a.choice.ID, a.exec.releaseFilter.Prefer, now) > 0
}

// replaceCurrent ends the current call and makes the candidate the current one.
func (t *streamExecution) replaceCurrent() {
	old, now, fields := t.current, time.Now(), t.overlapFields()
	if !old.responded {
		t.recordDropped(old)
		t.anyCallFailed = true
	}
	switch {
	case t.escalating:
		old.end(placement.Answered)
	case t.mayReturnTo(old, now):
		t.keepReserve(old, now)
	default:
		old.end(placement.Silent)
	}
	t.recordServed(t.candidate.attempt)
	if !t.escalating {
		t.exclude(old.choice.ID)
		old.logEvent("replaced", append(fields, zap.String("by", t.candidate.choice.ID))...)
	}
	t.advance()
}

// dropCandidate cancels the candidate because the current call goes on.
func (t *streamExecution) dropCandidate() {
	if t.candidate == nil {
		return
	}
	fields := t.overlapFields()
	t.recordDropped(t.candidate)
	t.candidate.end(placement.Neutral)
	t.candidate.logEvent("not needed", fields...)
	t.forgetCandidate()
}

// stateFields returns the log fields of a silence and of what is left to the request.
func (t *streamExecution) stateFields(s silence) []zap.Field {
	return []zap.Field{
		zap.Duration("idle", s.idle), zap.Duration("limit", s.limit), zap.Duration("upstream_silent", s.upstreamSilent), zap.String("sign", string(s.sign)),
		zap.Int("retries_left", t.retriesLeft()), zap.Bool("budget_left", t.hasRetries(1)),
	}
}

// overlapFields returns the log fields of the end of an overlap.
func (t *streamExecution) overlapFields() []zap.Field {
	now := time.Now()
	return append(t.stateFields(t.silence(now)), zap.Bool("candidate_responded", t.candidate.responded),
		zap.Duration("candidate_silent", now.Sub(t.candidate.lastProgress)), zap.Duration("overlap", now.Sub(t.candidate.start)))
}

// recordDropped counts a call that is cancelled before its result is known, and that
// may therefore have run.
func (t *streamExecution) recordDropped(c *streamCall) {
	if c.isUncounted() {
		t.runs++
		t.mayHaveRun, c.counted = true, true
	}
}

// recordResponse counts a call by its result class, which tells whether it has run.
func (t *streamExecution) recordResponse(c *streamCall, class resultClass) {
	if c.counted {
		c.counted = false
		t.runs--
	}
	t.recordResult(c.attempt, class)
}

// dropCalls cancels the calls that are left when the request ends.
func (t *streamExecution) dropCalls() {
	t.dropReserve()
	for _, c := range []*streamCall{t.current, t.candidate} {
		if c != nil {
			c.end(placement.Neutral)
		}
	}
}
