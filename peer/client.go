package peer

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/spread"
)

const (
	// DefaultMinBackoff and DefaultMaxBackoff bound the backoff between
	// attempts to connect to a peer. It doubles with each failure.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Dial connects to the VM with the given id. It is required.
	Dial     func(ctx context.Context, id string) (net.Conn, error)
	Security Security
	// CallTimeout, MaxMessageBytes, MinBackoff and MaxBackoff default to
	// DefaultCallTimeout and so on.
	CallTimeout            time.Duration
	MaxMessageBytes        int
	MinBackoff, MaxBackoff time.Duration
}

// ClientCounters counts events since NewClient.
type ClientCounters struct {
	Connects        expvar.Int // connections made
	ConnectFailures expvar.Int // attempts to connect that failed
	Backoffs        expvar.Int // calls not sent because of the backoff after a failure
	Calls           expvar.Int // calls answered
	RemoteErrors    expvar.Int // calls answered with an error
	Timeouts        expvar.Int
	ConnectionsLost expvar.Int // connections lost during a call
}

// Var returns the counters for publication under one name.
func (c *ClientCounters) Var() expvar.Var {
	m := new(expvar.Map)
	m.Set("connects", &c.Connects)
	m.Set("unreached", &c.ConnectFailures)
	m.Set("backoffs", &c.Backoffs)
	m.Set("calls", &c.Calls)
	m.Set("refusals", &c.RemoteErrors)
	m.Set("timeouts", &c.Timeouts)
	m.Set("failures", &c.ConnectionsLost)
	return m
}

// Client calls other daemons over one connection per daemon. It is safe for
// concurrent use.
type Client struct {
	opts ClientOptions
	// Counters may be read at any time.
	Counters ClientCounters

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client without connections.
func NewClient(opts ClientOptions) (*Client, error) {
	if err := opts.Security.validate(); err != nil {
		return nil, err
	}
	if opts.Dial == nil {
		return nil, errors.New("peer client needs a dial function")
	}
	opts.CallTimeout = cmp.Or(opts.CallTimeout, DefaultCallTimeout)
	opts.MaxMessageBytes = cmp.Or(opts.MaxMessageBytes, DefaultMaxMessageBytes)
	opts.MinBackoff = cmp.Or(opts.MinBackoff, DefaultMinBackoff)
	opts.MaxBackoff = cmp.Or(opts.MaxBackoff, DefaultMaxBackoff)
	return &Client{opts: opts, links: make(map[string]*link)}, nil
}

// Sync exchanges configuration state with the VM.
func (c *Client) Sync(ctx context.Context, to string, r spread.SyncRequest) (spread.SyncReply, error) {
	// Each call decodes into a new value, because gob leaves fields that were
	// not sent unchanged.
	var reply spread.SyncReply
	err := c.call(ctx, to, methodSync, &r, &reply)
	if err != nil {
		// After a timeout net/rpc may still write into reply.
		return spread.SyncReply{}, err
	}
	return reply, nil
}

// Notify sends a notification to the VM.
func (c *Client) Notify(ctx context.Context, to string, n spread.Notification) error {
	return c.call(ctx, to, methodNotify, &n, &Nothing{})
}

// CopyEntries asks the VM to keep a copy of the owner's ledger entries. entries
// must not be modified afterwards, even if the call has failed, because a call
// that timed out may still be sending it.
func (c *Client) CopyEntries(ctx context.Context, to, holder string, entries []byte) error {
	if len(entries) > c.opts.MaxMessageBytes {
		return &CallError{To: to, Method: methodCopy, Err: ErrTooLarge}
	}
	return c.call(ctx, to, methodCopy, &CopyRequest{Holder: holder, Entries: entries}, &Nothing{})
}

// ReleaseEntries tells the VM that the owner's entries up to a sequence number
// are stored.
func (c *Client) ReleaseEntries(ctx context.Context, to, owner string, upTo int64) error {
	return c.call(ctx, to, methodRelease, &ReleaseRequest{Owner: owner, UpTo: upTo}, &Nothing{})
}

// Learned sends what this daemon has learned about versions and upstreams to the
// VM.
func (c *Client) Learned(ctx context.Context, to string, r LearnedRequest) error {
	return c.call(ctx, to, methodLearned, &r, &Nothing{})
}

// call bounds a call by CallTimeout, counts its outcome and wraps its error.
func (c *Client) call(ctx context.Context, to, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	remote := false
	err := c.tryCall(ctx, to, method, request, reply)
	var answered rpc.ServerError
	switch {
	case err == nil:
		c.Counters.Calls.Add(1)
		return nil
	case errors.As(err, &answered):
		c.Counters.RemoteErrors.Add(1)
		remote = true
	case errors.Is(err, ErrBackoff):
		c.Counters.Backoffs.Add(1)
	case errors.Is(err, context.DeadlineExceeded):
		c.Counters.Timeouts.Add(1)
	}
	return &CallError{To: to, Method: method, Remote: remote, Err: err}
}

// tryCall makes a call, and repeats it when the connection had already ended.
func (c *Client) tryCall(ctx context.Context, to, method string, request, reply any) error {
	l, err := c.link(to)
	if err != nil {
		return err
	}
	err = l.call(ctx, method, request, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection had ended before the call, for example because it was
		// idle. The call can be repeated, because all methods are idempotent.
		err = l.call(ctx, method, request, reply)
	}
	return err
}

// link returns the link to the VM and creates it on first use.
func (c *Client) link(to string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	l, ok := c.links[to]
	if !ok {
		l = &link{client: c, id: to, dialSlot: make(chan struct{}, 1)}
		c.links[to] = l
	}
	return l, nil
}

// EndBackoff makes the next call to the VM connect at once. It is meant for a VM
// that has sent a message itself and so is reachable.
func (c *Client) EndBackoff(id string) {
	c.mu.Lock()
	l := c.links[id]
	c.mu.Unlock()
	if l != nil {
		l.endBackoff()
	}
}

// Retain closes the connections to all VMs except the given ones.
func (c *Client) Retain(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := make(map[string]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	for id, l := range c.links {
		if !keep[id] {
			l.close()
			delete(c.links, id)
		}
	}
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.Retain(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
