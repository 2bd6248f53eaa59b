package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/oklog/run"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/ledger"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/peer"
	"github.com/savoryshift/savoryshift/settings"
)

var (
	// errUnknownPeer reports a daemon without a known address.
	errUnknownPeer = errors.New("the address of the daemon is not known")
	// errOtherIncarnation reports ledger entries that were sent to another
	// incarnation of this daemon.
	errOtherIncarnation = errors.New("entries are meant for another incarnation of this daemon")
)

// DialFunc opens a connection; it has the type of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// peerSecurity loads the certificates that the settings name or, without any, uses
// the cluster token.
func peerSecurity(s settings.Settings) (peer.Security, error) {
	files := s.TLS.Peers
	if files.CertFile == "" {
		return peer.Security{Token: s.ClusterToken}, nil
	}
	tls, err := peer.LoadTLS(files.CertFile, files.KeyFile, files.CAFile)
	return peer.Security{TLS: tls}, oops.Wrapf(err, "certificates for peers")
}

// connectPeers builds the client for calls to other daemons.
func (d *Daemon) connectPeers() error {
	security, err := peerSecurity(d.opts.Settings)
	if err != nil {
		return err
	}
	d.peerClient, err = peer.NewClient(peer.ClientOptions{Dial: dialPeer(d.registry, d.opts.Dial), Security: security})
	if err != nil {
		return oops.Wrapf(err, "peers")
	}
	d.config.peers = d.peerClient
	return nil
}

// newPeerServer builds the server for calls of other daemons.
func (d *Daemon) newPeerServer() (*peer.Server, error) {
	security, err := peerSecurity(d.opts.Settings)
	if err != nil {
		return nil, err
	}
	self := ledgerID(d.config.members.Self())
	return peer.NewServer(peer.ServerOptions{Node: d.config, Ledger: peerLedger{self: self, ledger: d.ledger}, Learner: d.learning, Security: security})
}

// dialPeer connects to a daemon by id.
func dialPeer(r *registry, dial DialFunc) func(ctx context.Context, id string) (net.Conn, error) {
	return func(ctx context.Context, id string) (net.Conn, error) {
		address, ok := r.addressOf(id)
		if !ok {
			return nil, fmt.Errorf("%w: %s", errUnknownPeer, id)
		}
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			r.reportUnreachable(id)
		}
		return conn, err
	}
}

// copier implements ledger.Copier on package peer. Ledger ids consist of the id of
// a VM and its incarnation.
type copier struct{ client *peer.Client }

// CopyEntries implements ledger.Copier.
func (c copier) CopyEntries(ctx context.Context, holder string, entries []byte) error {
	return c.client.CopyEntries(ctx, vmOfLedgerID(holder), holder, entries)
}

// ReleaseEntries implements ledger.Copier.
func (c copier) ReleaseEntries(ctx context.Context, holder, owner string, through uint64) error {
	return c.client.ReleaseEntries(ctx, vmOfLedgerID(holder), owner, int64(through))
}

func vmOfLedgerID(id string) string {
	if at := strings.LastIndexByte(id, '/'); at >= 0 {
		return id[:at]
	}
	return id
}

// peerLedger implements peer.Ledger on coord/ledger.
type peerLedger struct {
	self   string
	ledger *ledger.Ledger
}

// CopyEntries implements peer.Ledger.
func (p peerLedger) CopyEntries(holder string, entries []byte) error {
	if holder != p.self {
		return errOtherIncarnation
	}
	return p.ledger.Accept(entries)
}

// ReleaseEntries implements peer.Ledger.
func (p peerLedger) ReleaseEntries(owner string, upTo int64) error {
	p.ledger.AcceptRelease(owner, uint64(upTo))
	return nil
}

// HandleSync implements peer.Node.
func (c *configuration) HandleSync(r spread.SyncRequest) (spread.SyncReply, error) {
	reply, effects, err := c.node.HandleSync(r)
	if err == nil {
		c.performEffects(c.runCtx, effects)
	}
	return reply, err
}

// HandleNotify implements peer.Node.
func (c *configuration) HandleNotify(n spread.Notification) error {
	effects, err := c.node.HandleNotify(n)
	if err == nil {
		c.performEffects(c.runCtx, effects)
	}
	return err
}

// addPeers adds the peer listener.
func (d *Daemon) addPeers(g *run.Group) {
	g.Add(func() error {
		return oops.Wrapf(d.peerServer.Serve(d.opts.Peers), "peer listener")
	}, func(error) {
		_ = d.peerServer.Close()
		d.peerClient.Close()
	})
}
