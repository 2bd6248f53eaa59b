package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
)

const (
	// probePauseShare is the fraction of the pause timeout of the route after which the
	// upstream of a silent call is probed; minProbeAfter and maxProbeAfter bound the time.
	// The rest of the pause is left for the probe and for another upstream to read the
	// prompt.
	probePauseShare = 0.2
	minProbeAfter   = 100 * time.Millisecond
	maxProbeAfter   = 300 * time.Millisecond
)

// probeAfter returns the time without progress after which the upstream of a call is
// probed.
func (t *streamExecution) probeAfter(c *streamCall) time.Duration {
	after := max(minProbeAfter, min(maxProbeAfter, time.Duration(probePauseShare*float64(t.pauseTimeout()))))
	if !c.accepted {
		after += time.Duration(c.choice.FirstEvent * float64(time.Second))
	}
	return after
}

// probe opens a connection to the upstream of a silent call, unless one was opened since
// its last progress. An upstream that only pauses accepts connections, but one that has
// ended or is cut off does not. The state of the call is checked again if the probe fails.
func (t *streamExecution) probe(c *streamCall, s silence, now time.Time) {
	if c.probed || s.sign != "" || s.upstreamSilent < t.probeAfter(c) {
		return
	}
	c.probed = true
	if !c.call.BeginProbe(now) {
		return
	}
	srv := t.srv
	go func() {
		// The probe serves all calls at the upstream, so it outlives this one.
		began := time.Now()
		err := srv.opts.Pool.Probe(context.Background(), c.choice.Address)
		c.call.EndProbe(err == nil, time.Now())
		if err == nil {
			return
		}
		srv.opts.Metrics.countCallEvent("probe failed")
		srv.opts.Log.Info("probe failed", zap.String("request", c.exec.req.ID), zap.String("upstream", c.choice.ID),
			zap.Duration("idle", s.idle), zap.Duration("took", time.Since(began)), zap.Error(err))
	}()
}

// failed reports whether a sign shows that the upstream no longer serves the call. A
// registration may lapse while the upstream goes on.
func (s silence) failed() bool { return s.sign != "" && s.sign != placement.Unregistered }
