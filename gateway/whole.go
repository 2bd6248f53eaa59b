package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
)

const (
	// maxWholeAnswer bounds an answer that is checked to be complete before its
	// first byte goes to the caller.
	maxWholeAnswer = 4 << 20
	// hedgeShare is the part of the objective after which a request that may run
	// twice is sent to a second upstream.
	hedgeShare = 0.8
	// minHedgeDelay keeps answers of ordinary length from being hedged.
	minHedgeDelay = 100 * time.Millisecond
)

// outcome is what one call to a plain service ended with.
type outcome struct {
	attempt *attempt
	verdict verdict
	body    []byte
}

// whole serves a request whose answer is delivered at once.
func (x *execution) whole(ctx context.Context) {
	var kept *outcome
	for {
		o, ok := x.race(ctx)
		if !ok {
			break
		}
		if o.verdict == good {
			x.deliver(o)
			return
		}
		if o.body != nil {
			kept = o
		}
		if o.verdict == failed && !x.route.Idempotent() || ctx.Err() != nil {
			break
		}
		if !x.repeat() {
			break
		}
	}
	if kept != nil && x.ctx.Err() == nil {
		x.deliver(kept)
		return
	}
	x.giveUp()
}

// race makes one call, and a second one beside it when the first takes long and
// the request may run twice.
func (x *execution) race(ctx context.Context) (*outcome, bool) {
	results := make(chan *outcome, 2)
	first := x.place(ctx, "", 0)
	if first == nil {
		return nil, false
	}
	first.launch(results)
	running := []*attempt{first}
	var hedge <-chan time.Time
	if x.route.Idempotent() {
		timer := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeShare*float64(x.route.Objective))))
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case o := <-results:
			x.settle(o.attempt, o.verdict)
			if x.ctx.Err() == nil && o.verdict != notRun {
				o.attempt.observe(o.verdict != good, 0)
			}
			running = slices.DeleteFunc(running, func(a *attempt) bool { return a == o.attempt })
			if o.verdict != good && len(running) > 0 {
				hedge = nil
				continue
			}
			for _, a := range running {
				if a == first {
					// It lost against a later call, so it is slow or silent.
					a.call.End(placement.Failed, time.Now())
				}
				a.cancel()
			}
			return o, true
		case <-hedge:
			hedge = nil
			x.exclude(first.choice.ID)
			if x.runs+1 < x.route.MaxAttempts && x.repeat() {
				if second := x.place(ctx, "", 0); second != nil {
					second.log("hedge")
					second.launch(results)
					running = append(running, second)
				}
			}
		}
	}
}

// launch makes the call in a goroutine of its own, to which the answer belongs
// until it is in results.
func (a *attempt) launch(results chan<- *outcome) {
	go func() {
		o := &outcome{attempt: a}
		o.verdict = a.send(a.x.req.LastEventID, -1)
		if a.reply != nil && o.verdict != notRun {
			a.read(o)
		}
		results <- o
	}()
}

// read reads the body of an answer to its end.
func (a *attempt) read(o *outcome) {
	body, err := io.ReadAll(io.LimitReader(a.reply, maxWholeAnswer))
	switch {
	case err != nil || !a.reply.Whole():
		a.end(placement.Failed)
		a.log("broken answer", zap.Error(err))
		o.verdict = failed
	case a.answer.Status >= 500:
		o.body = body
		a.end(placement.Failed)
		a.log("failure")
	default:
		if o.verdict == good {
			o.body = body
		}
		a.end(placement.Answered)
	}
}

// deliver passes a whole answer on.
func (x *execution) deliver(o *outcome) {
	h := x.w.Header()
	copyAnswerHeader(h, o.attempt.reply.Header)
	h.Set("Content-Length", strconv.Itoa(len(o.body)))
	x.status, x.wrote = o.attempt.answer.Status, true
	x.last = o.attempt.choice.ID
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(o.body); err != nil {
		x.reason = "caller left"
	}
}

// hopByHop headers concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyAnswerHeader passes on the headers of an answer.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
}
