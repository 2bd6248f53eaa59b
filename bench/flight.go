package bench

import (
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

// inFlightRequest executes the plan of one request.
type inFlightRequest struct {
	daemon       *policyDaemon
	q            *request
	req          policy.Request
	runningCalls int
	calls        int // all calls sent
	// heldVersion is the version of the best answer that is held back, or -1.
	heldVersion   int
	heldQuality   float64       // probability that the held answer is good
	heldTokens    float64       // length of the last held answer
	triedVersions []int         // versions whose answers were rated as bad
	releasedAt    time.Duration // when the first token was sent to the client, or 0
	// ratedBad is set once an answer was rated as bad.
	ratedBad bool
}

func (f *inFlightRequest) world() *world { return f.daemon.router.world }

// begin chooses a plan and starts it, or refuses the request.
func (f *inFlightRequest) begin() {
	w := f.world()
	f.heldVersion = -1
	plan := f.daemon.planner.Choose(f.daemon.view, &f.req, w.now)
	if plan.Refused() {
		w.refuse(f.q)
		return
	}
	f.q.predictedQuality = plan.Quality
	f.startPlan(&plan)
	w.at(f.req.Deadline-fallbackMargin, f.releaseHeld)
}

// startPlan starts the first call of a plan and schedules the others.
func (f *inFlightRequest) startPlan(plan *policy.Plan) {
	hold := plan.Kind != policy.OneCall
	if f.heldVersion >= 0 && !hold {
		left := f.req.Deadline - f.world().now
		hold = float64(plan.Calls[0].Expected)*streamSlack > float64(left)
		f.startCall(plan.Calls[0], plan.Priority, hold, false)
		return
	}
	f.startCall(plan.Calls[0], plan.Priority, hold, hold)
	for i := 1; i < plan.N; i++ {
		c := plan.Calls[i]
		f.world().after(c.StartAfter, func() {
			if !f.q.done && !f.ratedBad && (f.runningCalls > 0 || f.heldVersion >= 0) {
				f.startCall(c, plan.Priority, true, false)
			}
		})
	}
}

// startCall sends one call. With hold, its answer is kept back until it is
// complete instead of being streamed. With rate, the answer is rated before it is
// delivered.
func (f *inFlightRequest) startCall(c policy.Call, priority int, hold, rate bool) {
	w, d := f.world(), f.daemon
	if d.router.leastOutstanding {
		c.Upstream = d.leastOutstanding(c)
	}
	live := d.live[c.Upstream]
	live.Begin()
	f.runningCalls++
	f.calls++
	backlog := live.InFlight()
	sent := w.send(f.q, c.Version, w.engines[c.Upstream], priority, func(c *call) {
		if !hold && f.releasedAt == 0 {
			f.releasedAt = w.now
		}
		f.reportTokenRate(c, w.now)
	}, func(done *call, ok bool) {
		f.runningCalls--
		f.recordResult(done, ok, backlog)
		f.onCallEnd(done, ok, hold, rate)
	})
	sent.release = live.End
}

// reportTokenRate reports the token rate of a call to the planner while it still
// streams, so that a slow engine is noticed before its first answer ends.
func (f *inFlightRequest) reportTokenRate(c *call, first time.Duration) {
	w := f.world()
	w.after(tokenRatePeriod, func() {
		if c.closed || c.state != callRunning {
			return
		}
		c.engine.updateProgress(c)
		f.daemon.planner.ObserveTokenRate(w.load.Versions[c.version].Version, c.engine.spec.ID, w.now-first, c.generatedTokens(), w.now)
	})
}

// onCallEnd rates or delivers the answer of a call, or handles its failure.
func (f *inFlightRequest) onCallEnd(c *call, ok, hold, rate bool) {
	w := f.world()
	switch {
	case f.q.done:
	case !ok:
		f.onCallFailure(c)
	case rate && f.daemon.ratingAvailable && w.now+f.daemon.ratingTime() < f.req.Deadline:
		f.rate(c)
	default:
		first := f.releasedAt
		if hold || first == 0 {
			first = w.now
		}
		f.reportFinalQuality(f.daemon.view.Prior(f.req.Class, c.version), true)
		w.deliver(f.q, c.version, first, f.q.predictedQuality)
		f.daemon.requestRating(f.q, c.version)
	}
}

// ratingTime returns the predicted delay of a rating.
func (d *policyDaemon) ratingTime() time.Duration { return d.view.RatingDelay() }

// rate requests a rating of a held answer. It delivers the answer when the rating
// is good or not available, and continues the plan when it is bad.
func (f *inFlightRequest) rate(c *call) {
	w, requestedAt := f.world(), f.world().now
	f.holdAnswer(c.version, f.daemon.view.Prior(f.req.Class, c.version), c.req.output)
	w.rate(f.q, c.version, func(ok, good bool) {
		if ok {
			f.daemon.recordRating(f.q, c.version, good, w.now-requestedAt)
		} else {
			f.daemon.ratingAvailable = false
		}
		if f.q.done {
			return
		}
		if !ok || good {
			f.reportFinalQuality(f.daemon.view.Posterior(f.req.Class, c.version, true), ok)
			w.deliver(f.q, c.version, w.now, f.q.predictedQuality)
			return
		}
		f.ratedBad = true
		f.heldQuality = f.daemon.view.Posterior(f.req.Class, c.version, false)
		f.triedVersions = append(f.triedVersions, c.version)
		f.continuePlan(false, -1)
	})
}

// reportFinalQuality reports the final quality estimate of a request to the
// planner if known is set.
func (f *inFlightRequest) reportFinalQuality(quality float64, known bool) {
	if known {
		f.daemon.planner.ObserveFinalQuality(f.req.Class, f.q.predictedQuality, quality)
	}
}

// holdAnswer keeps an answer that is at least as good as the one held so far.
func (f *inFlightRequest) holdAnswer(version int, quality, heldTokens float64) {
	if f.heldVersion < 0 || quality >= f.heldQuality {
		f.heldVersion, f.heldQuality = version, quality
	}
	f.heldTokens = heldTokens
}

// onCallFailure continues the plan after a failed call. Once tokens were sent to
// the client, only the same version may go on.
func (f *inFlightRequest) onCallFailure(c *call) {
	if f.releasedAt > 0 {
		f.req.Versions = []int{c.version}
	}
	f.continuePlan(true, c.engine.index)
}

// continuePlan asks the planner for the next step and carries it out: further
// calls, delivery of the held answer, or refusal. It does nothing while another
// call is running.
func (f *inFlightRequest) continuePlan(failed bool, failedUpstream int) {
	w := f.world()
	if f.runningCalls > 0 {
		return
	}
	progress := policy.Progress{Tried: f.triedVersions, Failed: failed, FailedUpstream: failedUpstream, Calls: len(f.triedVersions)}
	if f.heldVersion >= 0 {
		progress.Held, progress.Tokens = f.heldQuality, f.heldTokens
	}
	plan := f.daemon.planner.Next(f.daemon.view, &f.req, progress, w.now)
	switch {
	case plan.Refused():
		w.refuse(f.q)
	case plan.N == 0:
		f.reportFinalQuality(f.heldQuality, true)
		w.deliver(f.q, f.heldVersion, w.now, f.q.predictedQuality)
	default:
		if failed {
			f.q.retries++
		}
		f.startPlan(&plan)
	}
}

// releaseHeld delivers the held answer, if any, shortly before the deadline.
func (f *inFlightRequest) releaseHeld() {
	if !f.q.done && f.heldVersion >= 0 && f.releasedAt == 0 {
		f.reportFinalQuality(f.heldQuality, true)
		f.world().deliver(f.q, f.heldVersion, f.world().now, f.q.predictedQuality)
	}
}

// recordResult reports the result of a call to the engine's live state, the
// planner and the rollout guard.
func (f *inFlightRequest) recordResult(c *call, ok bool, backlog int) {
	w, d := f.world(), f.daemon
	live := d.live[c.engine.index]
	if !ok {
		if !c.fails {
			live.Failed(w.now)
		} else {
			d.guard.observeError(c)
			d.checkGuard()
		}
		return
	}
	live.Succeeded()
	network := w.latency(c.req.daemon, c.engine)
	s := policy.Served{
		Class: f.req.Class, Version: w.load.Versions[c.version].Version, Upstream: c.engine.spec.ID,
		Streaming: w.now - network - c.firstAt, Tokens: c.req.output,
	}
	if d.view.HasFreeSlots(c.engine.index) {
		s.First = c.firstAt - c.sent - network
	}
	d.planner.ObserveServed(s, w.now)
	if len(f.triedVersions) == 0 {
		d.planner.ObserveLength(f.req.Class, c.req.output)
	}
	d.guard.observeServed(c, s.Streaming.Seconds()/max(1, c.req.output))
}

// requestRating requests a rating of a delivered answer, to learn from it.
func (d *policyDaemon) requestRating(q *request, version int) {
	w, requestedAt := d.router.world, d.router.world.now
	w.rate(q, version, func(ok, good bool) {
		if ok {
			d.recordRating(q, version, good, w.now-requestedAt)
		}
	})
}

func (d *policyDaemon) recordRating(q *request, version int, good bool, delay time.Duration) {
	w := d.router.world
	d.planner.ObserveRating(w.load.Classes[q.class].Name, w.load.Versions[version].Version, good, delay, w.now)
	d.guard.observeRating(q, version, good)
	d.checkGuard()
}

// checkGuard halts the candidate at this daemon when its rollout guard does.
func (d *policyDaemon) checkGuard() {
	if halted, _ := d.guard.Halted(); halted {
		d.router.world.halt(d.index)
	}
}
