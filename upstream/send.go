package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
)

// maxErrorBytes bounds what is read of the body of an error response.
const maxErrorBytes = 16 << 10

// exchange is one HTTP request and its response.
type exchange struct {
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc
	gate           *gate
	start          time.Time
	firstByte      atomic.Bool // a response has begun
	conn           atomic.Pointer[gatedConn]
	resp           *http.Response
}

// outgoingRequest describes the HTTP request that send transmits.
type outgoingRequest struct {
	method, url string
	header      http.Header
	body        []byte
	deadline    time.Time
	repeatable  bool
	ownConn     bool // the request uses a connection of its own
	beforeWrite func() error
}

// send transmits one request and waits for the header of the response. If it
// succeeds, the caller must release the exchange.
func (c *Client) send(ctx context.Context, out outgoingRequest) (*exchange, error) {
	x := newExchange(ctx, out)
	if x.ctx.Err() != nil {
		defer x.release()
		return nil, x.fail(x.ctx.Err())
	}
	req, err := newRequest(x, out)
	if err != nil {
		x.release()
		return nil, errkind.New(errkind.BadRequest, "upstream request: %w", err)
	}
	x.resp, err = c.transportFor(out).RoundTrip(req)
	if err != nil {
		defer x.release()
		return nil, x.fail(err)
	}
	if x.resp.StatusCode < http.StatusOK {
		// The transport skips interim responses. It hands on 101, which is never asked for,
		// and any three characters that are a number, such as 000 and +20.
		x.closeConn()
		defer x.release()
		return nil, x.fail(invalidResponse("answer has the invalid status %.3q", x.resp.Status))
	}
	return x, nil
}

// transportFor returns the transport for a request. A plain service does not name
// the request in its response, so a request that is not repeatable gets a connection
// of its own, on which no response to an earlier request can arrive.
func (c *Client) transportFor(out outgoingRequest) *http.Transport {
	if out.ownConn {
		return c.singleUse
	}
	return c.transport
}

func newExchange(ctx context.Context, out outgoingRequest) *exchange {
	x := &exchange{start: time.Now(), cancelDeadline: func() {}}
	if !out.deadline.IsZero() {
		ctx, x.cancelDeadline = context.WithDeadline(ctx, out.deadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.gate = &gate{check: out.beforeWrite, repeatable: out.repeatable, bodyBytes: len(out.body), cancel: x.cancel}
	return x
}

// newRequest builds the request. Each connection that the transport chooses for
// it gets the gate of the exchange.
func newRequest(x *exchange, out outgoingRequest) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*gatedConn)
			if !ok {
				x.cancel(errors.New("connection has no gate"))
				return
			}
			x.conn.Store(conn)
			conn.setGate(x.gate)
		},
		GotFirstResponseByte: func() { x.firstByte.Store(true) },
	}
	u, err := url.Parse(out.url)
	if err != nil {
		return nil, err
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, errors.New("URL " + strconv.Quote(out.url) + " is not an http URL with a host")
	}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	req, err := http.NewRequestWithContext(ctx, out.method, out.url, bytes.NewReader(out.body))
	if err != nil {
		return nil, err
	}
	if out.header != nil {
		req.Header = out.header
	}
	return req, nil
}

// release ends the exchange and frees its resources. The connection is reused
// only if the body was read to its end.
func (x *exchange) release() {
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
	x.cancel(nil)
	x.cancelDeadline()
}

// closeConn closes the connection, so that no other exchange uses it.
func (x *exchange) closeConn() {
	if conn := x.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// fail converts the error of a failed exchange into one with its kind and Ran
// value. It seals the gate, so that nothing of the attempt is transmitted
// afterwards.
func (x *exchange) fail(err error) error {
	sent, checkErr := x.gate.seal()
	if checkErr != nil {
		return errkind.WithRan(checkErr, errkind.RanNo)
	}
	kind := x.errorKind(err)
	ran := errkind.RanUnknown
	switch {
	case !sent:
		ran = errkind.RanNo
	case kind == errkind.UpstreamInvalidAnswer:
		ran = errkind.RanYes
	}
	if cause := context.Cause(x.ctx); cause != nil && !errors.Is(err, cause) {
		err = errors.Join(err, cause)
	}
	return errkind.WithRan(errkind.New(kind, "upstream call: %w", err), ran)
}

// errorKind distinguishes timeouts, broken connections and malformed responses.
func (x *exchange) errorKind(err error) errkind.Kind {
	var network net.Error
	switch {
	case errors.Is(context.Cause(x.ctx), ErrStreamIdle), errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return errkind.UpstreamTimeout
	case x.ctx.Err() != nil:
		return errkind.UpstreamFailed
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, ErrTruncated), errors.Is(err, ErrResent):
		return errkind.UpstreamFailed
	case x.firstByte.Load():
		return errkind.UpstreamInvalidAnswer
	}
	return errkind.UpstreamFailed
}

// sendCall sends a call to an engine, to be resumed after part number from, and
// checks status, ids and version of the response.
func (c *Client) sendCall(ctx context.Context, call Call, from int) (*exchange, error) {
	if call.RequestID == "" || call.AttemptID == "" || call.Version == "" {
		return nil, errkind.New(errkind.BadRequest, "upstream call needs a request id, an attempt id and a version")
	}
	if !call.Deadline.IsZero() && !time.Now().Before(call.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "deadline passed before the call")
	}
	x, err := c.send(ctx, outgoingRequest{
		method: http.MethodPost, url: call.URL + PathCompletions, header: callHeader(call, from),
		body: call.Body, deadline: call.Deadline, beforeWrite: call.BeforeWrite,
	})
	if err != nil {
		return nil, err
	}
	if err := x.checkHeader(call); err != nil {
		x.release()
		return nil, err
	}
	return x, nil
}

func callHeader(call Call, from int) http.Header {
	h := http.Header{
		"Content-Type":  {"application/json"},
		HeaderRequestID: {call.RequestID},
		HeaderAttemptID: {call.AttemptID},
		HeaderVersion:   {call.Version},
		HeaderPriority:  {strconv.Itoa(call.Priority)},
	}
	if !call.Deadline.IsZero() {
		h.Set(HeaderDeadlineMs, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	}
	if from > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(from))
	}
	return h
}

// readAll reads the body of a response, which may have at most limit bytes.
func (x *exchange) readAll(buffers *bodybudget.Budget, limit int64) ([]byte, error) {
	if x.resp.ContentLength > limit && x.resp.Request.Method != http.MethodHead {
		return nil, invalidResponse("answer of %d bytes is longer than %d", x.resp.ContentLength, limit)
	}
	body, err := buffers.ReadAll(x.resp.Body, int(limit)+1)
	if err != nil {
		return nil, x.fail(err)
	}
	if int64(len(body)) > limit {
		return nil, invalidResponse("answer is longer than %d bytes", limit)
	}
	return body, nil
}
