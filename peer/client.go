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
	// DefaultMinBackoff and DefaultMaxBackoff bound the pause between attempts
	// to connect to a peer. It doubles with each failure.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Dial connects to the VM with the given id. Required.
	Dial     func(ctx context.Context, id string) (net.Conn, error)
	Security Security
	// CallTimeout, MaxMessageBytes, MinBackoff and MaxBackoff default to the
	// constants of the same names.
	CallTimeout            time.Duration
	MaxMessageBytes        int
	MinBackoff, MaxBackoff time.Duration
}

// ClientCounters counts events since NewClient.
type ClientCounters struct {
	Connects  expvar.Int // connections made
	Unreached expvar.Int // attempts to connect that failed
	Backoffs  expvar.Int // calls not made, because of a recent failed attempt
	Calls     expvar.Int // calls answered
	Refusals  expvar.Int // calls answered with an error
	Timeouts  expvar.Int
	Failures  expvar.Int // connections lost during a call
}

// Var returns the counters for publication under one name.
func (c *ClientCounters) Var() expvar.Var {
	m := new(expvar.Map)
	m.Set("connects", &c.Connects)
	m.Set("unreached", &c.Unreached)
	m.Set("backoffs", &c.Backoffs)
	m.Set("calls", &c.Calls)
	m.Set("refusals", &c.Refusals)
	m.Set("timeouts", &c.Timeouts)
	m.Set("failures", &c.Failures)
	return m
}

// Client calls other daemons over one connection each. It is safe for
// concurrent use.
type Client struct {
	o ClientOptions
	// Counters may be read at any time.
	Counters ClientCounters

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) (*Client, error) {
	if err := o.Security.check(); err != nil {
		return nil, err
	}
	if o.Dial == nil {
		return nil, errors.New("peer client needs a dial function")
	}
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, DefaultMaxMessageBytes)
	o.MinBackoff = cmp.Or(o.MinBackoff, DefaultMinBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	return &Client{o: o, links: make(map[string]*link)}, nil
}

// Sync exchanges state with the VM.
func (c *Client) Sync(ctx context.Context, to string, r spread.SyncRequest) (spread.SyncReply, error) {
	// A new value for each call: gob leaves fields alone that are not sent.
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
// must not be modified afterwards, also when the call has failed, because a
// call that timed out may still be sending it.
func (c *Client) CopyEntries(ctx context.Context, to, holder string, entries []byte) error {
	if len(entries) > c.o.MaxMessageBytes {
		return &CallError{To: to, Method: methodCopy, Err: ErrTooLarge}
	}
	return c.call(ctx, to, methodCopy, &CopyRequest{Holder: holder, Entries: entries}, &Nothing{})
}

// ReleaseEntries tells the VM that the owner's entries up to a sequence number
// are stored.
func (c *Client) ReleaseEntries(ctx context.Context, to, owner string, upTo int64) error {
	return c.call(ctx, to, methodRelease, &ReleaseRequest{Owner: owner, UpTo: upTo}, &Nothing{})
}

// Learned sends what this daemon has learned.
func (c *Client) Learned(ctx context.Context, to string, r LearnedRequest) error {
	return c.call(ctx, to, methodLearned, &r, &Nothing{})
}

func (c *Client) call(ctx context.Context, to, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	remote := false
	err := c.tryCall(ctx, to, method, request, reply)
	var answered rpc.ServerError
	switch {
	case err == nil:
		c.Counters.Calls.Add(1)
		return nil
	case errors.As(err, &answered):
		c.Counters.Refusals.Add(1)
		remote = true
	case errors.Is(err, ErrBackoff):
		c.Counters.Backoffs.Add(1)
	case errors.Is(err, context.DeadlineExceeded):
		c.Counters.Timeouts.Add(1)
	}
	return &CallError{To: to, Method: method, Remote: remote, Err: err}
}

func (c *Client) tryCall(ctx context.Context, to, method string, request, reply any) error {
	l, err := c.link(to)
	if err != nil {
		return err
	}
	err = l.call(ctx, method, request, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection had ended before the call, for example because it was
		// idle. All methods are idempotent.
		err = l.call(ctx, method, request, reply)
	}
	return err
}

func (c *Client) link(to string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	l, ok := c.links[to]
	if !ok {
		l = &link{c: c, id: to, dialling: make(chan struct{}, 1)}
		c.links[to] = l
	}
	return l, nil
}

// Reached says that the VM has sent a message by itself, so that the next call
// need not wait for the end of a pause.
func (c *Client) Reached(id string) {
	c.mu.Lock()
	l := c.links[id]
	c.mu.Unlock()
	if l != nil {
		l.reached()
	}
}

// Retain closes the connections to all VMs but the given ones.
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
