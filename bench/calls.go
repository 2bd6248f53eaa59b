package bench

import "time"

// rate requests a rating of the answer of a version. done is called with the
// rating, or with ok false when the rating service cannot be reached.
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

// send sends a call to an engine. onFirstToken is called at its first token and
// may be nil. onEnd is called at the end of the call unless the call is cancelled.
func (w *world) send(q *request, version int, e *engine, priority int, onFirstToken func(*call), onEnd func(*call, bool)) *call {
	w.callSeq++
	q.calls++
	c := &call{req: q, version: version, engine: e, priority: priority, seq: w.callSeq, sent: w.now, onFirstToken: onFirstToken, onEnd: onEnd}
	c.fails = uniformDraw(w.seed, 7, uint64(q.id), uint64(version), uint64(q.calls)) < w.errorProbability[version]
	if w.badSince[version] >= 0 {
		w.badCalls++
	}
	q.openCalls = append(q.openCalls, c)
	w.pin(q, version)
	if !w.reachable(q.daemon, e) {
		w.failCall(c, unreachableTimeout)
		return c
	}
	w.after(w.latency(q.daemon, e), func() { e.receive(c) })
	return c
}

// firstToken handles the arrival of a call's first token at the daemon.
func (w *world) firstToken(c *call) {
	if c.closed || !w.reachable(c.req.daemon, c.engine) {
		return
	}
	w.firstTokens = append(w.firstTokens, w.now-c.sent)
	if c.onFirstToken != nil {
		c.onFirstToken(c)
	}
}

// finishCall sends the end of a call's answer to the daemon.
func (w *world) finishCall(c *call) {
	if !w.reachable(c.req.daemon, c.engine) {
		w.failCall(c, unreachableTimeout)
		return
	}
	w.after(w.latency(c.req.daemon, c.engine), func() { w.closeCall(c, true) })
}

func (w *world) failCall(c *call, after time.Duration) {
	w.after(after, func() { w.closeCall(c, false) })
}

// closeCall ends a call at the daemon. ok is false for a failure.
func (w *world) closeCall(c *call, ok bool) {
	if c.closed {
		return
	}
	c.closed = true
	w.charge(c)
	c.runRelease()
	if c.onEnd != nil {
		c.onEnd(c, ok)
	}
}

// cancel ends a call early and charges what it has used.
func (w *world) cancel(c *call) {
	if c.closed {
		return
	}
	c.closed = true
	c.engine.cancel(c)
	w.charge(c)
	c.runRelease()
}

func (c *call) runRelease() {
	if c.release != nil {
		c.release()
	}
}

// charge adds the cost of a call to its request. A prompt token costs a fifth of
// an output token. A call that never started costs nothing.
func (w *world) charge(c *call) {
	if c.started == 0 && c.prefillWork == 0 {
		return
	}
	price := w.load.Versions[c.version].CostPer1kOutput / 1000
	c.req.cost += price * (c.generatedTokens() + c.req.prompt/5)
}

// refuse ends a request without an answer.
func (w *world) refuse(q *request) {
	if !q.done {
		q.done, q.refused = true, true
		w.cancelOpenCalls(q)
	}
}

// deliver ends a request with the answer of a version. first is the time at which
// the daemon sent the first token to the client.
func (w *world) deliver(q *request, version int, first time.Duration, predictedQuality float64) {
	if q.done {
		return
	}
	q.done = true
	q.total = w.now - q.arrived
	q.answered = q.total+w.clientLatency() <= q.deadline+q.abandonDelay
	q.firstToken = first - q.arrived
	q.version = version
	q.good = w.isGood(q, version)
	q.goodProbability = w.goodProbability(q, version)
	q.predictedQuality = predictedQuality
	w.cancelOpenCalls(q)
}

// goodProbability returns the true probability that the answer of a version is
// good, given its rating if there is one. Its mean over the requests estimates
// the quality with less noise than the share of good answers.
func (w *world) goodProbability(q *request, version int) float64 {
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

func (w *world) cancelOpenCalls(q *request) {
	for _, c := range q.openCalls {
		w.cancel(c)
	}
	q.openCalls = nil
}
