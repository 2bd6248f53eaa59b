package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/rollout"
)

// attempt is one call of a request to a chosen upstream.
type attempt struct {
	exec           *execution
	choice         placement.Choice
	call           *placement.Call
	response       *exchange.Reply
	responseHeader ResponseHeader
	// previousUpstream is the upstream of the call that was placed before.
	previousUpstream string
	// unsent is set if no byte of the call was written: the upstream could not be reached,
	// or the call was withdrawn before.
	unsent bool
	// status is the status of the response for log lines, which may be written before
	// the response is handed over.
	status atomic.Int32
	// resumed is set for a call that continues a stream of which the client has
	// received events.
	resumed bool
	// test is set for a call that shows whether a part of its prompt still ends upstreams.
	test bool
	// prompt tells the quarantine what the upstream does with the prompt.
	prompt *quarantine.Call
	// examined is set by the owner of the response if that broke. The channel is closed once the
	// host has been probed.
	examined atomic.Pointer[chan struct{}]
	model    string
	start    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
}

// send makes the call and classifies it by the response header.
func (a *attempt) send(lastEventID string, enginePriority int) resultClass {
	exec := a.exec
	idle := maxReuseIdle
	if !exec.route.Idempotent() {
		idle = maxReuseIdleUnsafe
	}
	if exec.req.ID == "" {
		// On a reused connection, no response could be attributed to the request.
		idle = 0
	}
	header := exec.srv.opts.Codec.Encode(exec.req, Call{
		Upstream: a.choice.ID, Organisation: exec.organisation, Model: a.model,
		Left: time.Until(exec.deadline), EnginePriority: enginePriority, LastEventID: lastEventID,
	})
	response, err := exec.srv.opts.Pool.Send(a.ctx, a.choice.Address, exchange.Request{
		ID: exec.req.ID, Method: exec.req.Method, Target: exec.req.Target, Host: exec.req.Host, Header: header, Body: exec.req.Body, MaxIdle: idle,
		BeforeWrite: a.checkWrite,
	})
	if err != nil {
		return a.classifyError(err)
	}
	a.response = response
	a.responseHeader = exec.srv.opts.Codec.DecodeResponse(response.Response)
	a.status.Store(int32(a.responseHeader.Status))
	return a.classifyResponse()
}

// checkWrite returns an error if the call must not be written, although it could be placed
// before its connection was opened.
func (a *attempt) checkWrite() error {
	now := time.Now()
	switch {
	case a.exec.srv.outdated(now):
		return errOutdated
	case !a.exec.route.Idempotent() && !a.exec.mayCall(now):
		return errOutlastsStop
	case !a.test && a.exec.srv.opts.Quarantine.Accuses(a.exec.parts, now).Refused:
		return errQuarantined
	}
	// The last check, because it charges the request to the share of a cold upstream.
	switch a.call.Admit(now) {
	case placement.NotUsable:
		return errUnregistered
	case placement.ShareSpent:
		a.exec.srv.opts.Metrics.countCallEvent("cold share spent")
		return errColdShare
	case placement.AdmittedCold:
		a.exec.srv.opts.Metrics.countCallEvent("cold")
	}
	if a.model != "" {
		a.exec.srv.opts.Metrics.countPlaced(&a.choice)
	}
	return nil
}

// classifyError classifies a call that got no response, and finishes it.
func (a *attempt) classifyError(err error) resultClass {
	class, outcome := failed, placement.Failed
	if a.unsent = errors.Is(err, exchange.ErrNotSent); a.unsent {
		class, outcome = notRun, placement.Unreachable
	}
	if class == failed {
		a.reportBreak()
	}
	withdrawn := errors.Is(err, errUnregistered) || errors.Is(err, errOutdated) || errors.Is(err, errColdShare) || errors.Is(err, errOutlastsStop) || errors.Is(err, errQuarantined)
	if errors.Is(a.ctx.Err(), context.Canceled) || withdrawn {
		outcome = placement.Neutral
	}
	a.finish(outcome)
	a.logEvent("unanswered", zap.Error(err), zap.Bool("sent", class == failed))
	return class
}

