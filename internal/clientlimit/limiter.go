// Package clientlimit bounds the memory and the descriptors that the clients of a process use
// together: connections, header sections as they are once decoded, and bodies. Without it,
// clients that each stay inside the limits of a request could together use up a VM.
package clientlimit

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/idleconn"
)

// What clients cost, in bytes. The figures are upper estimates for net/http of Go 1.26 on
// 64-bit machines, with the garbage that its growing buffers leave.
const (
	// connectionBytes is a connection with its goroutine and its buffers of 4 KiB.
	connectionBytes = 16 << 10
	// requestBytes is a request that runs: the stacks of its goroutines, and the call to an
	// upstream with its buffers.
	requestBytes = 32 << 10
	// lineBytes is a line of a header section beyond its bytes: its entry in a map that
	// doubles, its slice of values and its strings.
	lineBytes = 320
	// byteFactor is the number of bytes of memory for each byte of a header section: the
	// strings, and the buffer of a line that doubles.
	byteFactor = 3
	// itemBytes is an item of a list in a header value, such as a part of a prompt, once it is
	// decoded.
	itemBytes = 48
)

const (
	// roomTime bounds how long a sender waits until the connections that are closed for it
	// have given back their memory, and roomPollInterval is the interval at which it looks.
	roomTime         = 250 * time.Millisecond
	roomPollInterval = 2 * time.Millisecond
	// unreadBodyTime is how long the rest of a body may arrive whose request is refused.
	unreadBodyTime = 300 * time.Millisecond
	// moreShare is the fraction of the limits that is freed at a time beyond what is needed.
	moreShare = 32
	// tightTime is how long connections are not kept after another one has found no room. A
	// client that sends one request after the other would keep its place otherwise.
	tightTime = time.Second
	// logInterval is the least time between two log lines about clients without room.
	logInterval = time.Second
)

// Options configures a Limiter.
type Options struct {
	// Memory is the number of bytes for connections, header sections and bodies, and
	// Descriptors the number of descriptors for connections of clients and the calls of their
	// requests.
	Memory      int64
	Descriptors int
	// Local is set if requests make no calls, for which a request would hold a descriptor and
	// memory.
	Local bool
	// HeaderTimeout and IdleTimeout are in force until SetTimeouts. An IdleTimeout of 0 is
	// none.
	HeaderTimeout, IdleTimeout time.Duration
	Log                        *zap.Logger
	// Count is called for each connection that is closed, or refused, because there is no
	// room, with what it was doing; it may be nil.
	Count func(doing string)
}

// Limiter keeps the clients of a process inside its memory and its descriptors. It is safe for
// concurrent use.
type Limiter struct {
	opts Options

	mu    sync.Mutex
	conns map[*conn]struct{}
	used  usage
	// leaving is held by connections that are being closed.
	leaving usage
	// flows holds the flows by name, inFlows is what they use together.
	flows        map[string]*flow
	inFlows      usage
	header, idle time.Duration
	// tightUntil is until when connections are not kept, because others found no room.
	tightUntil time.Time
	// evictable and views are reused by evict, which runs for each newcomer while there is no
	// room.
	evictable []*conn
	views     []view
	// closed counts the connections that were closed or refused since the last log line.
	closed     map[string]int
	nextReport time.Time
}

// New returns a limiter without connections.
func New(o Options) *Limiter {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Count == nil {
		o.Count = func(string) {}
	}
	return &Limiter{opts: o, conns: map[*conn]struct{}{}, flows: map[string]*flow{}, header: o.HeaderTimeout, idle: o.IdleTimeout, closed: map[string]int{}}
}

// Usage is what clients use at a time.
type Usage struct {
	Connections, Descriptors int
	Memory                   int64
}

// Usage returns what clients use now.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{len(l.conns), l.used.descriptors, l.used.memory}
}

// SetLimits replaces the memory and the descriptors. Connections that use more are closed, as
// choose says, when others ask for room.
func (l *Limiter) SetLimits(memory int64, descriptors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Memory, l.opts.Descriptors = memory, descriptors
}

// SetTimeouts replaces the time for the header section of a request and the time for which a
// connection is kept without one. Connections that are idle get the new time.
func (l *Limiter) SetTimeouts(header, idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.header, l.idle = header, idleTime
	for c := range l.conns {
		if c.phase == idle {
			_ = c.Conn.SetReadDeadline(c.since.Add(idleTime))
		}
	}
}

// Setup does what Listener and Attach do, for a listener without TLS.
func (l *Limiter) Setup(server *http.Server, of net.Listener, idle *idleconn.Closer, refuse http.HandlerFunc) net.Listener {
	l.Attach(server, idle, refuse)
	return l.Listener(of, idle, false)
}

// Listener returns a listener whose connections count towards the limits. idle closes those
// that wait for a request. TLS, if any, belongs above the listener; secured says that there is
// some.
func (l *Limiter) Listener(of net.Listener, idle *idleconn.Closer, secured bool) net.Listener {
	return idle.Listener(&listener{Listener: of, limiter: l, secured: secured})
}

