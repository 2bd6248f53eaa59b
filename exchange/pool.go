package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a new connection. It is many times the round trip
	// between zones, and shorter than the first retransmission of a lost opening
	// packet (1 s), so that another upstream is tried instead.
	dialTimeout = 250 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that
	// went silent for good after about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdle is how long a connection is kept when the upstream does not
	// state its idle timeout.
	defaultIdle = 2 * time.Second
	// maxIdle bounds idle connections whatever the upstream states.
	maxIdle = 8 * time.Second
	// idleShare is the part of the stated idle timeout that is used, so that a
	// request does not cross the upstream's close.
	idleShare = 0.6
	// maxIdlePerAddress bounds the idle connections to one upstream, so that those
	// of all VMs together (up to 100) stay below what it accepts (370 and more for
	// engines).
	maxIdlePerAddress = 4
	// readBufferBytes fits a header and a few events.
	readBufferBytes = 4096
)

// ErrNotSent marks failures before any byte of the request was written.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() time.Time

	mu   sync.Mutex
	idle map[string][]*connection
	// open counts the connections to each address, in use or idle.
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dial: dialTCP, now: time.Now, idle: map[string][]*connection{}, open: map[string]int{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// connection is one channel to an upstream; it serves one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// until is when the connection is no longer reused.
	until time.Time
	used  time.Time
	once  sync.Once
	pool  *Pool
}

// discard closes the connection; it may be called more than once.
func (c *connection) discard() {
	c.once.Do(func() {
		_ = c.Close()
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if c.pool.open[c.address]--; c.pool.open[c.address] <= 0 {
			delete(c.pool.open, c.address)
		}
	})
}

// take returns an idle connection that is still sound, or nil. maxAge bounds
// the time since its last use.
func (p *Pool) take(address string, maxAge time.Duration) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		now := p.now()
		if now.Before(c.until) && now.Sub(c.used) <= maxAge && c.reader.Buffered() == 0 && quiet(c.Conn) {
			return c
		}
		c.discard()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
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
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBufferBytes), pool: p}, nil
}

// put returns a connection whose last answer is complete. stated is the idle
// timeout of the upstream, 0 if it stated none.
func (p *Pool) put(c *connection, stated time.Duration) {
	idle := defaultIdle
	if stated > 0 {
		idle = min(maxIdle, time.Duration(idleShare*float64(stated)))
	}
	c.used = p.now()
	c.until = c.used.Add(idle)
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

// Open returns the number of connections to an address.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes idle connections whose time is over; call it about once a second.
func (p *Pool) Sweep() {
	now := p.now()
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

// Drop closes the idle connections to an address, for example when its
// upstream is gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.discard()
	}
}
