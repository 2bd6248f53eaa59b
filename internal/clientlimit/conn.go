package clientlimit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
)

const (
	// headerPlaceholder and idlePlaceholder are the timeouts of servers behind a limiter. A
	// connection replaces deadlines of about these lengths by those of the timeouts in force,
	// because the fields of an http.Server cannot change while it serves. Deadlines that
	// handlers set are far shorter.
	headerPlaceholder = 1000 * time.Hour
	idlePlaceholder   = 2000 * time.Hour
	// leastIdle and leastHeader tell them apart.
	leastHeader = 500 * time.Hour
	leastIdle   = 1500 * time.Hour

	// readerBytes is the size of the buffer from which net/http reads requests. As many bytes
	// of the next request may be read before it begins.
	readerBytes = 4 << 10
	// writePartBytes is the size of the parts in which a response is written, and writeTimeout
	// how long, at least half of it, the client may take for one.
	writePartBytes = 32 << 10
	writeTimeout   = time.Minute
	// refusalWriteTime bounds the write of a refusal. It fits into an empty socket buffer.
	refusalWriteTime = 10 * time.Millisecond
	// leastRetry is the least Retry-After of refusals. Retry-After has whole seconds.
	leastRetry = 2 * time.Second
)

// listener is a listener whose connections count towards the limits.
type listener struct {
	net.Listener
	limiter *Limiter
	secured bool
}

// Accept implements net.Listener. It closes a connection that has no place.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: accepted, limiter: l.limiter, secured: l.secured, view: view{since: now, last: now}, closeIdle: func() bool { return false }}
		if l.limiter.reserve(c, claim{usage: usage{connectionBytes, 1}, spare: l.limiter.perRequest()}) != nil {
			_ = accepted.Close()
			continue
		}
		l.limiter.mu.Lock()
		l.limiter.conns[c] = struct{}{}
		l.limiter.mu.Unlock()
		return c, nil
	}
}

// conn is a connection of a client. Its view and the fields below it are guarded by the mutex
// of the limiter.
type conn struct {
	net.Conn
	limiter *Limiter
	// secured is set if the bytes of the connection are those of TLS.
	secured bool

	view
	// evicted is set when the connection has been closed for another one. No request of it
	// runs any more, or its response is not taken.
	evicted, gone bool
	// flow is that of the current request, nil if it has joined none.
	flow *flow
	// writeDeadline is that of the handler. renewWriteAt is when the deadline of the connection
	// is set again, which each write of a long response needs.
	writeDeadline, renewWriteAt time.Time
	// closeIdle closes the connection unless bytes of a request have arrived.
	closeIdle func() bool
	// aheadLines and aheadBytes describe what was read after the end of the last header
	// section, previousLines the readerBytes before it: lines of the next one may be among it.
	aheadLines, aheadBytes, previousLines int64
	// tail holds the last bytes that were read of a header section.
	tail []byte
}

