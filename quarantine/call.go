package quarantine

import "time"

// Call is a call of a request to an upstream. It tells the Tracker what the upstream does with
// the prompt. A nil Call, of a request without parts that others share, tells nothing. It is
// not safe for concurrent use.
type Call struct {
	tracker *Tracker
	process string
	request Request
	parts   []Part
	// resumed is set if the call goes on with an answer that another one has begun.
	resumed bool
	sentAt  time.Time
	begunAt time.Time
	// survival is the time of writing that is recorded next.
	survival time.Duration
}

// Start returns a call that is sent at now to a process of an upstream. With resumed, it goes
// on with an answer that another call has begun.
func (t *Tracker) Start(process string, r Request, parts []Part, resumed bool, now time.Time) *Call {
	if len(parts) == 0 {
		return nil
	}
	return &Call{tracker: t, process: process, request: r, parts: parts, resumed: resumed, sentAt: now, survival: minSurvival}
}

// Event records that the upstream has written a whole event of the answer.
func (c *Call) Event(now time.Time) {
	if c == nil {
		return
	}
	if c.begunAt.IsZero() {
		c.begunAt = now
		c.tracker.recordBegin(c, now)
	}
	if writing := now.Sub(c.begunAt); writing >= c.survival {
		c.survival = 2 * writing
		c.tracker.recordSurvival(c.parts, writing, now)
	}
}

// Finish records that the upstream has written the answer to its end. The rest of an answer
// does not clear the parts of the request, which may end upstreams later in an answer than
// the rest is long.
func (c *Call) Finish(now time.Time) {
	if c == nil {
		return
	}
	c.Event(now)
	if !c.resumed {
		c.tracker.recordAnswer(c.parts, now)
	}
}

// End records that the process has ended at a time while the call was in flight there. It
// reports whether that is news.
func (c *Call) End(at time.Time) bool {
	return c != nil && c.EndOf(c.process, at)
}

// EndOf is like End for an upstream whose process is known by a name only once it has ended.
func (c *Call) EndOf(process string, at time.Time) bool {
	if c == nil {
		return false
	}
	return c.tracker.RecordEnd(End{Upstream: process, Request: c.request, Parts: c.parts, InFlight: at.Sub(c.sentAt), Writing: c.Writing(at)}, at)
}

// Writing returns the time for which the upstream has been writing the answer, 0 if it has
// not written a whole event.
func (c *Call) Writing(now time.Time) time.Duration {
	if c == nil || c.begunAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(c.begunAt))
}
