package bench

import (
	"container/heap"
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

// Behaviour of the emulated engines.
const (
	// prefixCacheEntries is the number of prompt prefixes that an engine keeps.
	prefixCacheEntries = 24
	// prefixSaving is the part of the time to first token that a fully cached
	// prompt saves.
	prefixSaving = 0.8
	// serviceNoiseSigma is the sigma of the lognormal noise on service times.
	serviceNoiseSigma = 0.05
)

type callState int

const (
	callTravelling callState = iota
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
	seq      int
	sent     time.Duration
	started  time.Duration
	firstAt  time.Duration
	state    callState
	fails    bool
	// closed is set once the daemon has seen the end of the call or has given
	// it up.
	closed bool
	// workFirst and workTokens are seconds of service at speed 1.
	workFirst, workTokens float64
	workDone              float64
	updated               time.Duration
	generation            int
	onFirst               func(*call)
	onEnd                 func(*call, bool)
	// release runs once when the daemon is done with the call.
	release func()
}

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

// loadSample is the true load of an engine at one moment.
type loadSample struct {
	at      time.Duration
	running int
	queued  int
}

// engine emulates one upstream: slots, a queue by priority and a prefix cache.
type engine struct {
	world   *world
	index   int
	spec    *workload.Upstream
	zone    int
	speed   float64
	down    bool
	running []*call
	queue   callQueue
	prefix  []uint64
	samples []loadSample
}

// arrive takes a call that has travelled to the engine.
func (e *engine) arrive(c *call) {
	if c.closed {
		return
	}
	if e.down {
		e.world.failCall(c, e.world.latency(c.req.daemon, e))
		return
	}
	c.state = callQueued
	heap.Push(&e.queue, c)
	e.fill()
}

// fill starts queued calls while slots are free.
func (e *engine) fill() {
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
	if e.useCache(c.req.prefix) {
		cached = c.req.prefixShare
	}
	noise := w.noise(c)
	c.state = callRunning
	c.started = w.now
	c.workFirst = v.FirstTokenMs / 1000 * (1 - prefixSaving*cached) * noise
	c.workTokens = c.req.output / v.OutputTokensPerSSlot * noise
	c.updated = w.now
	e.running = append(e.running, c)
	e.schedule(c)
}

// useCache reports whether the prefix is cached, and caches it as the most
// recently used one.
func (e *engine) useCache(prefix uint64) bool {
	for i, p := range e.prefix {
		if p == prefix {
			copy(e.prefix[1:i+1], e.prefix[:i])
			e.prefix[0] = p
			return true
		}
	}
	if len(e.prefix) < prefixCacheEntries {
		e.prefix = append(e.prefix, 0)
	}
	copy(e.prefix[1:], e.prefix)
	e.prefix[0] = prefix
	e.world.cacheEvent(e, prefix)
	return false
}

// schedule plans the next event of a running call at the present speed.
func (e *engine) schedule(c *call) {
	c.generation++
	gen := c.generation
	target := c.workFirst
	if c.firstAt > 0 {
		target = c.workFirst + c.workTokens
	}
	wait := time.Duration((target - c.workDone) / e.speed * float64(time.Second))
	e.world.after(wait, func() {
		if c.generation == gen && c.state == callRunning {
			e.reach(c, target)
		}
	})
}

func (e *engine) reach(c *call, work float64) {
	w := e.world
	c.workDone = work
	c.updated = w.now
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

// remove takes a running call off its slot and starts the next one.
func (e *engine) remove(c *call) {
	for i, r := range e.running {
		if r == c {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	c.state = callEnded
	c.generation++
	e.fill()
}

// cancel stops a call that is queued or running.
func (e *engine) cancel(c *call) {
	switch c.state {
	case callRunning:
		e.progress(c)
		e.remove(c)
	case callQueued:
		c.state = callEnded
	}
}

func (e *engine) progress(c *call) {
	c.workDone += (e.world.now - c.updated).Seconds() * e.speed
	c.updated = e.world.now
}

// setSpeed changes the speed, also of calls that run.
func (e *engine) setSpeed(speed float64) {
	for _, c := range e.running {
		e.progress(c)
	}
	e.speed = speed
	for _, c := range e.running {
		e.schedule(c)
	}
}

// setDown fails all calls and refuses new ones until the engine is up again.
func (e *engine) setDown(down bool) {
	e.down = down
	if !down {
		return
	}
	calls := append(append([]*call(nil), e.running...), e.queue...)
	e.running, e.queue, e.prefix = nil, nil, nil
	for _, c := range calls {
		if c.state == callRunning {
			e.progress(c)
		}
		c.state = callEnded
		c.generation++
		e.world.failCall(c, e.world.latency(c.req.daemon, e))
	}
}

// waiting counts the queued calls that have not been given up.
func (e *engine) waiting() int {
	n := 0
	for _, c := range e.queue {
		if !c.closed {
			n++
		}
	}
	return n
}

// tokens returns the tokens generated so far.
func (c *call) tokens() float64 {
	if c.workTokens <= 0 || c.workDone <= c.workFirst {
		return 0
	}
	return c.req.output * min(1, (c.workDone-c.workFirst)/c.workTokens)
}
