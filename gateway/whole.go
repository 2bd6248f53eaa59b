package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/internal/cutoff"
	"github.com/savoryshift/savoryshift/placement"
)

const (
	// maxBufferedResponse is the maximum size, in bytes, of a response that is
	// buffered and checked for completeness before it is sent to the client.
	maxBufferedResponse = 4 << 20
	// freeResponseBytes is the size up to which what a client has not taken yet counts as a part
	// of its request.
	freeResponseBytes = 8 << 10
	// noRoom is logged for a response for which its client has no memory left.
	noRoom = "no room for the response"
	// hedgeDelayShare is the hedging delay as a fraction of the route's latency
	// objective. After it an idempotent request is sent to a second upstream.
	hedgeDelayShare = 0.8
	// minHedgeDelay is the minimum hedging delay; it keeps calls of ordinary
	// duration from being hedged.
	minHedgeDelay = 100 * time.Millisecond
)

// callResult is the result of one call with its response body, if it was read.
type callResult struct {
	attempt     *attempt
	resultClass resultClass
	body        []byte
}

// serveWhole serves a request whose response is buffered and delivered whole.
func (exec *execution) serveWhole(ctx context.Context) {
	var failedResult *callResult
	for retry := false; ; retry = true {
		result, ok := exec.callHedged(ctx, retry)
		if !ok {
			break
		}
		if result.resultClass == deliverable {
			exec.deliver(result)
			return
		}
		if result.body != nil {
			failedResult = result
		}
		if result.resultClass == failed && !exec.route.Idempotent() || ctx.Err() != nil {
			break
		}
	}
	if failedResult != nil {
		exec.deliver(failedResult)
		return
	}
	exec.giveUp()
}

// callHedged makes one call and, if the route is idempotent and the call is
// slow, a second call in parallel. It returns the first deliverable result, or
// the last result if none is; false means that no call could be placed. A failure that
// the second call would deliver waits for the result of the first. With retry, the retry
// budget must allow the call.
func (exec *execution) callHedged(ctx context.Context, retry bool) (*callResult, bool) {
	results := make(chan *callResult, 2)
	place := exec.place
	if retry {
		place = exec.placeRetry
	}
	first := place(ctx, "", 0)
	if first == nil {
		return nil, false
	}
	first.sendAsync(results)
	running := []*attempt{first}
	var hedge <-chan time.Time
	var held *callResult
	if exec.route.Idempotent() {
		timer := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(exec.route.Objective))))
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case result := <-results:
			exec.recordResult(result.attempt, result.resultClass)
			if exec.ctx.Err() == nil && exec.srv.stop.ended.Err() == nil && result.resultClass != notRun {
				result.attempt.observeRelease(result.resultClass != deliverable, 0)
			}
			running = slices.DeleteFunc(running, func(a *attempt) bool { return a == result.attempt })
			wins := result.resultClass == deliverable && (result.attempt == first || result.attempt.responseHeader.Status < http.StatusMultipleChoices)
			if len(running) > 0 && !wins {
				hedge, held = nil, result
				continue
			}
			if held != nil && result.rank() < held.rank() {
				result = held
			}
			for _, a := range running {
				if a == first {
					// The hedged call finished first, so this upstream is slow or silent.
					a.call.End(placement.Failed, time.Now())
				}
				a.cancel()
			}
			return result, true
		case <-hedge:
			hedge = nil
			exec.exclude(first.choice.ID)
			if exec.runs+1 < exec.route.MaxAttempts {
				if second := exec.placeRetry(ctx, "", 0); second != nil {
					second.logEvent("hedge")
					second.sendAsync(results)
					running = append(running, second)
				}
			}
		}
	}
}

// rank orders results of parallel calls by what the client learns from them.
func (r *callResult) rank() int {
	switch {
	case r.resultClass == deliverable:
		return 2
	case r.body != nil:
		return 1
	}
	return 0
}

// sendAsync makes the call in a new goroutine, which owns the response until it
// sends the result.
func (a *attempt) sendAsync(results chan<- *callResult) {
	go func() {
		result := &callResult{attempt: a, resultClass: failed}
		defer func() {
			if a.logPanic(recover()) {
				a.finish(placement.Neutral)
			}
			results <- result
		}()
		class := a.send(a.exec.req.LastEventID, -1)
		if a.response != nil && class != notRun {
			class = a.readBody(result, class)
		}
		result.resultClass = class
	}()
}

// readBody reads the response body to its end, sets the body of result, and finishes the
// call. It returns the class of a response whose header has the given class.
func (a *attempt) readBody(result *callResult, class resultClass) resultClass {
	memory := a.exec.srv.buffers.Share()
	defer memory.Release()
	body, err := memory.ReadAll(a.response, 0, maxBufferedResponse)
	// The client may take the body more slowly than the upstream has sent it.
	if err == nil && cap(body) > freeResponseBytes && clientlimit.HoldResponse(a.exec.ctx, cap(body)) != nil {
		a.finish(placement.Neutral)
		a.logEvent(noRoom, zap.Int("bytes", len(body)))
		return failed
	}
	switch {
	case err != nil || !a.response.Complete():
		a.reportBreak()
		a.finish(placement.Failed)
		a.logEvent("broken answer", zap.Error(err), zap.String("framing", string(a.response.Framing())))
		return failed
	case a.responseHeader.Status >= 500:
		result.body = body
		a.finish(placement.Failed)
		a.logEvent("failure")
	default:
		if class == deliverable {
			result.body = body
		}
		if a.responseHeader.Status < http.StatusMultipleChoices {
			a.recordEnd()
		}
		a.finish(placement.Answered)
		a.logUnframed()
	}
	return class
}

// deliver sends a buffered response to the client.
func (exec *execution) deliver(result *callResult) {
	h := exec.response.header()
	copyResponseHeader(h, result.attempt.response.Header)
	exec.setFraming(h, result)
	exec.lastUpstream = result.attempt.choice.ID
	exec.writeHeader(result.attempt.responseHeader.Status)
	err := exec.response.write(result.body)
	if err == nil {
		err = exec.response.finish(exec.ctx, result.attempt.unframed())
	}
	if err != nil {
		exec.logClosed(exec.writeFailure())
	}
}

// setFraming sets the header fields that say where the body of a buffered response ends.
func (exec *execution) setFraming(h http.Header, result *callResult) {
	response := result.attempt.response
	switch length := response.Header.Get("Content-Length"); {
	case result.attempt.unframed():
		cutoff.Begin(exec.ctx, h)
	case response.Framing() != exchange.NoBody:
		h.Set("Content-Length", strconv.Itoa(len(result.body)))
	case length != "":
		// The length of the body that a request other than HEAD would get.
		h.Set("Content-Length", length)
	}
}

// hopByHop names the headers that are not forwarded because they apply to one
// connection only; Content-Length is set from the delivered body, unless only the end of
// the upstream's connection has shown its length.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyResponseHeader copies all headers except the hop-by-hop ones.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
}
