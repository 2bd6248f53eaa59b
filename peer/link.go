package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"
)

// link manages the connection to one peer, which is opened when it is needed.
type link struct {
	client   *Client
	id       string
	dialSlot chan struct{} // semaphore: holds one element while a call connects

	mu       sync.Mutex
	closed   bool
	conn     *rpc.Client
	failures int       // consecutive failures
	retryAt  time.Time // end of the backoff
}

// call makes one call. When ctx ends before the answer, it drops the connection.
func (l *link) call(ctx context.Context, method string, request, reply any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	// The request is written in its own goroutine, because a write to a peer
	// that does not read blocks.
	done := make(chan *rpc.Call, 1)
	go conn.Go(method, request, reply, done)
	select {
	case call := <-done:
		return l.finishCall(conn, call.Error)
	case <-ctx.Done():
		// The connection is dropped, because pending calls would pile up on
		// a connection to a peer that has stopped.
		l.drop(conn, true)
		return ctx.Err()
	}
}

// finishCall keeps the connection after an answer, also one that is an error, and
// drops it after a failure.
func (l *link) finishCall(conn *rpc.Client, err error) error {
	_, answered := err.(rpc.ServerError)
	switch {
	case err == nil || answered:
		l.resetFailures()
	case errors.Is(err, rpc.ErrShutdown):
		l.drop(conn, false)
	default:
		l.client.Counters.ConnectionsLost.Add(1)
		l.drop(conn, true)
	}
	return err
}

// connect returns the open connection, or opens one. Only one call connects; the
// others wait for it.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case l.dialSlot <- struct{}{}:
		defer func() { <-l.dialSlot }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := l.current()
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = l.dial(ctx)
	return l.finishDial(conn, err)
}

// current returns the open connection, or nil when one is to be opened. During
// the backoff after a failure it returns ErrBackoff.
func (l *link) current() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, ErrClosed
	case l.conn != nil:
		return l.conn, nil
	case time.Now().Before(l.retryAt):
		return nil, ErrBackoff
	}
	return nil, nil
}

// dial opens and authenticates a connection.
func (l *link) dial(ctx context.Context) (*rpc.Client, error) {
	conn, err := l.client.opts.Dial(ctx, l.id)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	secured, err := l.client.opts.Security.dial(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(clientCodec{newFramed(secured, l.client.opts.MaxMessageBytes)}), nil
}

// finishDial records the outcome of an attempt to connect.
func (l *link) finishDial(conn *rpc.Client, err error) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.client.Counters.ConnectFailures.Add(1)
		l.backOff()
		return nil, err
	}
	if l.closed {
		_ = conn.Close()
		return nil, ErrClosed
	}
	l.client.Counters.Connects.Add(1)
	l.conn = conn
	return conn, nil
}

// backOff sets the time of the next attempt to connect. The delay doubles with
// each consecutive failure, and half of it is random, so that the peers of a VM
// that restarts do not all connect at once.
func (l *link) backOff() {
	opts := l.client.opts
	delay := opts.MaxBackoff
	if l.failures < 16 {
		delay = min(opts.MaxBackoff, opts.MinBackoff<<l.failures)
	}
	l.failures++
	delay = delay/2 + rand.N(delay/2+1)
	l.retryAt = time.Now().Add(delay)
}

// drop closes a broken connection. The next call connects again; with withBackoff,
// only after a delay that grows with each failure until a call succeeds.
func (l *link) drop(conn *rpc.Client, withBackoff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return // another call has already dropped it
	}
	l.conn = nil
	if withBackoff {
		l.backOff()
	}
	go conn.Close()
}

// resetFailures makes the backoff after the next failure start at MinBackoff.
func (l *link) resetFailures() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}

func (l *link) endBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryAt = time.Time{}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		go l.conn.Close()
		l.conn = nil
	}
}