// Attach prepares a server that serves a listener of l. refuse answers a request for which there
// is no room; it says that the request has not run.
func (l *Limiter) Attach(server *http.Server, idle *idleconn.Closer, refuse http.HandlerFunc) {
	next, state := server.Handler, idle.ConnState
	server.ReadHeaderTimeout, server.IdleTimeout = headerPlaceholder, idlePlaceholder
	server.ConnState = func(of net.Conn, s http.ConnState) {
		state(of, s)
		l.connState(of, s)
	}
	outer := server.ConnContext
	server.ConnContext = withConn(outer)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.begin(r) != nil {
			// net/http reads a part of an unread body before it sends the response.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		defer c.end()
		if l.isTight() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// isTight reports whether another connection has found no room a short time ago.
func (l *Limiter) isTight() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.tightUntil)
}

// claim is what a connection asks for.
type claim struct {
	usage
	// flow, if not nil, must have room as well. joins is set if the connection is to join it
	// with all that it holds.
	flow  *flow
	joins bool
	// spare must be free as well, but is not taken.
	spare usage
}

// reserve takes what a connection asks for. If it does not fit, reserve closes connections as
// choose says and waits until they have given back what they hold.
func (l *Limiter) reserve(c *conn, want claim) error {
	var until time.Time
	for {
		now := time.Now()
		l.mu.Lock()
		if c.evicted || c.gone {
			l.mu.Unlock()
			return bodybudget.ErrFull
		}
		short, of := l.missing(c, want)
		if short == (usage{}) {
			if want.joins {
				l.setFlow(c, want.flow)
			}
			l.take(c, want.usage)
			l.mu.Unlock()
			return nil
		}
		ended := !until.IsZero() && now.After(until)
		if until.IsZero() {
			until = now.Add(roomTime)
		}
		leaving := l.leaving
		if of != nil {
			leaving = of.leaving
		}
		var victims []*conn
		short.add(usage{-leaving.memory, -leaving.descriptors})
		if short = short.needed(); !ended && short != (usage{}) {
			victims = l.evict(c, of, short, now)
			ended = victims == nil
		}
		if ended {
			doing := "share"
			if of == nil {
				doing = c.phase.String()
				l.tightUntil = now.Add(tightTime)
			}
			l.report(doing, now)
		}
		l.mu.Unlock()
		if ended {
			return bodybudget.ErrFull
		}
		for _, v := range victims {
			v.drop()
		}
		time.Sleep(roomPollInterval)
	}
}

// missing returns what must become free for a claim, and the flow whose requests must give it
// back, nil if any connection may. The caller must hold l.mu.
func (l *Limiter) missing(c *conn, want claim) (usage, *flow) {
	more := want.usage
	if want.joins {
		more.add(c.usage)
	}
	if short := l.shortage(want.flow, more).needed(); short != (usage{}) {
		return short, want.flow
	}
	var short usage
	if want.memory > 0 {
		short.memory = l.used.memory + want.memory + want.spare.memory - l.opts.Memory
	}
	if want.descriptors > 0 {
		short.descriptors = l.used.descriptors + want.descriptors + want.spare.descriptors - l.opts.Descriptors
	}
	return short.needed(), nil
}

// evict chooses the connections, of a flow if it is not nil, that are closed for c and marks
// those that are not idle. The caller must hold l.mu, and call drop for each of them without it.
func (l *Limiter) evict(c *conn, of *flow, needed usage, now time.Time) []*conn {
	conns, views := l.evictable[:0], l.views[:0]
	for other := range l.conns {
		if other != c && !other.evicted && (of == nil || other.flow == of) {
			conns, views = append(conns, other), append(views, other.view)
		}
	}
	l.evictable, l.views = conns, views
	defer clear(conns)
	var victims []*conn
	more := usage{l.opts.Memory / moreShare, l.opts.Descriptors / moreShare}
	for _, i := range choose(views, needed, more, now) {
		v := conns[i]
		victims = append(victims, v)
		if v.phase != idle {
			l.mark(v)
			l.report(v.doing(), now)
		}
	}
	return victims
}

// mark marks a connection as evicted. The caller must hold l.mu.
func (l *Limiter) mark(c *conn) {
	c.evicted = true
	l.leaving.add(c.usage)
	if c.flow != nil {
		c.flow.leaving.add(c.usage)
	}
}

// take adds to what a connection holds. The caller must hold l.mu.
func (l *Limiter) take(c *conn, more usage) {
	l.used.add(more)
	c.usage.add(more)
	if c.evicted {
		l.leaving.add(more)
	}
	if c.flow == nil {
		return
	}
	l.inFlows.add(more)
	c.flow.used.add(more)
	if c.evicted {
		c.flow.leaving.add(more)
	}
}

// report counts and logs a connection that is closed or refused. The caller must hold l.mu.
func (l *Limiter) report(doing string, now time.Time) {
	l.opts.Count(doing)
	l.closed[doing]++
	if now.Before(l.nextReport) {
		return
	}
	l.nextReport = now.Add(logInterval)
	l.opts.Log.Warn("no room for clients", zap.Any("closed", l.closed), zap.Int("connections", len(l.conns)),
		zap.Int("descriptors", l.used.descriptors), zap.Int("most_descriptors", l.opts.Descriptors),
		zap.Int64("memory", l.used.memory), zap.Int64("most_memory", l.opts.Memory))
	l.closed = map[string]int{}
}
