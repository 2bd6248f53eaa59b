package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
)

// finish answers a request whose handler has panicked, and logs and counts the outcome. It
// panics with http.ErrAbortHandler if the connection must be closed.
func (exec *execution) finish() {
	cause := recover()
	defer exec.body.Release()
	defer exec.logOutcome()
	switch {
	case cause == http.ErrAbortHandler:
		panic(cause)
	case cause != nil:
		exec.handlePanic(cause)
	}
}

// handlePanic answers a request whose handler has panicked, or closes its connection if a
// part of the response has been accepted.
func (exec *execution) handlePanic(cause any) {
	exec.srv.opts.Log.Error("handler panicked", zap.String("request", exec.req.ID), zap.Any("cause", cause), zap.Stack("stack"))
	switch {
	case exec.response.whole:
		exec.reason = string(errkind.Internal)
	case exec.response.begun():
		exec.closeConnection(string(errkind.Internal))
	default:
		// The header may hold fields of an upstream's response.
		clear(exec.response.header())
		exec.fail(errkind.Internal)
	}
}

// logPanic logs the cause of a panic in the goroutine of a call, in which only this call must
// fail. It reports whether there was one.
func (a *attempt) logPanic(cause any) bool {
	if cause != nil {
		a.exec.srv.opts.Log.Error("call panicked", zap.String("request", a.exec.req.ID), zap.String("upstream", a.choice.ID), zap.Any("cause", cause), zap.Stack("stack"))
	}
	return cause != nil
}