// classifyResponse classifies a call by its response header. It finishes calls
// whose body is not to be read.
func (a *attempt) classifyResponse() resultClass {
	switch {
	case !a.isOwnResponse():
		a.drop()
		a.logEvent("foreign answer", zap.String("answers", a.responseHeader.RequestID))
		return failed
	case a.responseHeader.Misdirected:
		a.finish(placement.Failed)
		a.exec.srv.opts.Pool.CloseIdle(a.choice.Address)
		a.logEvent("misdirected")
		return notRun
	}
	a.recordNotices()
	switch {
	case a.responseHeader.NotRun:
		a.finish(placement.Neutral)
		a.logEvent("not run")
		return notRun
	case !a.exec.route.Idempotent() && impliesNotRun(a.responseHeader.Status):
		a.drop()
		a.logEvent("unfounded refusal")
		return failed
	case a.responseHeader.Encoded:
		a.drop()
		a.logEvent("encoded answer")
		return failed
	case a.responseHeader.Status >= 500:
		return failed
	case a.responseHeader.Status < 300 && !a.responseHeader.Signed:
		a.drop()
		a.logEvent("unsigned answer")
		return failed
	}
	return deliverable
}

// unframed reports whether only the end of its connection has ended the response. Its body
// may then have ended early, so it is sent to the client without a length or chunks too:
// the client is told no more than is known.
func (a *attempt) unframed() bool { return a.response.Framing() == exchange.ByConnection }

// logUnframed logs a response that may have ended early.
func (a *attempt) logUnframed() {
	if a.unframed() {
		a.logEvent("unframed answer")
	}
}

// finish ends the call and records its outcome. If the response body is not
// fully read, the connection is closed, which cancels the work at the upstream.
// finish may be called more than once.
func (a *attempt) finish(outcome placement.Outcome) {
	now := time.Now()
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.call.End(outcome, now)
}

// end ends a call whose response another goroutine owns, and records its outcome. The
// owner closes the response. end may be called more than once.
func (a *attempt) end(outcome placement.Outcome) {
	a.call.End(outcome, time.Now())
	a.cancel()
}

// impliesNotRun reports whether clients take a status as the statement that the request
// was not run and never will be.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isOwnResponse reports whether the response belongs to the request. Without an ID, only
// a refusal is accepted, and only if no other request was sent on the connection: an
// upstream may repeat an earlier refusal on a reused one.
func (a *attempt) isOwnResponse() bool {
	h := a.responseHeader
	if h.RequestID != "" {
		return h.RequestID == a.exec.req.ID
	}
	return !a.response.Reused() && (h.NotRun || h.Misdirected || a.exec.req.ID == "")
}

// drop finishes a call whose response must not be delivered, not even as the last
// failure of the request. Its connection is closed.
func (a *attempt) drop() {
	a.finish(placement.Failed)
	a.response = nil
}

// queueingThreshold is the predicted queueing time in seconds above which the
// latency of a call is not compared between releases.
const queueingThreshold = 0.15

// observeRelease records the outcome of the call for the comparison of releases.
func (a *attempt) observeRelease(failed bool, measured time.Duration) {
	nominal := time.Duration(a.choice.NominalFirstEvent * float64(time.Second))
	if a.choice.Wait > queueingThreshold || a.choice.Cold {
		// Behind a queue, and at a cold upstream, the latency does not depend on the release.
		nominal = 0
	}
	a.exec.srv.opts.Splitter.Observe(a.choice.Service, a.choice.Release, rollout.Outcome{Route: a.exec.route.Name, Model: a.model, Failed: failed, Measured: measured, Nominal: nominal}, time.Now())
}

func (a *attempt) logEvent(event string, fields ...zap.Field) {
	a.exec.srv.opts.Metrics.countCallEvent(event)
	a.exec.srv.opts.Log.Info("call", append([]zap.Field{
		zap.String("request", a.exec.req.ID), zap.String("event", event), zap.String("upstream", a.choice.ID),
		zap.String("release", a.choice.Release), zap.String("model", a.model), zap.Int32("status", a.status.Load()),
		zap.Int("candidates", a.choice.Candidates), zap.Float64("predicted", a.choice.FirstEvent), zap.Bool("cold", a.choice.Cold),
		zap.Float64("held_tokens", a.choice.HeldTokens), zap.Float64("uncached_tokens", a.choice.UncachedTokens), zap.Bool("by_hash", a.choice.ByHash),
		zap.Duration("lapsed", a.choice.Lapsed), zap.Duration("took", time.Since(a.start)),
	}, fields...)...)
}
