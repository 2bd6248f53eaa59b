package gateway

import (
	"context"
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
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 8
)

// brokenCall is a call whose response broke before its first event.
type brokenCall struct {
	request string
	parts   []quarantine.Part
	// shared are the parts of the prompt that other requests may share.
	shared []placement.Part
	at     time.Time
}

// endExaminer finds out which upstreams have ended, among those whose responses broke. It
// is safe for concurrent use.
type endExaminer struct {
	mu      sync.Mutex
	pending map[placement.Instance][]brokenCall
}

// add records a broken call. It reports whether the caller has to examine the upstream,
// because nobody does.
func (x *endExaminer) add(i placement.Instance, c brokenCall) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	calls, examined := x.pending[i]
	if !examined && len(x.pending) >= maxExamined || len(calls) >= maxBrokenCalls {
		return false
	}
	x.pending[i] = append(calls, c)
	return !examined
}

// take removes and returns the broken calls of an upstream.
func (x *endExaminer) take(i placement.Instance) []brokenCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	calls := x.pending[i]
	delete(x.pending, i)
	return calls
}

// reportBreak makes the upstream of a call be examined whose response broke before its
// first event, unless the gateway ended the call. A call that continues a stream tells
// nothing about the prompt, which another upstream has answered.
func (a *attempt) reportBreak() {
	req := a.exec.req
	if a.ctx.Err() != nil || a.resumed || len(req.Parts) < 2 {
		return
	}
	c := brokenCall{request: req.ID, parts: a.exec.parts, shared: req.Parts[:len(req.Parts)-1], at: time.Now()}
	if i := a.choice.Instance(); a.exec.srv.ends.add(i, c) {
		go a.exec.srv.examineEnd(i)
	}
}

// examineEnd records the calls that broke at an upstream if its process has ended: its
// host refuses connections, or another process has taken its place.
func (srv *Server) examineEnd(i placement.Instance) {
	ended := srv.opts.Pool.Refuses(context.Background(), i.Address)
	for until := time.Now().Add(replacementWait); !ended && time.Now().Before(until); {
		time.Sleep(replacementPollInterval)
		ended = srv.opts.Balancer.Replaced(i)
	}
	for _, c := range srv.ends.take(i) {
		if ended {
			srv.recordEnd(i, c)
		}
	}
}

// recordEnd records the end of an upstream under a request that it had not answered.
func (srv *Server) recordEnd(i placement.Instance, c brokenCall) {
	if srv.opts.Quarantine.RecordEnd(i.String(), quarantine.HashRequest(c.request), c.parts, c.at) {
		srv.announce()
	}
	ids := make([]string, 0, min(len(c.shared), maxLoggedParts))
	for _, p := range c.shared[:min(len(c.shared), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	srv.opts.Metrics.countCallEvent("upstream ended")
	srv.opts.Log.Info("upstream ended",
		zap.String("request", c.request), zap.String("upstream", i.ID), zap.Int64("incarnation", i.Incarnation),
		zap.Strings("parts", ids), zap.Int("shared_parts", len(c.shared)), zap.Duration("examined", time.Since(c.at)))
}
