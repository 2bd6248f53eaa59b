package exchange

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/savoryshift/savoryshift/internal/oldhead"
	"github.com/savoryshift/savoryshift/internal/sockopt"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive,
	// in whole seconds. With unackedTimeout the kernel drops a connection whose first
	// probe is unanswered for keepAliveInterval. The host of a sound upstream may pause
	// for less.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 2
	// unackedTimeout bounds the time for which the bytes of a request may be
	// unacknowledged, also after the request was given up.
	unackedTimeout = 2 * time.Second
	// longBodyUnackedTimeout replaces unackedTimeout while a body is sent that an
	// upstream may not have room for. The kernel counts the time in which the upstream
	// does not read like missing acknowledgements.
	longBodyUnackedTimeout = 4 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not state its idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdleTimeout is the maximum time that an idle connection is kept, whatever
	// idle timeout the upstream states.
	maxIdleTimeout = 8 * time.Second
	// idleTimeoutShare is the fraction of the stated idle timeout for which a
	// connection is kept, so that a request is not sent while the upstream closes
	// the connection.
	idleTimeoutShare = 0.6
	// maxIdlePerAddress bounds the idle connections to one upstream, so that the
	// connections of all VMs (up to 100) stay below the limit of the upstream
	// (at least 370 for engines).
	maxIdlePerAddress = 4
	// maxConnectionRequests bounds the requests with an ID that are sent on a
	// connection, because it keeps a hash of each ID.
	maxConnectionRequests = 256
	// readBufferBytes is enough for a response header and a few events.
	readBufferBytes = 4096
)

// ErrNotSent is wrapped by errors that occur before any byte of the request is
// written.
var ErrNotSent = errors.New("request was not sent")

// Pool sends requests and keeps idle connections to upstreams for reuse. It is
// safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() time.Time
	seed maphash.Seed

	mu   sync.Mutex
	idle map[string][]*connection
	// open counts the connections to each address, in use or idle.
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dial: dialTCP, now: time.Now, seed: maphash.MakeSeed(), idle: map[string][]*connection{}, open: map[string]int{}}
}

// connection is a connection to an upstream. It carries one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// headLeft is the number of bytes that may still be read while readingHead is set.
	// Only the goroutine that reads the response uses them.
	headLeft    int
	readingHead bool
	// head scans the header that is read.
	head oldhead.Scanner
	// interim is set once a 1xx response was read.
	interim bool
	// reusableUntil is the end of the time in which an idle connection may be reused.
	reusableUntil time.Time
	lastUsed      time.Time
	// longBody is set while the connection has longBodyUnackedTimeout.
	longBody atomic.Bool
	// requests holds the hashes of the IDs of the requests that were sent.
	requests []uint64
	// unanswered is set while a request has no complete response.
	unanswered  atomic.Bool
	discardOnce sync.Once
	pool        *Pool
}

// discard closes the connection; it may be called more than once. A connection with an
// unanswered request is reset, so that the bytes that are still in the send buffer are
// not delivered.
func (c *connection) discard() {
	c.discardOnce.Do(func() {
		c.endLongBody()
		if c.unanswered.Load() {
			sockopt.ResetOnClose(c.Conn)
		}
		_ = c.Close()
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if c.pool.open[c.address]--; c.pool.open[c.address] <= 0 {
			delete(c.pool.open, c.address)
		}
	})
}

// recordRequest records that a request is sent on the connection.
func (c *connection) recordRequest(id string) {
	c.unanswered.Store(true)
	if id != "" {
		c.requests = append(c.requests, maphash.String(c.pool.seed, id))
	}
}

// carried reports whether a request with the ID was sent on the connection.
func (c *connection) carried(id string) bool {
	return id != "" && slices.Contains(c.requests, maphash.String(c.pool.seed, id))
}

// takeIdle removes and returns an idle connection that may be reused for the request,
// or nil. maxAge bounds the time since its last use; with 0, no connection is taken.
// Connections that fail the checks are closed.
func (p *Pool) takeIdle(address, id string, maxAge time.Duration) *connection {
	if maxAge <= 0 {
		return nil
	}
	for {
		c := p.pop(address, id)
		if c == nil {
			return nil
		}
		now := p.now()
		if now.Before(c.reusableUntil) && now.Sub(c.lastUsed) <= maxAge && c.reader.Buffered() == 0 && connHealthy(c.Conn) {
			return c
		}
		c.discard()
	}
}

// pop removes and returns the newest idle connection on which the request was not sent.
func (p *Pool) pop(address, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.carried(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// beginLongBody allows for an upstream that pauses while a long body is sent.
func (c *connection) beginLongBody() {
	if sockopt.SetUnacked(c.Conn, longBodyUnackedTimeout) == nil {
		c.longBody.Store(true)
	}
}

// endLongBody ends the effect of beginLongBody. An error means that the connection is
// closed already.
func (c *connection) endLongBody() {
	if c.longBody.Swap(false) {
		_ = sockopt.SetUnacked(c.Conn, unackedTimeout)
	}
}

// connect opens a new connection.
func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	c := &connection{Conn: conn, address: address, pool: p}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Refuses reports whether the host of an address refuses a connection at once, because no
// process listens there.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	return errors.Is(p.Probe(ctx, address), syscall.ECONNREFUSED)
}

// Probe opens a connection to an address and closes it. It returns an error if the host
// refuses the connection or does not answer.
func (p *Pool) Probe(ctx context.Context, address string) error {
	conn, err := p.dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// put returns a connection to the pool after a complete response. statedTimeout
// is the idle timeout that the upstream stated, 0 if it stated none.
func (p *Pool) put(c *connection, statedTimeout time.Duration) {
	idle := defaultIdleTimeout
	if statedTimeout > 0 {
		idle = min(maxIdleTimeout, time.Duration(idleTimeoutShare*float64(statedTimeout)))
	}
	c.endLongBody()
	c.lastUsed = p.now()
	c.reusableUntil = c.lastUsed.Add(idle)
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerAddress
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		c.discard()
	}
}

// OpenConnections returns the number of connections to an address, idle or in use.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes idle connections that may no longer be reused or have unread bytes. It
// is meant to be called about once a second.
func (p *Pool) Sweep() {
	now := p.now()
	var expired []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil) && connHealthy(c.Conn) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// CloseIdle closes the idle connections to an address, for example after its
// upstream was replaced.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.discard()
	}
}
