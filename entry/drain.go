package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is the interval at which a stopping VM checks whether requests
	// are in flight, and lastPollInterval the one at its end.
	drainPollInterval = 50 * time.Millisecond
	lastPollInterval  = 5 * time.Millisecond
	// minDrainTime is the minimum time for which a stopping VM serves if the grace period
	// allows it. The load balancer probes readiness once a second and removes a VM after
	// two failed probes.
	minDrainTime = 3500 * time.Millisecond
	// quietTime is the time without a request after which a stopping VM may end early. The
	// clients that still use it send their next requests within less.
	quietTime = 300 * time.Millisecond
	// exitTime and exitShare are the part of the grace period that is reserved for the
	// exit of the process: the lesser of the two.
	exitTime  = 300 * time.Millisecond
	exitShare = 0.25
	// answerTime and answerShare are the part of the grace period before it, in which the
	// requests that the stop has ended are answered.
	answerTime  = 200 * time.Millisecond
	answerShare = 0.125
	// unreadTime is how long connections are kept at the end on which a part of a request
	// has been read or a part of a response may not have been written.
	unreadTime = 200 * time.Millisecond
)

// drainTimes are the times of a planned stop: the signal, the end of the calls to
// upstreams, and the exit of the process.
type drainTimes struct{ signal, end, exit time.Time }

func newDrainTimes(signal time.Time, grace time.Duration) drainTimes {
	part := func(most time.Duration, share float64) time.Duration {
		return min(most, time.Duration(share*float64(grace)))
	}
	exit := signal.Add(grace - part(exitTime, exitShare))
	return drainTimes{signal: signal, exit: exit, end: exit.Add(-part(answerTime, answerShare))}
}

// drain waits until ctx ends, which is the signal to stop, and then serves until no
// request is in flight, for at least minDrainTime and at most until the grace period
// ends. It returns at once when the run group ends for another reason.
func (e *Entry) drain(ctx context.Context, stopped <-chan struct{}) error {
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
	}
	times := newDrainTimes(time.Now(), e.opts.Settings.Bounds.Grace)
	e.stopping.Store(true)
	e.gateway.Stop(times.signal, times.end)
	e.fleet.SetStopping()
	e.log.Info("stopping", zap.Int("active", e.gateway.Active()), zap.Duration("grace", e.opts.Settings.Bounds.Grace),
		zap.Duration("calls_end_after", times.end.Sub(times.signal)), zap.Strings("refused_at_once", e.gateway.RoutesBeyond(times.end.Sub(times.signal))))
	e.serveUntilIdle(times)
	e.gateway.RefuseCalls()
	e.answerTheRest(times)
	e.log.Info("stopped", zap.Int("active", e.gateway.Active()), zap.Int("connections", e.idle.Close()), zap.Duration("took", time.Since(times.signal)))
	return nil
}

// serveUntilIdle serves until no request comes any more or the calls to upstreams end. Idle
// connections stay open until then: a request that crosses their close has no answer, while
// one that is read is served or refused, and asks its client to close the connection.
func (e *Entry) serveUntilIdle(times drainTimes) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	busy, received := times.signal, e.gateway.Received()
	for now := times.signal; now.Before(times.end); now = time.Now() {
		if n := e.gateway.Received(); n != received || e.gateway.Active() > 0 {
			busy, received = now, n
		}
		if now.Sub(times.signal) >= minDrainTime && now.Sub(busy) >= quietTime {
			return
		}
		select {
		case <-tick.C:
		case <-time.After(times.end.Sub(now)):
		}
	}
}

// answerTheRest accepts no further connection and waits until every request that has been
// read is answered. Requests that were passed on before are ended with the calls.
func (e *Entry) answerTheRest(times drainTimes) {
	unreadUntil := time.Now().Add(unreadTime)
	for now := time.Now(); e.idle.Close() > 0 && now.Before(times.exit); now = time.Now() {
		if !now.Before(times.end) {
			e.gateway.EndCalls()
		}
		if e.gateway.Active() > 0 {
			unreadUntil = now.Add(unreadTime)
		}
		if now.After(unreadUntil) {
			return
		}
		time.Sleep(lastPollInterval)
	}
}
