package peer

import (
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
)

// acceptRetryDelay is the delay after a failed accept, for example when file
// descriptors have run out.
const acceptRetryDelay = 100 * time.Millisecond

// Node handles the messages of the dissemination protocol.
type Node interface {
	HandleSync(spread.SyncRequest) (spread.SyncReply, error)
	HandleNotify(spread.Notification) error
}

// Ledger keeps copies of the ledger entries of other daemons.
type Ledger interface {
	CopyEntries(holder string, entries []byte) error
	ReleaseEntries(owner string, upTo int64) error
}

// Learner handles what other daemons have learned about versions and upstreams.
type Learner interface {
	HandleLearned(from string, incarnation int64, data []byte) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Node   Node
	Ledger Ledger
	// Learner is optional. Without it, messages for it are dropped.
	Learner  Learner
	Security Security
	// MaxMessageBytes and MaxConnections default to DefaultMaxMessageBytes and
	// DefaultMaxConnections.
	MaxMessageBytes int
	MaxConnections  int
}

// ServerCounters counts events since NewServer.
type ServerCounters struct {
	Accepted        expvar.Int // connections that were authenticated
	Refused         expvar.Int // connections above MaxConnections
	Unauthenticated expvar.Int // connections without a valid certificate or token
	Oversized       expvar.Int // messages above MaxMessageBytes
	Malformed       expvar.Int // messages that could not be decoded
	Replayed        expvar.Int // requests whose number did not increase
	Rejected        expvar.Int // requests that the node, ledger or learner rejected
	Handled         expvar.Int // requests that the node, ledger or learner accepted
}

// Var returns the counters for publication under one name.
func (c *ServerCounters) Var() expvar.Var {
	m := new(expvar.Map)
	m.Set("accepted", &c.Accepted)
	m.Set("refused", &c.Refused)
	m.Set("strangers", &c.Unauthenticated)
	m.Set("oversized", &c.Oversized)
	m.Set("malformed", &c.Malformed)
	m.Set("replayed", &c.Replayed)
	m.Set("rejected", &c.Rejected)
	m.Set("handled", &c.Handled)
	return m
}

// Server accepts connections of other daemons. It is safe for concurrent use.
type Server struct {
	opts ServerOptions
	rpc  *rpc.Server
	// Counters may be read at any time.
	Counters ServerCounters

	done     chan struct{}
	handlers sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// NewServer returns a server that is not yet listening.
func NewServer(opts ServerOptions) (*Server, error) {
	if err := opts.Security.validate(); err != nil {
		return nil, err
	}
	if opts.MaxMessageBytes == 0 {
		opts.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if opts.MaxConnections == 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	s := &Server{opts: opts, rpc: rpc.NewServer(), done: make(chan struct{}), conns: make(map[net.Conn]bool)}
	return s, s.rpc.RegisterName(serviceName, &service{node: opts.Node, ledger: opts.Ledger, learner: opts.Learner, counters: &s.Counters})
}

// Serve accepts connections until Close, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.admit(conn)
		case errors.Is(err, net.ErrClosed):
			return s.acceptError(err)
		default:
			retry := time.NewTimer(acceptRetryDelay)
			select {
			case <-s.done:
				retry.Stop()
				return nil
			case <-retry.C:
			}
		}
	}
}

// acceptError returns nil when Close has closed the listener, and err otherwise.
func (s *Server) acceptError(err error) error {
	select {
	case <-s.done:
		return nil
	default:
		return err
	}
}

// admit starts to serve a connection, or closes it when there are MaxConnections.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.MaxConnections {
		s.Counters.Refused.Add(1)
		_ = conn.Close()
		return
	}
	s.conns[conn] = true
	s.handlers.Go(func() {
		s.handle(conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	})
}

// handle authenticates a connection and serves its requests until it ends.
func (s *Server) handle(conn net.Conn) {
	defer conn.Close()
	secured, err := s.opts.Security.accept(conn)
	if err != nil {
		s.Counters.Unauthenticated.Add(1)
		return
	}
	clientlimit.ConfirmPeer(conn)
	s.Counters.Accepted.Add(1)
	s.rpc.ServeCodec(&serverCodec{
		framed:   newFramed(secured, s.opts.MaxMessageBytes),
		counters: &s.Counters,
		inFlight: make(chan struct{}, maxInFlight),
	})
}

// Close stops accepting, closes all connections and waits until no request is
// being handled.
func (s *Server) Close() error {
	s.mu.Lock()
	var err error
	if !s.closed {
		s.closed = true
		close(s.done)
		if s.listener != nil {
			err = s.listener.Close()
		}
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
	return err
}

// service holds the RPC methods.
type service struct {
	node     Node
	ledger   Ledger
	learner  Learner
	counters *ServerCounters
}

// countResult counts a request by its result and returns err.
func (s *service) countResult(err error) error {
	if err != nil {
		s.counters.Rejected.Add(1)
	} else {
		s.counters.Handled.Add(1)
	}
	return err
}

// Sync handles the periodic exchange of configuration state.
func (s *service) Sync(r *spread.SyncRequest, reply *spread.SyncReply) error {
	var err error
	*reply, err = s.node.HandleSync(*r)
	return s.countResult(err)
}

// Notify handles a notification.
func (s *service) Notify(n *spread.Notification, _ *Nothing) error {
	return s.countResult(s.node.HandleNotify(*n))
}

// CopyEntries keeps a copy of ledger entries.
func (s *service) CopyEntries(r *CopyRequest, _ *Nothing) error {
	return s.countResult(s.ledger.CopyEntries(r.Holder, r.Entries))
}

// ReleaseEntries releases copies of ledger entries.
func (s *service) ReleaseEntries(r *ReleaseRequest, _ *Nothing) error {
	return s.countResult(s.ledger.ReleaseEntries(r.Owner, r.UpTo))
}

// Learned handles what another daemon has learned.
func (s *service) Learned(r *LearnedRequest, _ *Nothing) error {
	if s.learner == nil {
		return nil
	}
	return s.countResult(s.learner.HandleLearned(r.From, r.Incarnation, r.Data))
}
