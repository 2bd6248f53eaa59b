package peer

import (
	"errors"
	"net/rpc"
	"time"
)

// serverCodec implements rpc.ServerCodec. It bounds the requests in flight and
// requires increasing request numbers.
type serverCodec struct {
	*framed
	counters *ServerCounters
	inFlight chan struct{}
	// seen is set after the first request; lastSeq is the last request number.
	seen    bool
	lastSeq uint64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.inFlight <- struct{}{} // released by WriteResponse
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	err := c.readHeader(r)
	if err == nil && c.seen && r.Seq <= c.lastSeq {
		err = ErrReplayed
	}
	c.seen, c.lastSeq = true, r.Seq
	c.countError(err)
	if err != nil {
		// net/rpc answers some of these errors and continues to read. A
		// connection that has violated the protocol is closed instead.
		_ = c.close()
	}
	return err
}

// countError counts a message that was rejected.
func (c *serverCodec) countError(err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		c.counters.Oversized.Add(1)
	case errors.Is(err, ErrReplayed):
		c.counters.Replayed.Add(1)
	case errors.Is(err, errMalformed):
		c.counters.Malformed.Add(1)
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decode(body)
	c.countError(err)
	if err != nil {
		_ = c.close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.inFlight }()
	// The client matches the response by its number, so the method is left out.
	header := rpc.Response{Seq: r.Seq, Error: r.Error}
	return c.write(&header, body)
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *framed }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.close() }
