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
)

// maxErrorBytes bounds what is read of an error answer.
const maxErrorBytes = 16 << 10

// exchange is one request and its answer.
type exchange struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	stop      context.CancelFunc
	gate      *gate
	start     time.Time
	firstByte atomic.Bool // an answer has begun
	resp      *http.Response
}

// outgoing is what send transmits.
type outgoing struct {
	method, url string
	header      http.Header
	body        []byte
	deadline    time.Time
	repeatable  bool
	beforeWrite func() error
}

// send transmits one request and waits for the header of the answer. The
// caller releases the exchange when there is no error.
func (c *Client) send(ctx context.Context, out outgoing) (*exchange, error) {
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
	x.resp, err = c.transport.RoundTrip(req)
	if err != nil {
		defer x.release()
		return nil, x.fail(err)
	}
	return x, nil
}

func newExchange(ctx context.Context, out outgoing) *exchange {
	x := &exchange{start: time.Now(), stop: func() {}}
	if !out.deadline.IsZero() {
		ctx, x.stop = context.WithDeadline(ctx, out.deadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.gate = &gate{check: out.beforeWrite, repeatable: out.repeatable, cancel: x.cancel}
	return x
}

// newRequest builds the request and arms the gate on each connection that the
// transport chooses for it.
func newRequest(x *exchange, out outgoing) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*gateConn)
			if !ok {
				x.cancel(errors.New("connection has no gate"))
				return
			}
			conn.arm(x.gate)
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

// release ends the exchange and frees its connection.
func (x *exchange) release() {
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
	x.cancel(nil)
	x.stop()
}

// fail attaches the kind and the Ran value to a failed exchange. Nothing is
// transmitted for the attempt after fail.
func (x *exchange) fail(err error) error {
	sent, refusal := x.gate.seal()
	if refusal != nil {
		return errkind.WithRan(refusal, errkind.RanNo)
	}
	kind := x.kindOf(err)
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

// kindOf tells a passed deadline, a broken connection and a malformed answer
// apart.
func (x *exchange) kindOf(err error) errkind.Kind {
	var network net.Error
	switch {
	case errors.Is(context.Cause(x.ctx), errIdle), errors.Is(x.ctx.Err(), context.DeadlineExceeded):
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

// sendCall sends an engine call, resumed after part from, and checks the
// status, ids and version of the answer.
func (c *Client) sendCall(ctx context.Context, call Call, from int) (*exchange, error) {
	if call.RequestID == "" || call.AttemptID == "" || call.Version == "" {
		return nil, errkind.New(errkind.BadRequest, "upstream call needs a request id, an attempt id and a version")
	}
	if !call.Deadline.IsZero() && !time.Now().Before(call.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "deadline passed before the call")
	}
	x, err := c.send(ctx, outgoing{
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

// readAll reads the body of an answer of at most limit bytes.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	if x.resp.ContentLength > limit && x.resp.Request.Method != http.MethodHead {
		return nil, invalid("answer of %d bytes is longer than %d", x.resp.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, limit+1))
	if err != nil {
		return nil, x.fail(err)
	}
	if int64(len(body)) > limit {
		return nil, invalid("answer is longer than %d bytes", limit)
	}
	return body, nil
}
