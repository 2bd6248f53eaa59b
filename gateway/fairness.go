package gateway

import (
	"time"

	"go.uber.org/zap"
)

// chargeOrganisation charges the engine time of a call to the organisation of the request,
// and compares the use of the organisation with its fair part.
func (t *streamExecution) chargeOrganisation(c *streamCall) {
	if t.organisation == "" || c.model == "" {
		return
	}
	fairness, now := t.srv.opts.Fairness, c.start
	calls, slots := t.srv.opts.Balancer.Occupancy(t.service.Name)
	s := fairness.Standing(t.organisation, calls, slots, now)
	c.engineTime, c.overFairPart = c.choice.EngineSeconds(t.req.expectedOutput(), c.modelRank), s.Over
	fairness.Charge(t.organisation, c.engineTime, now)
	if !s.Over {
		return
	}
	t.srv.opts.Metrics.countOverFairPart(t.route.Name)
	t.srv.opts.Log.Info("over fair part",
		zap.String("request", t.req.ID), zap.String("route", t.route.Name), zap.String("organisation", t.organisation),
		zap.Float64("use", s.Use), zap.Float64("fair", s.Fair), zap.Int("organisations", s.Organisations), zap.Float64("engine_time", c.engineTime),
		zap.Int("calls", calls), zap.Int("slots", slots))
}

// recordEngineTime records that the engine of a call has begun to answer.
func (c *streamCall) recordEngineTime(now time.Time) {
	c.exec.srv.opts.Fairness.Serve(c.exec.organisation, c.engineTime, now)
}

// returnCharge takes back the charge for a call that was not run.
func (c *streamCall) returnCharge() {
	c.exec.srv.opts.Fairness.Charge(c.exec.organisation, -c.engineTime, time.Now())
	c.engineTime = 0
}
