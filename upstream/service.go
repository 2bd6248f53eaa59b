package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/cutoff"
)

// ErrNothingSent reports a body without a length and without chunks whose connection ended
// before its first byte. A service that stops after the header leaves the same bytes.
var ErrNothingSent = fmt.Errorf("the connection ended before the first byte of a body without a length: %w", io.ErrUnexpectedEOF)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	// URL is the base URL of the service instance.
	URL    string
	Method string
	// Path is the escaped path, with its leading slash.
	Path string
	// Query is the raw query, without the question mark.
	Query string
	// Header is sent without its hop-by-hop fields.
	Header http.Header
	Body   []byte
	// Deadline bounds the call; if it is zero, only the context bounds the call.
	Deadline time.Time
	// Repeatable allows the transport to retransmit the call when a reused
	// connection breaks. Any other call is transmitted at most once, on a
	// connection of its own.
	Repeatable bool
	// BeforeWrite is called before the first write, as in Call.
	BeforeWrite func() error
}

// ServiceResult is the response of a plain service, with any status.
type ServiceResult struct {
	Status int
	// Header is without hop-by-hop fields. It is marked (cutoff.Mark) if only the end of
	// the connection ended the body, which may then have ended early.
	Header http.Header
	Body   []byte
	Total  time.Duration
}

// Forward sends a call to a plain service and returns its complete response.
func (c *Client) Forward(ctx context.Context, call ServiceCall) (ServiceResult, error) {
	return c.forward(ctx, call, !call.Repeatable)
}

// forward sends a call, on a connection of its own if ownConn is set.
func (c *Client) forward(ctx context.Context, call ServiceCall, ownConn bool) (ServiceResult, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return ServiceResult{}, errkind.New(errkind.BadRequest, "path %q does not begin with a slash", call.Path)
	}
	target := strings.TrimSuffix(call.URL, "/") + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	x, err := c.send(ctx, outgoingRequest{
		method: call.Method, url: target, header: withoutHopByHop(call.Header), body: call.Body,
		deadline: call.Deadline, repeatable: call.Repeatable, ownConn: ownConn, beforeWrite: call.BeforeWrite,
	})
	if err != nil {
		return ServiceResult{}, err
	}
	defer x.release()
	body, err := x.readAll(c.buffers, c.options.MaxResponseBytes)
	if err != nil {
		return ServiceResult{}, err
	}
	header := withoutHopByHop(x.resp.Header)
	if x.endsWithConnection() {
		if len(body) == 0 {
			return ServiceResult{}, x.fail(ErrNothingSent)
		}
		cutoff.Mark(header)
	}
	return ServiceResult{Status: x.resp.StatusCode, Header: header, Body: body, Total: time.Since(x.start)}, nil
}

// endsWithConnection reports whether only the end of the connection ends the body of the
// response: it has neither a length nor chunks.
func (x *exchange) endsWithConnection() bool {
	resp := x.resp
	return resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified &&
		resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// hopByHop lists the header fields that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHop returns a copy of h without hop-by-hop fields and without the
// fields that Connection names.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
