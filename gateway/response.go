package gateway

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/internal/cutoff"
)

// clientResponse is the response to a client request. net/http keeps what the handler
// writes in a buffer until a flush, so it records both what was accepted and what was sent.
// Only the goroutine that serves the request uses it.
type clientResponse struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// status is that of the header, 0 until it is accepted.
	status         int
	accepted, sent extent
	// whole is set once the response is complete and accepted.
	whole bool
}

// extent is the part of a response up to some point.
type extent struct {
	header bool
	events int
	bytes  int64
}

func newClientResponse(w http.ResponseWriter) clientResponse {
	return clientResponse{w: w, controller: http.NewResponseController(w)}
}

func (r *clientResponse) header() http.Header { return r.w.Header() }

// begun reports whether a response header was accepted.
func (r *clientResponse) begun() bool { return r.accepted.header }

// writeHeader accepts the header.
func (r *clientResponse) writeHeader(status int) {
	r.status, r.accepted.header = status, true
	r.w.WriteHeader(status)
}

// write accepts a part of the body.
func (r *clientResponse) write(data []byte) error {
	n, err := r.w.Write(data)
	r.accepted.bytes += int64(n)
	return err
}

// writeEvent accepts an event.
func (r *clientResponse) writeEvent(data []byte) error {
	if err := r.write(data); err != nil {
		return err
	}
	r.accepted.events++
	return nil
}

// flush sends what was accepted.
func (r *clientResponse) flush() error {
	if err := r.controller.Flush(); err != nil {
		return err
	}
	r.sent = r.accepted
	return nil
}

// finish sends what is left of a complete response. One that is unframed then ends with its
// connection, and net/http ends any other one when the handler returns.
func (r *clientResponse) finish(ctx context.Context, unframed bool) (err error) {
	switch {
	case unframed:
		err = cutoff.End(ctx, r.w)
	case r.sent != r.accepted:
		err = r.controller.Flush()
	}
	if err == nil {
		r.sent, r.whole = r.accepted, true
	}
	return err
}

// logFields returns the log fields that say what the client can have received.
func (r *clientResponse) logFields() []zap.Field {
	return []zap.Field{
		zap.Bool("whole", r.whole), zap.Bool("header", r.accepted.header), zap.Bool("header_sent", r.sent.header), zap.Int("events", r.accepted.events), zap.Int("events_sent", r.sent.events),
		zap.Int64("bytes", r.accepted.bytes), zap.Int64("bytes_sent", r.sent.bytes),
	}
}

// responseFields returns the log fields of the response and, if the context of the request
// has ended, the error of the last read from the client.
func (exec *execution) responseFields() []zap.Field {
	fields := exec.response.logFields()
	if exec.ctx.Err() != nil {
		fields = append(fields, zap.NamedError("client_read", cutoff.ReadError(exec.ctx)))
	}
	return fields
}

// closeConnection closes the connection of the client although its response is not whole,
// and logs the reason.
func (exec *execution) closeConnection(reason string) {
	if cutoff.Marked(exec.response.header()) {
		cutoff.AwaitDelivery(exec.ctx, exec.srv.stop.ended.Done())
	}
	exec.logClosed(reason)
	panic(http.ErrAbortHandler)
}

// logClosed logs and counts a connection that ends without a whole response.
func (exec *execution) logClosed(reason string) {
	exec.reason = reason
	exec.srv.opts.Metrics.countClosed(reason)
	exec.srv.opts.Log.Info("connection closed", append(exec.responseFields(), zap.String("request", exec.req.ID), zap.String("reason", reason))...)
}

// writeFailure returns the reason of a failed write to the client.
func (exec *execution) writeFailure() string {
	if exec.srv.stop.ended.Err() != nil {
		return endedByStop
	}
	return callerLeft
}
