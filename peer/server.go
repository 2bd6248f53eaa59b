package peer

import (
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/coord/spread"
)

// acceptRetry is the pause after a failed accept, for example when file
// descriptors run out.
const acceptRetry = 100 * time.Millisecond

// Node takes the messages of the dissemination protocol.
type Node interface {
	HandleSync(spread.SyncRequest) (spread.SyncReply, error)
	HandleNotify(spread.Notification) error
}

// Ledger keeps copies of the ledger entries of other daemons.
type Ledger interface {
	CopyEntries(holder string, entries []byte) error
	ReleaseEntries(owner string, upTo int64) error
}

// Learner takes what other daemons have learned.
type Learner interface {
	HandleLearned(from string, incarnation int64, data []byte) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Node   Node
	Ledger Ledger
	// Learner is optional; without it such messages are dropped.
	Learner  Learner
	Security Security
	// MaxMessageBytes and MaxConnections default to the constants of the same
	// names.
	MaxMessageBytes int
	MaxConnections  int
}

// ServerCounters counts events since NewServer.
type ServerCounters struct {
	Accepted  expvar.Int // connections that proved themselves
	Refused   expvar.Int // connections above the bound
	Strangers expvar.Int // connections without certificate or token
	Oversized expvar.Int // messages above the size bound
	Malformed expvar.Int // messages that could not be decoded
	Replayed  expvar.Int // requests whose number did not grow
	Rejected  expvar.Int // requests that the node or the ledger rejected
	Handled   expvar.Int // requests that they accepted
}

// Var returns the counters for publication under one name.
func (c *ServerCounters) Var() expvar.Var {
	m := new(expvar.Map)
	m.Set("accepted", &c.Accepted)
	m.Set("refused", &c.Refused)
	m.Set("strangers", &c.Strangers)
	m.Set("oversized", &c.Oversized)
	m.Set("malformed", &c.Malformed)
	m.Set("replayed", &c.Replayed)
	m.Set("rejected", &c.Rejected)
	m.Set("handled", &c.Handled)
	return m
}

// Server accepts connections of other daemons. It is safe for concurrent use.
type Server struct {
	o   ServerOptions
	rpc *rpc.Server
	// Counters may be read at any time.
	Counters ServerCounters

	done    chan struct{}
	working sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// NewServer returns a server that is not yet listening.
func NewServer(o ServerOptions) (*Server, error) {
	if err := o.Security.check(); err != nil {
		return nil, err
	}
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	s := &Server{o: o, rpc: rpc.NewServer(), done: make(chan struct{}), conns: make(map[net.Conn]bool)}
	return s, s.rpc.RegisterName(serviceName, &service{node: o.Node, ledger: o.Ledger, learner: o.Learner, counters: &s.Counters})
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
			return s.ended(err)
		default:
			retry := time.NewTimer(acceptRetry)
			select {
			case <-s.done:
				retry.Stop()
				return nil
			case <-retry.C:
			}
		}
	}
}

// ended returns nil when the listener was closed by Close.
func (s *Server) ended(err error) error {
	select {
	case <-s.done:
		return nil
	default:
		return err
	}
}

func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.o.MaxConnections {
		s.Counters.Refused.Add(1)
		_ = conn.Close()
		return
	}
	s.conns[conn] = true
	s.working.Go(func() {
		s.handle(conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	})
}

func (s *Server) handle(conn net.Conn) {
	defer conn.Close()
	secured, err := s.o.Security.accept(conn)
	if err != nil {
		s.Counters.Strangers.Add(1)
		return
	}
	s.Counters.Accepted.Add(1)
	s.rpc.ServeCodec(&serverCodec{
		framed:   newFramed(secured, s.o.MaxMessageBytes),
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
	s.working.Wait()
	return err
}

// service holds the methods that net/rpc calls.
type service struct {
	node     Node
	ledger   Ledger
	learner  Learner
	counters *ServerCounters
}

func (s *service) count(err error) error {
	if err != nil {
		s.counters.Rejected.Add(1)
	} else {
		s.counters.Handled.Add(1)
	}
	return err
}

// Sync answers the periodic exchange.
func (s *service) Sync(r *spread.SyncRequest, reply *spread.SyncReply) error {
	var err error
	*reply, err = s.node.HandleSync(*r)
	return s.count(err)
}

// Notify takes a notification.
func (s *service) Notify(n *spread.Notification, _ *Nothing) error {
	return s.count(s.node.HandleNotify(*n))
}

// CopyEntries takes a copy of ledger entries.
func (s *service) CopyEntries(r *CopyRequest, _ *Nothing) error {
	return s.count(s.ledger.CopyEntries(r.Holder, r.Entries))
}

// ReleaseEntries releases copies.
func (s *service) ReleaseEntries(r *ReleaseRequest, _ *Nothing) error {
	return s.count(s.ledger.ReleaseEntries(r.Owner, r.UpTo))
}

// Learned takes what another daemon has learned.
func (s *service) Learned(r *LearnedRequest, _ *Nothing) error {
	if s.learner == nil {
		return nil
	}
	return s.count(s.learner.HandleLearned(r.From, r.Incarnation, r.Data))
}