// SetIdleClose is called by package idleconn, which closes idle connections without losing a
// request.
func (c *conn) SetIdleClose(closeIdle func() bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.closeIdle = closeIdle
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Read implements net.Conn. It takes the memory for what net/http makes of a header section.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	l := c.limiter
	l.mu.Lock()
	if c.evicted {
		l.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	if n == 0 {
		l.mu.Unlock()
		return 0, err
	}
	now := time.Now()
	if c.phase == idle {
		c.enter(inHead, now)
	}
	c.last = now
	c.bytes += int64(n)
	cost := c.note(b[:n])
	heading := c.phase == inHead
	l.mu.Unlock()
	if heading && l.reserve(c, claim{usage: usage{memory: cost}}) != nil {
		l.refuseHead(c)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write implements net.Conn. It writes in parts, so that it is known whether the client takes
// them.
func (c *conn) Write(b []byte) (n int, err error) {
	defer c.endWrite()
	for {
		c.beginWrite()
		written, err := c.Conn.Write(b[n:min(len(b), n+writePartBytes)])
		if n += written; err != nil || n >= len(b) {
			return n, err
		}
	}
}

// beginWrite records that a part of a response is being written. A client that takes nothing for
// long loses its connection, also while there is room.
func (c *conn) beginWrite() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	now := time.Now()
	c.writingSince = now
	if now.Before(c.renewWriteAt) {
		return
	}
	c.renewWriteAt = now.Add(writeTimeout / 2)
	until := now.Add(writeTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(until) {
		until = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(until)
}

func (c *conn) endWrite() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = time.Time{}
}

// SetWriteDeadline implements net.Conn. A deadline that has passed ends a write in progress.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writeDeadline, c.renewWriteAt = t, time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// note records bytes that were read and returns what they cost as a part of a header section.
// The caller must hold the mutex.
func (c *conn) note(b []byte) int64 {
	if c.secured {
		// The lines cannot be seen: each takes three bytes or more.
		return int64(len(b)) * (byteFactor + lineBytes/3)
	}
	lines := int64(bytes.Count(b, []byte{'\n'}))
	rest := b
	if c.phase == inHead {
		if end := c.headEnd(b); end >= 0 {
			rest = b[end:]
			c.aheadLines, c.aheadBytes, c.previousLines = 0, 0, 0
		}
	}
	c.aheadLines += int64(bytes.Count(rest, []byte{'\n'}))
	if c.aheadBytes += int64(len(rest)); c.aheadBytes >= readerBytes {
		c.previousLines, c.aheadLines, c.aheadBytes = c.aheadLines, 0, 0
	}
	return int64(len(b))*byteFactor + lines*lineBytes
}

// headEnd returns the index after the last empty line in b, -1 if there is none.
func (c *conn) headEnd(b []byte) int {
	joined := append(c.tail, b...)
	end := max(bytes.LastIndex(joined, []byte("\n\r\n"))+3, bytes.LastIndex(joined, []byte("\n\n"))+2)
	before := len(c.tail)
	c.tail = append(c.tail[:0:0], joined[max(0, len(joined)-2):]...)
	if end < 3 && !(end == 2 && bytes.HasPrefix(joined, []byte("\n\n"))) {
		return -1
	}
	return max(0, end-before)
}

// ahead returns what the lines cost that may have been read of the next header section. The
// caller must hold the mutex.
func (c *conn) ahead() int64 { return (c.aheadLines + c.previousLines) * lineBytes }

// enter begins a phase. The caller must hold the mutex.
func (c *conn) enter(p phase, now time.Time) {
	c.phase, c.since, c.last, c.bytes = p, now, now, 0
	if p == idle {
		c.tail = nil
	}
}

// setMemory replaces what the connection holds by less. The caller must hold the mutex.
func (c *conn) setMemory(memory int64) {
	if memory < c.memory {
		c.limiter.take(c, usage{memory: memory - c.memory})
	}
}

// refuseHead refuses a connection that sends a header section for which there is no memory.
func (l *Limiter) refuseHead(c *conn) {
	l.mu.Lock()
	already := c.evicted
	if !already {
		l.mark(c)
	}
	l.mu.Unlock()
	if !already {
		c.drop()
	}
}

// drop ends a connection that evict has chosen. A body is ended by its handler, which refuses
// the request.
func (c *conn) drop() {
	l := c.limiter
	l.mu.Lock()
	evicted, p, began, closeIdle := c.evicted, c.phase, c.bytes > 0, c.closeIdle
	l.mu.Unlock()
	switch {
	case !evicted:
		if closeIdle() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.report(idle.String(), time.Now())
		}
		return
	case p == inBody:
		_ = c.Conn.SetReadDeadline(time.Now())
		return
	case p == inHead && began && !c.secured:
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			int(Spread(leastRetry)/time.Second))
	}
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It replaces the deadlines of the placeholders.
func (c *conn) SetReadDeadline(t time.Time) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch left := t.Sub(now); {
	case c.evicted:
		return nil
	case t.IsZero():
	case left > leastIdle:
		t = time.Time{}
		if l.idle > 0 {
			t = now.Add(l.idle)
		}
	case left > leastHeader:
		t = now.Add(l.header)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// release gives back all that a closed connection holds.
func (c *conn) release() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	l.setFlow(c, nil)
	l.take(c, usage{-c.memory, -c.descriptors})
	delete(l.conns, c)
}

// connState is the hook of http.Server.
func (l *Limiter) connState(of net.Conn, state http.ConnState) {
	c := find(of)
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if !c.evicted {
			c.enter(running, time.Now())
		}
	case http.StateIdle:
		l.setFlow(c, nil)
		if !c.evicted {
			c.enter(idle, time.Now())
			c.setMemory(connectionBytes + c.ahead())
		}
	}
}

// perRequest returns what a request that runs holds for its call to an upstream.
func (l *Limiter) perRequest() usage {
	if l.opts.Local {
		return usage{}
	}
	return usage{memory: requestBytes, descriptors: 1}
}

// begin takes the memory and the descriptor of a request whose header section is complete.
func (c *conn) begin(r *http.Request) error {
	l := c.limiter
	l.mu.Lock()
	cost := connectionBytes + c.ahead() + headCost(r)
	c.setMemory(cost)
	more := usage{memory: cost - c.memory}
	more.add(l.perRequest())
	l.mu.Unlock()
	return l.reserve(c, claim{usage: more})
}

// end gives back what begin took.
func (c *conn) end() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.gone {
		u := c.limiter.perRequest()
		c.limiter.take(c, usage{-u.memory, -u.descriptors})
	}
}

