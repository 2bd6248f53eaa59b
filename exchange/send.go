package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// inlineBodyBytes is the largest body that is written before the answer is
// read. A larger one is written beside reading, because an upstream may answer
// without having read it.
const inlineBodyBytes = 8 << 10

// Outgoing is one request to an upstream.
type Outgoing struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds the time since the last use of a reused connection; 0 means
	// that a new connection is opened.
	MaxIdle time.Duration
	// BeforeWrite is called with a connection at hand; an error keeps the
	// request from being sent.
	BeforeWrite func() error
}

// Reply is the header of an answer with the stream of its body. Close must be
// called exactly once.
type Reply struct {
	*http.Response
	conn    *connection
	pool    *Pool
	release func() bool
	written chan error
	whole   bool
	once    sync.Once
}

// Send writes the request once and returns when the header of the answer has
// arrived. Ending ctx closes the connection, until the reply is closed. An
// error that wraps ErrNotSent means that no byte was written.
func (p *Pool) Send(ctx context.Context, address string, out Outgoing) (*Reply, error) {
	conn := p.take(address, out.MaxIdle)
	if conn == nil {
		var err error
		if conn, err = p.connect(ctx, address); err != nil {
			return nil, err
		}
	}
	if out.BeforeWrite != nil {
		if err := out.BeforeWrite(); err != nil {
			conn.discard()
			return nil, errors.Join(ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		conn.discard()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	release := context.AfterFunc(ctx, conn.discard)
	written, err := conn.write(out)
	if err != nil {
		release()
		conn.discard()
		return nil, err
	}
	resp, err := conn.readHeader(out.Method)
	if err != nil {
		release()
		conn.discard()
		return nil, err
	}
	return &Reply{Response: resp, conn: conn, pool: p, release: release, written: written}, nil
}

// write sends the request. For a long body it returns while the body is being
// written; the channel then yields the result.
func (c *connection) write(out Outgoing) (chan error, error) {
	var head bytes.Buffer
	head.Grow(512 + len(out.Body))
	head.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(&head); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if len(out.Body) > 0 || out.Method != http.MethodGet && out.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(out.Body) <= inlineBodyBytes {
		head.Write(out.Body)
		return nil, c.writeAll(head.Bytes())
	}
	if err := c.writeAll(head.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(out.Body)
		done <- err
	}()
	return done, nil
}

// writeAll writes data and tells a write without any effect from a partial one.
func (c *connection) writeAll(data []byte) error {
	n, err := c.Write(data)
	if err != nil && n == 0 {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// readHeader reads the header of the final answer; interim answers are skipped.
func (c *connection) readHeader(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, oops.Wrapf(err, "reading the answer of %s", c.address)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body and notes whether it was read to its end.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its proper end.
func (r *Reply) Whole() bool { return r.whole }

// Close gives the connection back if the answer was read whole and the
// connection is clean, and closes it otherwise, which cancels the work.
func (r *Reply) Close() {
	r.once.Do(func() {
		stopped := r.release()
		if !stopped || !r.reusable() {
			r.conn.discard()
			return
		}
		r.pool.put(r.conn, keepAliveTimeout(r.Header))
	})
}

func (r *Reply) reusable() bool {
	if !r.whole || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && bodyAllowed(r.StatusCode) {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
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
