package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"
)

// link is the connection to one peer, made when it is needed.
type link struct {
	c        *Client
	id       string
	dialling chan struct{} // holds one element while a caller connects

	mu       sync.Mutex
	closed   bool
	conn     *rpc.Client
	failures int
	retryAt  time.Time
}

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
		return l.finish(conn, call.Error)
	case <-ctx.Done():
		// Pending calls would pile up on a connection to a peer that has
		// stopped, so it is given up.
		l.drop(conn, true)
		return ctx.Err()
	}
}

// finish keeps the connection after an answer and drops it after a failure.
func (l *link) finish(conn *rpc.Client, err error) error {
	_, answered := err.(rpc.ServerError)
	switch {
	case err == nil || answered:
		l.succeeded()
	case errors.Is(err, rpc.ErrShutdown):
		l.drop(conn, false)
	default:
		l.c.Counters.Failures.Add(1)
		l.drop(conn, true)
	}
	return err
}

// connect returns the connection, after making it if there is none. Only one
// caller connects; the others wait for it.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case l.dialling <- struct{}{}:
		defer func() { <-l.dialling }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := l.current()
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = l.dial(ctx)
	return l.dialled(conn, err)
}

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

func (l *link) dial(ctx context.Context) (*rpc.Client, error) {
	conn, err := l.c.o.Dial(ctx, l.id)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	secured, err := l.c.o.Security.dial(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(clientCodec{newFramed(secured, l.c.o.MaxMessageBytes)}), nil
}

// dialled records the outcome of an attempt to connect.
func (l *link) dialled(conn *rpc.Client, err error) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.c.Counters.Unreached.Add(1)
		l.backOff()
		return nil, err
	}
	if l.closed {
		_ = conn.Close()
		return nil, ErrClosed
	}
	l.c.Counters.Connects.Add(1)
	l.conn = conn
	return conn, nil
}

// backOff doubles the pause before the next attempt. The random part keeps the
// peers of a VM that comes back from connecting all at once.
func (l *link) backOff() {
	o := l.c.o
	pause := o.MaxBackoff
	if l.failures < 16 {
		pause = min(o.MaxBackoff, o.MinBackoff<<l.failures)
	}
	l.failures++
	pause = pause/2 + rand.N(pause/2+1)
	l.retryAt = time.Now().Add(pause)
}

// drop gives up a broken connection. The next call connects again, after a
// pause if so wanted, which grows until a call succeeds.
func (l *link) drop(conn *rpc.Client, pause bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return // another call has dropped it
	}
	l.conn = nil
	if pause {
		l.backOff()
	}
	go conn.Close()
}

// succeeded ends the growth of the pause.
func (l *link) succeeded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}

// reached ends the current pause.
func (l *link) reached() {
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
