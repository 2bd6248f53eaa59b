package bench

import (
	"time"

	"github.com/savoryshift/savoryshift/policy"
)

// flight carries one request through its plan.
type flight struct {
	daemon  *policyDaemon
	q       *request
	req     policy.Request
	running int
	calls   int
	// held is the best answer at hand.
	held     int
	heldGood float64
	tokens   float64
	tried    []int
	released time.Duration
	// judged is set once the rating of the first answer is known.
	judged bool
}

func (f *flight) world() *world { return f.daemon.router.world }

// begin chooses a plan and starts it.
func (f *flight) begin() {
	w := f.world()
	f.held = -1
	plan := f.daemon.planner.Choose(f.daemon.view, &f.req, w.now)
	if plan.Refused() {
		w.refuse(f.q)
		return
	}
	f.q.expected = plan.Quality
	f.start(&plan)
	w.at(f.req.Deadline-fallbackMargin, f.fallback)
}

// start starts the calls of a plan.
func (f *flight) start(plan *policy.Plan) {
	hold := plan.Kind != policy.OneCall
	if f.held >= 0 && !hold {
		left := f.req.Deadline - f.world().now
		hold = float64(plan.Calls[0].Expected)*streamSlack > float64(left)
		f.launch(plan.Calls[0], plan.Priority, hold, false)
		return
	}
	f.launch(plan.Calls[0], plan.Priority, hold, hold)
	for i := 1; i < plan.N; i++ {
		c := plan.Calls[i]
		f.world().after(c.StartAfter, func() {
			if !f.q.done && !f.judged && (f.running > 0 || f.held >= 0) {
				f.launch(c, plan.Priority, true, false)
			}
		})
	}
}

// launch sends one call. A held answer is released as a whole; a rated one
// only after its rating.
func (f *flight) launch(c policy.Call, priority int, hold, rate bool) {
	w, d := f.world(), f.daemon
	if d.router.leastOutstanding {
		c.Upstream = d.leastOutstanding(c)
	}
	live := d.live[c.Upstream]
	live.Begin()
	f.running++
	f.calls++
	backlog := live.InFlight()
	sent := w.send(f.q, c.Version, w.engines[c.Upstream], priority, func(c *call) {
		if !hold && f.released == 0 {
			f.released = w.now
		}
		f.watch(c, w.now)
	}, func(done *call, ok bool) {
		f.running--
		f.observe(done, ok, backlog)
		f.ended(done, ok, hold, rate)
	})
	sent.release = live.End
}

// watch reports the pace of a call while it streams, so that a slow engine is
// noticed before its first answer is whole.
func (f *flight) watch(c *call, first time.Duration) {
	w := f.world()
	w.after(pacePeriod, func() {
		if c.closed || c.state != callRunning {
			return
		}
		c.engine.progress(c)
		f.daemon.planner.ObserveTokenRate(w.load.Versions[c.version].Version, c.engine.spec.ID, w.now-first, c.tokens(), w.now)
	})
}

// ended continues after the end of a call.
func (f *flight) ended(c *call, ok, hold, rate bool) {
	w := f.world()
	switch {
	case f.q.done:
	case !ok:
		f.failed(c)
	case rate && f.daemon.ratingUp && w.now+f.daemon.ratingTime() < f.req.Deadline:
		f.rate(c)
	default:
		first := f.released
		if hold || first == 0 {
			first = w.now
		}
		f.settle(f.daemon.view.Prior(f.req.Class, c.version), true)
		w.deliver(f.q, c.version, first, f.q.expected)
		f.daemon.learnRating(f.q, c.version)
	}
}

// ratingTime is the predicted delay of a rating.
func (d *policyDaemon) ratingTime() time.Duration { return d.view.RatingDelay() }

// rate asks for a rating of a held answer and delivers it when it is good.
func (f *flight) rate(c *call) {
	w, asked := f.world(), f.world().now
	f.hold(c.version, f.daemon.view.Prior(f.req.Class, c.version), c.req.output)
	w.rate(f.q, c.version, func(ok, good bool) {
		if ok {
			f.daemon.noteRating(f.q, c.version, good, w.now-asked)
		} else {
			f.daemon.ratingUp = false
		}
		if f.q.done {
			return
		}
		if !ok || good {
			f.settle(f.daemon.view.Posterior(f.req.Class, c.version, true), ok)
			w.deliver(f.q, c.version, w.now, f.q.expected)
			return
		}
		f.judged = true
		f.heldGood = f.daemon.view.Posterior(f.req.Class, c.version, false)
		f.tried = append(f.tried, c.version)
		f.next(false, -1)
	})
}

// settle reports the final quality of a request to the planner.
func (f *flight) settle(final float64, known bool) {
	if known {
		f.daemon.planner.ObserveFinalQuality(f.req.Class, f.q.expected, final)
	}
}

func (f *flight) hold(version int, good, tokens float64) {
	if f.held < 0 || good >= f.heldGood {
		f.held, f.heldGood = version, good
	}
	f.tokens = tokens
}

// failed continues after a failed call.
func (f *flight) failed(c *call) {
	if f.released > 0 {
		f.req.Versions = []int{c.version}
	}
	f.next(true, c.engine.index)
}

// next asks the planner what follows, unless another call is under way.
func (f *flight) next(failed bool, avoid int) {
	w := f.world()
	if f.running > 0 {
		return
	}
	progress := policy.Progress{Tried: f.tried, Failed: failed, FailedUpstream: avoid, Calls: len(f.tried)}
	if f.held >= 0 {
		progress.Held, progress.Tokens = f.heldGood, f.tokens
	}
	plan := f.daemon.planner.Next(f.daemon.view, &f.req, progress, w.now)
	switch {
	case plan.Refused():
		w.refuse(f.q)
	case plan.N == 0:
		f.settle(f.heldGood, true)
		w.deliver(f.q, f.held, w.now, f.q.expected)
	default:
		if failed {
			f.q.retries++
		}
		f.start(&plan)
	}
}

// fallback releases the answer at hand when the deadline is near.
func (f *flight) fallback() {
	if !f.q.done && f.held >= 0 && f.released == 0 {
		f.settle(f.heldGood, true)
		f.world().deliver(f.q, f.held, f.world().now, f.q.expected)
	}
}

// observe reports the result of a call to the planner and the guard.
func (f *flight) observe(c *call, ok bool, backlog int) {
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
	if len(f.tried) == 0 {
		d.planner.ObserveLength(f.req.Class, c.req.output)
	}
	d.guard.observeServed(c, s.Streaming.Seconds()/max(1, c.req.output))
}

// learnRating asks for the rating of a delivered answer.
func (d *policyDaemon) learnRating(q *request, version int) {
	w, asked := d.router.world, d.router.world.now
	w.rate(q, version, func(ok, good bool) {
		if ok {
			d.noteRating(q, version, good, w.now-asked)
		}
	})
}

func (d *policyDaemon) noteRating(q *request, version int, good bool, delay time.Duration) {
	w := d.router.world
	d.planner.ObserveRating(w.load.Classes[q.class].Name, w.load.Versions[version].Version, good, delay, w.now)
	d.guard.observeRating(q, version, good)
	d.checkGuard()
}

// checkGuard halts the candidate when the guard says so.
func (d *policyDaemon) checkGuard() {
	if halted, _ := d.guard.Halted(); halted {
		d.router.world.halt(d.index)
	}
}
