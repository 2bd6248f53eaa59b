package exchange

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/oldhead"
)

// inlineBodyBytes is the maximum size of a body that is written before the
// response is read. A larger body is written concurrently, because an upstream
// may respond without having read it.
const inlineBodyBytes = 8 << 10

// headBytes is enough for most header sections.
const headBytes = 512

// maxHeadBytes limits the headers of a response, with those of its interim responses.
const maxHeadBytes = 64 << 10

// errHeadTooLong is returned for a response whose headers exceed maxHeadBytes.
var errHeadTooLong = errors.New("the response header is too long")

// errStatusLineInHeader is returned for a response whose header holds a status line.
var errStatusLineInHeader = errors.New("the response header holds the status line of another response")

var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

// Request is a request to an upstream.
type Request struct {
	// ID identifies the request in the responses of the upstream. A connection on which
	// a request with the ID was sent is not reused for it. It may be empty.
	ID     string
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the maximum time since the last use of a reused connection. With
	// 0, a new connection is opened.
	MaxIdle time.Duration
	// BeforeWrite, if set, is called after a connection is available. If it
	// returns an error, the request is not sent.
	BeforeWrite func() error
}

// Reply is a response whose body is read from the connection. Close must be
// called; further calls have no effect.
type Reply struct {
	*http.Response
	conn           *connection
	pool           *Pool
	stopCancelHook func() bool
	bodyWritten    chan error
	framing        Framing
	// bodyBegun is set once a byte of the body was read, complete once its end was.
	bodyBegun, complete bool
	// endErr is the error with which the body ended, io.EOF if it is complete.
	endErr    error
	reused    bool
	closeOnce sync.Once
}

// Send writes the request once and returns when the response header has arrived.
// If ctx ends before the reply is closed, the connection is closed. An error
// that wraps ErrNotSent means that no byte was written.
func (p *Pool) Send(ctx context.Context, address string, req Request) (*Reply, error) {
	conn := p.takeIdle(address, req.ID, req.MaxIdle)
	reused := conn != nil
	if !reused {
		var err error
		if conn, err = p.connect(ctx, address); err != nil {
			return nil, err
		}
	}
	if req.BeforeWrite != nil {
		if err := req.BeforeWrite(); err != nil {
			conn.discard()
			return nil, errors.Join(ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		conn.discard()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	conn.recordRequest(req.ID)
	stopCancelHook := context.AfterFunc(ctx, conn.discard)
	bodyWritten, err := conn.write(req)
	if err != nil {
		stopCancelHook()
		conn.discard()
		return nil, err
	}
	resp, err := conn.readHeader(req.Method)
	if err != nil {
		stopCancelHook()
		conn.discard()
		return nil, err
	}
	return &Reply{
		Response: resp, conn: conn, pool: p, stopCancelHook: stopCancelHook, bodyWritten: bodyWritten,
		framing: framingOf(req.Method, resp), reused: reused,
	}, nil
}

// write sends the request. A body longer than inlineBodyBytes is written in a
// goroutine; the returned channel, nil otherwise, receives the result.
func (c *connection) write(req Request) (chan error, error) {
	var head bytes.Buffer
	inline, size := len(req.Body) <= inlineBodyBytes, headBytes
	if inline {
		size += len(req.Body)
	}
	head.Grow(size)
	head.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&head); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if inline {
		head.Write(req.Body)
		return nil, c.writeAll(head.Bytes())
	}
	if err := c.writeAll(head.Bytes()); err != nil {
		return nil, err
	}
	c.beginLongBody()
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(req.Body)
		done <- err
	}()
	return done, nil
}

// writeAll writes data. The error wraps ErrNotSent if no byte was written.
func (c *connection) writeAll(data []byte) error {
	n, err := c.Write(data)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// readHeader reads the header of the final response and skips 1xx responses. No request
// asks for these, and one may belong to an earlier request, so the connection is not
// reused after them.
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.headLeft, c.readingHead, c.head = maxHeadBytes, true, oldhead.Scanner{}
	defer func() { c.readingHead = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.headLeft <= 0 {
			// The parser may report another error for the header that was cut short.
			err = errHeadTooLong
		}
		if err == nil && holdsStatusLine(resp.Header) {
			err = errStatusLineInHeader
		}
		if err != nil {
			return nil, oops.Wrapf(err, "reading the response of %s", c.address)
		}
		if resp.StatusCode < http.StatusContinue {
			// The parser takes any three characters that are a number.
			return nil, oops.Errorf("%s responded with the invalid status %.3q", c.address, resp.Status)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, oops.Errorf("%s changed the protocol with status 101", c.address)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		c.interim = true
	}
}

// holdsStatusLine reports whether a status line is in a header value. The header then
// begins with one of another response, which was cut off within that value. A sound
// response with such a value is lost, because the two cannot be told apart.
func holdsStatusLine(h http.Header) bool {
	for _, values := range h {
		for _, value := range values {
			if strings.Contains(value, "HTTP/1.") && statusLine.MatchString(value) {
				return true
			}
		}
	}
	return false
}

// Read reads from the connection. While a header is read, it returns no more than
// maxHeadBytes in all.
func (c *connection) Read(b []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(b)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	if scanErr := c.head.Scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Reused reports whether other requests were sent on the connection before this one.
func (r *Reply) Reused() bool { return r.reused }

// Complete reports whether the whole body was read without an error. With ByConnection it
// is whole as far as can be known: the upstream closed the connection in order after it had
// received the whole request.
func (r *Reply) Complete() bool { return r.complete }

// Close returns the connection to the pool if the response was read completely
// and the connection can be reused. Otherwise it closes the connection, which
// cancels the work at the upstream.
func (r *Reply) Close() {
	r.closeOnce.Do(func() {
		stopped := r.stopCancelHook()
		if r.complete {
			r.conn.unanswered.Store(false)
		}
		if !stopped || !r.reusable() {
			r.conn.discard()
			return
		}
		r.pool.put(r.conn, keepAliveTimeout(r.Header))
	})
}

func (r *Reply) reusable() bool {
	if r.conn.interim || len(r.conn.requests) >= maxConnectionRequests {
		return false
	}
	if !r.complete || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.framing == ByConnection {
		return false
	}
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// keepAliveTimeout returns the idle timeout that the upstream states, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
