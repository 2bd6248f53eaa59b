package bench

import (
	"container/heap"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// Properties of the simulated engines.
const (
	// prefixCacheEntries is the number of prompt prefixes that an engine keeps.
	prefixCacheEntries = 24
	// prefixSaving is the share of the time to first token that a fully cached
	// prompt saves.
	prefixSaving = 0.8
	// serviceNoiseSigma is the sigma of the lognormal noise on service times.
	serviceNoiseSigma = 0.05
)

type callState int

const (
	callInTransit callState = iota
	callQueued
	callRunning
	callEnded
)

// call is one call of a daemon to an engine.
type call struct {
	req      *request
	version  int
	engine   *engine
	priority int
	seq      int // order of sending, which breaks ties in the queue
	sent     time.Duration
	started  time.Duration // when the engine started it
	firstAt  time.Duration // when the engine generated the first token, or 0
	state    callState
	fails    bool // the engine fails the call in place of its first token
	// closed is set once the daemon has seen the end of the call or has cancelled
	// it.
	closed bool
	// prefillWork and decodeWork are the service times at speed 1, in seconds, of
	// the first token and of the rest of the answer.
	prefillWork, decodeWork float64
	workDone                float64       // seconds of service at speed 1 done by progressAt
	progressAt              time.Duration // when workDone was last updated
	generation              int           // incremented to invalidate the scheduled event
	onFirstToken            func(*call)
	onEnd                   func(*call, bool)
	// release, if set, is called once when the call ends at the daemon.
	release func()
}

// callQueue is a heap of calls by descending priority, then by order of sending.
type callQueue []*call

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(*call)) }
func (q *callQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	*q = old[:len(old)-1]
	return c
}

// loadSample is the load of an engine at one time.
type loadSample struct {
	at      time.Duration
	running int
	queued  int
}

// engine simulates one upstream with slots, a priority queue and a prefix cache.
type engine struct {
	world       *world
	index       int
	spec        *workload.Upstream
	zone        int
	speed       float64 // factor on the speed of the version
	down        bool
	running     []*call
	queue       callQueue
	prefixCache []uint64 // most recently used first
	samples     []loadSample
}

// receive queues a call that has reached the engine.
func (e *engine) receive(c *call) {
	if c.closed {
		return
	}
	if e.down {
		e.world.failCall(c, e.world.latency(c.req.daemon, e))
		return
	}
	c.state = callQueued
	heap.Push(&e.queue, c)
	e.startQueued()
}

// startQueued starts calls from the queue while slots are free.
func (e *engine) startQueued() {
	for len(e.running) < e.spec.Slots && len(e.queue) > 0 {
		c := heap.Pop(&e.queue).(*call)
		if c.closed {
			continue
		}
		e.start(c)
	}
}

func (e *engine) start(c *call) {
	w := e.world
	v := &w.load.Versions[c.version]
	cached := 0.0
	if e.lookUpPrefix(c.req.prefix) {
		cached = c.req.prefixShare
	}
	noise := w.noise(c)
	c.state = callRunning
	c.started = w.now
	c.prefillWork = v.FirstTokenMs / 1000 * (1 - prefixSaving*cached) * noise
	c.decodeWork = c.req.output / v.OutputTokensPerSSlot * noise
	c.progressAt = w.now
	e.running = append(e.running, c)
	e.schedule(c)
}

// lookUpPrefix reports whether a prefix is cached, and makes it the most recently
// used one of the cache.
func (e *engine) lookUpPrefix(prefix uint64) bool {
	for i, p := range e.prefixCache {
		if p == prefix {
			copy(e.prefixCache[1:i+1], e.prefixCache[:i])
			e.prefixCache[0] = p
			return true
		}
	}
	if len(e.prefixCache) < prefixCacheEntries {
		e.prefixCache = append(e.prefixCache, 0)
	}
	copy(e.prefixCache[1:], e.prefixCache)
	e.prefixCache[0] = prefix
	e.world.publishCacheEvent(e, prefix)
	return false
}

// schedule schedules the first token or the end of a running call, whichever is
// next, at the current speed of the engine.
func (e *engine) schedule(c *call) {
	c.generation++
	gen := c.generation
	target := c.prefillWork
	if c.firstAt > 0 {
		target = c.prefillWork + c.decodeWork
	}
	wait := time.Duration((target - c.workDone) / e.speed * float64(time.Second))
	e.world.after(wait, func() {
		if c.generation == gen && c.state == callRunning {
			e.completePhase(c, target)
		}
	})
}

// completePhase handles the first token or the end of a running call. work is the
// work done by then.
func (e *engine) completePhase(c *call, work float64) {
	w := e.world
	c.workDone = work
	c.progressAt = w.now
	if c.firstAt == 0 {
		if c.fails {
			e.remove(c)
			w.failCall(c, w.latency(c.req.daemon, e))
			return
		}
		c.firstAt = w.now
		w.after(w.latency(c.req.daemon, e), func() { w.firstToken(c) })
		e.schedule(c)
		return
	}
	e.remove(c)
	w.finishCall(c)
}

// remove frees the slot of a running call and starts queued calls.
func (e *engine) remove(c *call) {
	for i, r := range e.running {
		if r == c {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	c.state = callEnded
	c.generation++
	e.startQueued()
}

// cancel stops a queued or running call.
func (e *engine) cancel(c *call) {
	switch c.state {
	case callRunning:
		e.updateProgress(c)
		e.remove(c)
	case callQueued:
		c.state = callEnded
	}
}

// updateProgress adds the work done since the last update.
func (e *engine) updateProgress(c *call) {
	c.workDone += (e.world.now - c.progressAt).Seconds() * e.speed
	c.progressAt = e.world.now
}

// setSpeed changes the speed of the engine, including that of running calls.
func (e *engine) setSpeed(speed float64) {
	for _, c := range e.running {
		e.updateProgress(c)
	}
	e.speed = speed
	for _, c := range e.running {
		e.schedule(c)
	}
}

// setDown takes the engine down or up again. Going down fails all calls and
// clears the prefix cache. The engine refuses new calls while it is down.
func (e *engine) setDown(down bool) {
	e.down = down
	if !down {
		return
	}
	calls := append(append([]*call(nil), e.running...), e.queue...)
	e.running, e.queue, e.prefixCache = nil, nil, nil
	for _, c := range calls {
		if c.state == callRunning {
			e.updateProgress(c)
		}
		c.state = callEnded
		c.generation++
		e.world.failCall(c, e.world.latency(c.req.daemon, e))
	}
}

// queueLength returns the number of queued calls that are not cancelled.
func (e *engine) queueLength() int {
	n := 0
	for _, c := range e.queue {
		if !c.closed {
			n++
		}
	}
	return n
}

// generatedTokens returns the number of output tokens generated so far.
func (c *call) generatedTokens() float64 {
	if c.decodeWork <= 0 || c.workDone <= c.prefillWork {
		return 0
	}
	return c.req.output * min(1, (c.workDone-c.prefillWork)/c.decodeWork)
}
