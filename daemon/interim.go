package daemon

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/oklog/run"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/tree"
)

type openLimiter struct{}

func (openLimiter) Admit(*tree.Effective, int) (func(int), error) { return func(int) {}, nil }

var errNoPeer = errors.New("peer unknown")

type interimPeers struct {
	registry *registry
	mu       sync.Mutex
	clients  map[string]*rpc.Client
}

func (p *interimPeers) call(ctx context.Context, to, method string, in, out any) error {
	address, ok := p.registry.addressOf(to)
	if !ok {
		return errNoPeer
	}
	p.mu.Lock()
	c := p.clients[address]
	p.mu.Unlock()
	if c == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		c = rpc.NewClient(conn)
		p.mu.Lock()
		p.clients[address] = c
		p.mu.Unlock()
	}
	call := c.Go(method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.Done:
	}
	if call.Error != nil {
		if _, server := call.Error.(rpc.ServerError); !server {
			p.mu.Lock()
			delete(p.clients, address)
			p.mu.Unlock()
		}
	}
	return call.Error
}

func (p *interimPeers) Sync(ctx context.Context, to string, r spread.SyncRequest) (spread.SyncReply, error) {
	var reply spread.SyncReply
	err := p.call(ctx, to, "Peer.Sync", r, &reply)
	return reply, err
}

func (p *interimPeers) Notify(ctx context.Context, to string, n spread.Notification) error {
	return p.call(ctx, to, "Peer.Notify", n, new(bool))
}

type copyArgs struct{ Entries []byte }
type releaseArgs struct {
	Owner   string
	Through uint64
}

func vmOf(peer string) string {
	for i := len(peer) - 1; i >= 0; i-- {
		if peer[i] == '/' {
			return peer[:i]
		}
	}
	return peer
}

func (p *interimPeers) CopyEntries(ctx context.Context, peer string, entries []byte) error {
	return p.call(ctx, vmOf(peer), "Peer.Copy", copyArgs{entries}, new(bool))
}

func (p *interimPeers) ReleaseEntries(ctx context.Context, peer, owner string, through uint64) error {
	return p.call(ctx, vmOf(peer), "Peer.Release", releaseArgs{owner, through}, new(bool))
}

// InterimServer is replaced by package peer.
type InterimServer struct {
	config *configuration
	ledger *ledger.Ledger
}

// Sync answers a pull.
func (s *InterimServer) Sync(r spread.SyncRequest, reply *spread.SyncReply) error {
	answer, effects, err := s.config.node.HandleSync(r)
	if err != nil {
		return err
	}
	*reply = answer
	s.config.carryOut(context.Background(), effects)
	return nil
}

// Notify takes a notification.
func (s *InterimServer) Notify(n spread.Notification, _ *bool) error {
	effects, err := s.config.node.HandleNotify(n)
	if err != nil {
		return err
	}
	s.config.carryOut(context.Background(), effects)
	return nil
}

// Copy takes entries.
func (s *InterimServer) Copy(a copyArgs, _ *bool) error { return s.ledger.Accept(a.Entries) }

// Release drops entries.
func (s *InterimServer) Release(a releaseArgs, _ *bool) error {
	s.ledger.AcceptRelease(a.Owner, a.Through)
	return nil
}

func (d *Daemon) addPeers(g *run.Group) {
	server := rpc.NewServer()
	_ = server.RegisterName("Peer", &InterimServer{config: d.config, ledger: d.ledger})
	g.Add(func() error {
		for {
			conn, err := d.o.Peers.Accept()
			if err != nil {
				return nil
			}
			go server.ServeConn(conn)
		}
	}, func(error) { _ = d.o.Peers.Close() })
}