// headCost returns the memory for the header section of a request.
func headCost(r *http.Request) int64 {
	cost := int64(len(r.RequestURI)+len(r.Host)) * byteFactor
	for name, values := range r.Header {
		cost += int64(len(name)) * byteFactor
		for _, v := range values {
			cost += int64(len(v))*byteFactor + lineBytes + int64(strings.Count(v, ","))*itemBytes
		}
	}
	return cost
}

// Spread returns a time from after up to twice that, so that clients that are refused together
// do not return together.
func Spread(after time.Duration) time.Duration { return after + rand.N(after) }

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn returns a function for http.Server.ConnContext.
func withConn(outer func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, of net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, of)
		}
		return context.WithValue(ctx, connKey{}, find(of))
	}
}

func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// find returns the conn that a connection wraps, nil if it wraps none.
func find(of net.Conn) *conn {
	for {
		if c, ok := of.(*conn); ok {
			return c
		}
		wrapper, ok := of.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		of = wrapper.NetConn()
	}
}

// Share returns the share of the body of a request in the memory of its connection, nil if the
// server of the request has no limiter.
func Share(ctx context.Context) *bodybudget.Share {
	if c := fromContext(ctx); c != nil {
		return bodybudget.NewShare(c)
	}
	return nil
}

// HoldResponse takes memory, until the request of a context has ended, for a part of its
// response that the client has not taken yet. It returns bodybudget.ErrFull if there is none, or
// if the request has ended.
func HoldResponse(ctx context.Context, bytes int) error {
	c := fromContext(ctx)
	if c == nil {
		return nil
	}
	c.limiter.mu.Lock()
	ended := c.phase != running
	c.limiter.mu.Unlock()
	if ended {
		return bodybudget.ErrFull
	}
	return c.Take(int64(bytes))
}

// Take implements bodybudget.Source.
func (c *conn) Take(bytes int64) error {
	c.limiter.mu.Lock()
	want := claim{usage: usage{memory: bytes}, flow: c.flow}
	c.limiter.mu.Unlock()
	return c.limiter.reserve(c, want)
}

// Return implements bodybudget.Source.
func (c *conn) Return(bytes int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.gone {
		c.limiter.take(c, usage{memory: -bytes})
	}
}

// ReadingBody marks the connection of a request as one that sends a body, until the returned
// function is called. That returns an error if the connection has lost its place meanwhile;
// the request must then be refused.
func ReadingBody(ctx context.Context) (done func() error) {
	c := fromContext(ctx)
	if c == nil {
		return func() error { return nil }
	}
	enter := func(p phase) error {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		if c.evicted {
			return bodybudget.ErrFull
		}
		c.enter(p, time.Now())
		return nil
	}
	_ = enter(inBody)
	return func() error { return enter(running) }
}
