package proxy

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/internal/cutoff"
)

// callerResponse is the response to the request of a caller. net/http keeps what a handler
// writes in a buffer until a flush, so it records both what was accepted and what was sent.
// Only one goroutine uses it at a time.
type callerResponse struct {
	http.ResponseWriter
	// body is the memory that the body of the request uses; it may be nil.
	body           *bodybudget.Share
	accepted, sent extent
	// whole is set once the response was accepted to its end. A stream that an error event
	// ends counts as whole.
	whole bool
	// answers is set if the response is no error.
	answers bool
	// unframed is set if only the end of the connection ends the response.
	unframed bool
}

const (
	// freeResponseBytes is the size up to which what a caller has not taken yet counts as a part
	// of its request.
	freeResponseBytes = 8 << 10
	// responseCopies is the number of times that a response is in memory until the caller has
	// taken it: its body, and the text that is examined.
	responseCopies = 2
)

// holdResponse takes the memory for a response until the request has ended, because the caller
// may take it more slowly than the upstream has sent it.
func holdResponse(ctx context.Context, body []byte) error {
	if len(body) <= freeResponseBytes || clientlimit.HoldResponse(ctx, responseCopies*len(body)) == nil {
		return nil
	}
	return errkind.WithRan(errkind.New(errkind.UpstreamFailed, "this daemon has no memory for the answer of %d bytes", len(body)), errkind.RanYes)
}

// extent is the part of a response up to some point.
type extent struct {
	header bool
	bytes  int64
}

// WriteHeader implements http.ResponseWriter.
func (r *callerResponse) WriteHeader(status int) {
	r.accepted.header = true
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *callerResponse) Write(data []byte) (int, error) {
	r.accepted.header = true
	n, err := r.ResponseWriter.Write(data)
	r.accepted.bytes += int64(n)
	return n, err
}

// FlushError is for http.ResponseController.
func (r *callerResponse) FlushError() error {
	if err := http.NewResponseController(r.ResponseWriter).Flush(); err != nil {
		return err
	}
	r.sent = r.accepted
	return nil
}

// Unwrap is for http.ResponseController.
func (r *callerResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// writeWhole accepts a response with its whole body, which is sent by finish.
func (r *callerResponse) writeWhole(ctx context.Context, method string, status int, body []byte) error {
	header := r.Header()
	r.unframed = cutoff.Marked(header)
	switch {
	case r.unframed:
		cutoff.Begin(ctx, header)
	case bodyAllowed(method, status) && header.Get("Content-Length") == "":
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.WriteHeader(status)
	_, err := r.Write(body)
	return r.end(err)
}

// end records that the response was accepted to its end unless that failed.
func (r *callerResponse) end(err error) error {
	r.whole = err == nil
	return err
}

// send sends what is left of a whole response and reports whether nothing is left.
func (r *callerResponse) send(ctx context.Context) bool {
	switch {
	case !r.whole:
		return false
	case r.unframed:
		return cutoff.End(ctx, r) == nil
	case r.sent != r.accepted:
		return r.FlushError() == nil
	}
	return true
}

// bodyAllowed reports whether a response may have a body (RFC 9110, section 6.4.1).
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// finish sends the response. It answers a request whose handler has panicked, and logs and
// counts a response that was not sent to its end. Its connection is closed. The limits of
// the request are released before, so that the caller's next request finds them free.
func (s *Server) finish(w *callerResponse, r *request) {
	cause := recover()
	defer w.body.Release()
	if cause != nil && cause != http.ErrAbortHandler {
		s.options.Log.Error("handler panicked", zap.String("request", r.id), zap.Any("cause", cause), zap.Stack("stack"))
		s.counters.errors.Add(string(errkind.Internal), 1)
		if !w.accepted.header {
			// The header may hold fields of an upstream's response.
			maps.DeleteFunc(w.Header(), func(name string, _ []string) bool { return name != "Connection" && name != HeaderRequestID })
			writeError(w, r, errkind.New(errkind.Internal, "the request failed by a fault of this daemon"))
		}
	}
	if w.send(r.Context()) {
		if w.answers {
			s.counters.answered.Add(1)
		}
		return
	}
	s.counters.unfinished.Add(1)
	s.options.Log.Info("connection closed without a whole response", zap.String("request", r.id), zap.Bool("panicked", cause != nil),
		zap.Bool("header", w.accepted.header), zap.Bool("header_sent", w.sent.header),
		zap.Int64("bytes", w.accepted.bytes), zap.Int64("bytes_sent", w.sent.bytes), zap.NamedError("client_read", cutoff.ReadError(r.Context())))
	panic(http.ErrAbortHandler)
}
