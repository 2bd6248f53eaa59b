package gateway

import (
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
}
