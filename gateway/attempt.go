package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/placement"
)

// attempt is one call that has been placed.
type attempt struct {
	x      *execution
	choice placement.Choice
	call   *placement.Call
	reply  *exchange.Reply
	answer Reply
	model  string
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

// send makes the call and judges the header of its answer.
func (a *attempt) send(lastEvent string, urgency int) verdict {
	x := a.x
	idle := reuseIdle
	if !x.route.Idempotent() {
		idle = reuseIdleUnsafe
	}
	header := x.s.o.Codec.Encode(x.req, Call{
		Upstream: a.choice.ID, Organisation: x.organisation, Model: a.model,
		Left: time.Until(x.end), EnginePriority: urgency, LastEventID: lastEvent,
	})
	reply, err := x.s.o.Pool.Send(a.ctx, a.choice.Address, exchange.Outgoing{
		Method: x.req.Method, Target: x.req.Target, Host: x.req.Host, Header: header, Body: x.req.Body, MaxIdle: idle,
		BeforeWrite: func() error {
			if !x.s.o.Balancer.Usable(a.choice.ID, time.Now()) {
				return errUnregistered
			}
			return nil
		},
	})
	if err != nil {
		return a.unanswered(err)
	}
	a.reply = reply
	a.answer = x.s.o.Codec.Reply(reply.Response)
	return a.judge()
}

// unanswered judges a call without an answer.
func (a *attempt) unanswered(err error) verdict {
	v, outcome := failed, placement.Failed
	if errors.Is(err, exchange.ErrNotSent) {
		v, outcome = notRun, placement.Unreachable
	}
	if errors.Is(a.ctx.Err(), context.Canceled) || errors.Is(err, errUnregistered) {
		outcome = placement.Neutral
	}
	a.end(outcome)
	a.log("unanswered", zap.Error(err), zap.Bool("sent", v == failed))
	return v
}

// judge tells what the header of the answer means.
func (a *attempt) judge() verdict {
	switch {
	case a.answer.Misdirected:
		a.end(placement.Failed)
		a.x.s.o.Pool.Drop(a.choice.Address)
		a.log("misdirected")
		return notRun
	case a.answer.RequestID != a.x.req.ID && (a.answer.RequestID != "" || !a.answer.NotRun) || a.answer.Encoded:
		a.end(placement.Failed)
		a.log("foreign answer", zap.String("answers", a.answer.RequestID))
		return failed
	case a.answer.NotRun:
		a.end(placement.Neutral)
		a.log("not run")
		return notRun
	case a.answer.Status >= 500:
		return failed
	case a.answer.Status < 300 && !a.answer.Signed:
		a.end(placement.Failed)
		a.log("unsigned answer")
		return failed
	}
	return good
}

// end closes the call and notes its outcome. Closing an unfinished answer
// cancels the work at the upstream. It may be called more than once.
func (a *attempt) end(o placement.Outcome) {
	now := time.Now()
	if a.reply != nil {
		a.reply.Close()
	}
	a.cancel()
	a.call.End(o, now)
}

// busyWait is the predicted wait in seconds from which an upstream counts as busy.
const busyWait = 0.15

// observe notes the outcome for the judgement of releases.
func (a *attempt) observe(failed bool, measured time.Duration) {
	nominal := time.Duration(a.choice.NominalFirstEvent * float64(time.Second))
	if a.choice.Wait > busyWait {
		// Behind a queue the time says more about the load than about the release.
		nominal = 0
	}
	a.x.s.o.Splitter.Observe(a.choice.Service, a.choice.Release, a.x.route.Name, failed, measured, nominal, time.Now())
}

func (a *attempt) log(event string, fields ...zap.Field) {
	a.x.s.o.Metrics.call(event)
	a.x.s.o.Log.Info("call", append([]zap.Field{
		zap.String("request", a.x.req.ID), zap.String("event", event), zap.String("upstream", a.choice.ID),
		zap.String("release", a.choice.Release), zap.String("model", a.model), zap.Int("status", a.answer.Status),
		zap.Int("candidates", a.choice.Candidates), zap.Float64("predicted", a.choice.FirstEvent),
		zap.Duration("took", time.Since(a.start)),
	}, fields...)...)
}
