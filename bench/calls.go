package bench

import "time"

// rate asks the rating service. done gets false as first value when the
// service cannot be reached.
func (w *world) rate(q *request, version int, done func(ok, good bool)) {
	if !w.platformReachable(q.daemon) {
		w.after(ratingTimeout, func() { done(false, false) })
		return
	}
	good := w.isGood(q, version)
	if uniformDraw(w.seed, 6, uint64(q.id), uint64(w.modelOf[version])) >= w.load.Rating.Accuracy {
		good = !good
	}
	w.after(w.ratingDelay, func() {
		ok := w.platformReachable(q.daemon)
		if ok && !q.done {
			if q.ratings == nil {
				q.ratings = map[int]bool{}
			}
			q.ratings[version] = good
		}
		done(ok, good)
	})
}

// send dispatches a call. onFirst may be nil.
func (w *world) send(q *request, version int, e *engine, priority int, onFirst func(*call), onEnd func(*call, bool)) *call {
	w.callSeq++
	q.calls++
	c := &call{req: q, version: version, engine: e, priority: priority, seq: w.callSeq, sent: w.now, onFirst: onFirst, onEnd: onEnd}
	c.fails = uniformDraw(w.seed, 7, uint64(q.id), uint64(version), uint64(q.calls)) < w.errors[version]
	if w.bad[version] >= 0 {
		w.badCalls++
	}
	q.open = append(q.open, c)
	w.pin(q, version)
	if !w.reachable(q.daemon, e) {
		w.failCall(c, cutTimeout)
		return c
	}
	w.after(w.latency(q.daemon, e), func() { e.arrive(c) })
	return c
}

func (w *world) firstToken(c *call) {
	if c.closed || !w.reachable(c.req.daemon, c.engine) {
		return
	}
	w.firstTokens = append(w.firstTokens, w.now-c.sent)
	if c.onFirst != nil {
		c.onFirst(c)
	}
}

// finishCall carries the whole answer to the daemon.
func (w *world) finishCall(c *call) {
	if !w.reachable(c.req.daemon, c.engine) {
		w.failCall(c, cutTimeout)
		return
	}
	w.after(w.latency(c.req.daemon, c.engine), func() { w.closeCall(c, true) })
}

func (w *world) failCall(c *call, after time.Duration) {
	w.after(after, func() { w.closeCall(c, false) })
}

func (w *world) closeCall(c *call, ok bool) {
	if c.closed {
		return
	}
	c.closed = true
	w.charge(c)
	c.free()
	if c.onEnd != nil {
		c.onEnd(c, ok)
	}
}

// cancel gives a call up. What it has used is charged.
func (w *world) cancel(c *call) {
	if c.closed {
		return
	}
	c.closed = true
	c.engine.cancel(c)
	w.charge(c)
	c.free()
}

func (c *call) free() {
	if c.release != nil {
		c.release()
	}
}

// charge adds the cost of what a call has used. A prompt token costs a fifth
// of a generated one; a call that never started costs nothing.
func (w *world) charge(c *call) {
	if c.started == 0 && c.workFirst == 0 {
		return
	}
	price := w.load.Versions[c.version].CostPer1kOutput / 1000
	c.req.cost += price * (c.tokens() + c.req.prompt/5)
}

// refuse ends a request without an answer.
func (w *world) refuse(q *request) {
	if !q.done {
		q.done, q.refused = true, true
		w.giveUp(q)
	}
}

// deliver hands the whole answer of a version to the caller. first is the
// time at which its first token was released.
func (w *world) deliver(q *request, version int, first time.Duration, expected float64) {
	if q.done {
		return
	}
	q.done = true
	q.total = w.now - q.arrived
	q.answered = q.total+w.clientLatency() <= q.deadline+q.leaves
	q.firstToken = first - q.arrived
	q.version = version
	q.good = w.isGood(q, version)
	q.chance = w.chance(q, version)
	q.expected = expected
	w.giveUp(q)
}

// chance is the true probability that the answer of a version is good, given
// its rating if there is one. Its mean is the quality with less noise.
func (w *world) chance(q *request, version int) float64 {
	quality, a := w.trueQuality(version, q.class), w.load.Rating.Accuracy
	good, rated := q.ratings[version]
	switch {
	case !rated:
		return quality
	case good:
		return quality * a / (quality*a + (1-quality)*(1-a))
	}
	return quality * (1 - a) / (quality*(1-a) + (1-quality)*a)
}

func (w *world) giveUp(q *request) {
	for _, c := range q.open {
		w.cancel(c)
	}
	q.open = nil
}
