package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// recordNotices records what the response says about further calls to the upstream. It
// must be called only for a response of this upstream to this request: another instance
// may have taken over the address.
func (a *attempt) recordNotices() {
	now, instance, opts := time.Now(), a.choice.Instance(), &a.exec.srv.opts
	if a.responseHeader.Leaving && opts.Balancer.RecordLeaving(instance, now) {
		opts.Metrics.countCallEvent("upstream leaving")
		opts.Log.Info("upstream leaving",
			zap.String("request", a.exec.req.ID), zap.String("upstream", instance.ID), zap.Int64("incarnation", instance.Incarnation))
	}
	opts.Balancer.RecordCold(instance, a.responseHeader.ColdLeft, now)
	if pause := a.requestedPause(); pause > 0 && opts.Balancer.RecordPause(instance, pause, now) {
		opts.Metrics.countCallEvent("upstream paused")
		opts.Log.Info("upstream paused",
			zap.String("request", a.exec.req.ID), zap.String("upstream", instance.ID), zap.Int64("incarnation", instance.Incarnation),
			zap.Duration("pause", pause))
	}
}

// requestedPause returns the time for which the upstream wants no calls. In a response
// below 500 Retry-After is about the requested resource or about its client, and not
// about the upstream.
func (a *attempt) requestedPause() time.Duration {
	if a.responseHeader.Status < http.StatusInternalServerError {
		return 0
	}
	return a.responseHeader.RetryAfter
}
