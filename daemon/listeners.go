package daemon

import (
	"crypto/tls"
	"net"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/settings"
)

// listen binds the listeners that Options does not provide, and adds TLS to those
// for callers and operators where the settings require it. Package peer secures
// the peer listener.
func (d *Daemon) listen() error {
	s := d.opts.Settings
	for _, l := range []struct {
		target  *net.Listener
		address string
		files   settings.TLSFiles
	}{
		{&d.opts.Callers, s.Listen.Callers, s.TLS.Callers},
		{&d.opts.Operators, s.Listen.Operators, s.TLS.Operators},
		{&d.opts.Peers, s.Listen.Peers, settings.TLSFiles{}},
	} {
		config, err := l.files.Config()
		if err != nil {
			return err
		}
		if *l.target == nil {
			listener, err := net.Listen("tcp", l.address)
			if err != nil {
				return oops.Wrapf(err, "listener")
			}
			*l.target = listener
		}
		switch l.target {
		case &d.opts.Callers:
			*l.target = d.callerLimit.Listener(*l.target, d.callerConns, config != nil)
		case &d.opts.Operators:
			*l.target = d.operatorLimit.Listener(*l.target, d.operatorConns, config != nil)
		case &d.opts.Peers:
			d.peerConns = clientlimit.NewPeerListener(*l.target, d.peerDescriptors(), d.logger)
			*l.target = d.peerConns
		}
		if config != nil {
			*l.target = tls.NewListener(*l.target, config)
		}
	}
	return nil
}
