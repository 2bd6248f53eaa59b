package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
)

const (
	// replacementWait is how long an upstream that still accepts connections after a
	// response broke is watched for another process in its place, and
	// replacementPollInterval the interval between two looks.
	replacementWait         = 3 * time.Second
	replacementPollInterval = 200 * time.Millisecond
	// maxExamined bounds the upstreams that are examined at a time, and maxBrokenCalls
	// the broken calls that are kept for each.
	maxExamined    = 64
	maxBrokenCalls = 64
	// simultaneous is the time within which an upstream that ends breaks all its responses.
	simultaneous = 100 * time.Millisecond
	// maxExaminationWait bounds the wait of a request for the examination of an upstream.
	maxExaminationWait = 100 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 8
)

// brokenCall is a call whose response broke, or ended with its connection.
type brokenCall struct {
	request string
	prompt  *quarantine.Call
	// whole is set if the response is whole unless the upstream has ended.
	whole bool
	// shared are the parts of the prompt that other requests may share.
	shared []placement.Part
	at     time.Time
	// probed is closed once the host has been probed after the response broke.
	probed chan struct{}
}

// examination is the search for the end of one upstream. The goroutine that runs it ends when
// no call is left.
type examination struct {
	calls []brokenCall
	// unprobed holds the calls after which the host has not been probed.
	unprobed []chan struct{}
	// broken is signalled when a response has broken: the host is probed at once.
	broken chan struct{}
}

// endExaminer finds out which upstreams have ended, among those whose responses broke. It
// is safe for concurrent use.
type endExaminer struct {
	mu      sync.Mutex
	pending map[placement.Instance]*examination
}

// add records a broken call. It returns the examination if the caller has to start it, because
// nobody examines the upstream.
func (x *endExaminer) add(i placement.Instance, c brokenCall) *examination {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, examined := x.pending[i]
	if !examined {
		if len(x.pending) >= maxExamined {
			close(c.probed)
			return nil
		}
		e = &examination{broken: make(chan struct{}, 1)}
		x.pending[i] = e
	}
	if !e.makeRoom(c.whole) {
		close(c.probed)
		return nil
	}
	e.calls = append(e.calls, c)
	e.unprobed = append(e.unprobed, c.probed)
	if !c.whole || !examined {
		select {
		case e.broken <- struct{}{}:
		default:
		}
	}
	if examined {
		return nil
	}
	return e
}

// makeRoom reports whether another call can be kept. A call that broke takes the place of the
// oldest one that is whole.
func (e *examination) makeRoom(whole bool) bool {
	if len(e.calls) < maxBrokenCalls {
		return true
	}
	oldest := slices.IndexFunc(e.calls, func(c brokenCall) bool { return c.whole })
	if whole || oldest < 0 {
		return false
	}
	e.calls = slices.Delete(e.calls, oldest, oldest+1)
	return true
}

// takeUnprobed removes and returns the calls after which the host has not been probed.
func (x *endExaminer) takeUnprobed(e *examination) []chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	calls := e.unprobed
	e.unprobed = nil
	return calls
}

// take removes and returns the calls of an upstream that are decided: all if it has ended,
// those for which it was watched long enough otherwise. It reports whether none is left.
func (x *endExaminer) take(i placement.Instance, e *examination, ended bool, now time.Time) (calls []brokenCall, done bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var left []brokenCall
	for _, c := range e.calls {
		if ended || now.Sub(c.at) >= replacementWait {
			calls = append(calls, c)
		} else {
			left = append(left, c)
		}
	}
	if e.calls = left; len(left) > 0 {
		return calls, false
	}
	delete(x.pending, i)
	return calls, true
}

// reportBreak makes the upstream of a call be examined whose response broke, unless the
// gateway ended the call.
func (a *attempt) reportBreak() {
	if a.ctx.Err() == nil {
		a.examined.Store(a.examine(false))
	}
}

// recordEnd records that the upstream has written the answer to its end. If only the end of
// the connection says so, the upstream may have ended instead, and is examined.
func (a *attempt) recordEnd() {
	if a.unframed() {
		a.examine(true)
		return
	}
	a.prompt.Finish(time.Now())
}

// examine makes the upstream be examined. The goroutine that owns the response calls it last.
// The returned channel is closed once the host has been probed; it is nil if none is.
func (a *attempt) examine(whole bool) *chan struct{} {
	req := a.exec.req
	if len(req.Parts) < 2 {
		return nil
	}
	c := brokenCall{request: req.ID, prompt: a.prompt, whole: whole, shared: req.Parts[:len(req.Parts)-1], at: time.Now(), probed: make(chan struct{})}
	i := a.choice.Instance()
	if e := a.exec.srv.ends.add(i, c); e != nil {
		go a.exec.srv.examineEnd(i, e)
	}
	return &c.probed
}

// awaitExamination waits until it is known whether the upstream of the last call has ended, if
// its response broke: a further upstream may end by the same prompt.
func (exec *execution) awaitExamination(ctx context.Context) {
	if exec.examined == nil {
		return
	}
	timer := time.NewTimer(maxExaminationWait)
	defer timer.Stop()
	select {
	case <-*exec.examined:
	case <-timer.C:
	case <-ctx.Done():
	}
	exec.examined = nil
}

// examineEnd records the calls that broke at an upstream if its process has ended: its
// host refuses connections, or another process has taken its place. The host is probed right
// after each response that broke, since the upstream may end while an earlier one is examined.
func (srv *Server) examineEnd(i placement.Instance, e *examination) {
	poll := time.NewTicker(replacementPollInterval)
	defer poll.Stop()
	for done := false; !done; {
		ended := false
		select {
		case <-e.broken:
		case <-poll.C:
			ended = srv.opts.Balancer.Replaced(i)
		}
		unprobed := srv.ends.takeUnprobed(e)
		if len(unprobed) > 0 && !ended {
			ended = srv.opts.Pool.Refuses(context.Background(), i.Address)
		}
		var calls []brokenCall
		calls, done = srv.ends.take(i, e, ended, time.Now())
		if ended {
			srv.opts.Balancer.RecordEnded(i)
		}
		srv.recordExamined(i, calls, ended)
		if done {
			unprobed = append(unprobed, srv.ends.takeUnprobed(e)...)
		}
		for _, probed := range unprobed {
			close(probed)
		}
	}
}

// recordExamined records what an examination has found out about calls.
func (srv *Server) recordExamined(i placement.Instance, calls []brokenCall, ended bool) {
	last := time.Time{}
	for _, c := range calls {
		if c.at.After(last) {
			last = c.at
		}
	}
	for _, c := range calls {
		switch {
		case ended && c.whole && last.Sub(c.at) > simultaneous:
			// The upstream has lived on, so that its end says nothing about the call.
		case ended:
			srv.recordEnd(i, c)
		case c.whole:
			c.prompt.Finish(c.at)
		}
	}
}

// recordEnd records the end of an upstream under a request.
func (srv *Server) recordEnd(i placement.Instance, c brokenCall) {
	if c.prompt.End(c.at) {
		srv.announce()
	}
	ids := make([]string, 0, min(len(c.shared), maxLoggedParts))
	for _, p := range c.shared[:min(len(c.shared), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	srv.opts.Metrics.countCallEvent("upstream ended")
	srv.opts.Log.Info("upstream ended",
		zap.String("request", c.request), zap.String("upstream", i.ID), zap.Int64("incarnation", i.Incarnation),
		zap.Strings("parts", ids), zap.Int("shared_parts", len(c.shared)), zap.Duration("writing", c.prompt.Writing(c.at)), zap.Duration("examined", time.Since(c.at)))
}
