package gateway

import (
	"sync/atomic"
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
	// silent stream is resumed at another upstream. The rest of the pause is left
	// for that upstream to read the prompt.
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
)

// watchdog cancels a call that makes no progress, so that another upstream can
// take over: after the timeout if the upstream is silent, and after
// slowUpstreamFactor times the timeout if it serves other calls.
type watchdog struct {
	attempt *attempt
	timeout time.Duration
	// retriesLeft is the number of calls that may still replace this one.
	retriesLeft  int
	lastProgress atomic.Int64
	// longestPause is the longest time between two calls of recordProgress.
	longestPause atomic.Int64
	fired        atomic.Bool
	timer        *time.Timer
}

// watch starts a watchdog for the call. Its timeout begins now; runs is the
// number of calls of the request that ran or may have run, including this one.
func (a *attempt) watch(timeout time.Duration, runs int) *watchdog {
	d := &watchdog{attempt: a, timeout: timeout}
	if a.exec.route.Idempotent() {
		d.retriesLeft = max(0, a.exec.route.MaxAttempts-runs)
	}
	d.lastProgress.Store(int64(time.Since(a.start)))
	d.timer = time.AfterFunc(timeout, d.check)
	return d
}

// recordProgress records that the call made progress. It must not be called
// concurrently.
func (d *watchdog) recordProgress() {
	now := int64(time.Since(d.attempt.start))
	if gap := now - d.lastProgress.Swap(now); gap > d.longestPause.Load() {
		d.longestPause.Store(gap)
	}
}

func (d *watchdog) stop() { d.timer.Stop() }

func (d *watchdog) check() {
	now := time.Now()
	idle := now.Sub(d.attempt.start) - time.Duration(d.lastProgress.Load())
	timeout := max(d.timeout, pauseTimeoutFactor*time.Duration(d.longestPause.Load()))
	if d.longestPause.Load() == 0 && d.attempt.call.OnlyCall() {
		timeout *= soleCallFactor
	}
	if d.retriesLeft == 1 && !d.attempt.call.ZoneCutOff(now) {
		timeout *= lastRetryFactor
	}
	switch {
	case idle < timeout:
		d.timer.Reset(timeout - idle)
	case d.attempt.call.SilentFor(now) < silentUpstreamAfter && idle < slowUpstreamFactor*timeout:
		d.timer.Reset(silentUpstreamAfter)
	case d.retriesLeft == 0 || !d.attempt.hasAlternative(now):
		d.timer.Reset(d.timeout)
	default:
		d.fired.Store(true)
		d.attempt.logEvent("silent", zap.Duration("idle", idle), zap.Duration("upstream_silent", d.attempt.call.SilentFor(now)),
			zap.Int("retries_left", d.retriesLeft))
		d.attempt.call.End(placement.Unreachable, now)
		d.attempt.cancel()
	}
}

// hasAlternative reports whether another upstream can take over the call.
func (a *attempt) hasAlternative(now time.Time) bool {
	return a.exec.srv.opts.Balancer.Alternatives(a.choice.Service, a.choice.ID, a.exec.releaseFilter.Prefer, now) > 0
}
