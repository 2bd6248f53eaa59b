package daemon

import (
	"crypto/tls"
	"net"

	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/settings"
)

// listen binds the listeners that were not given, and adds TLS to those of
// callers and operators where the settings ask for it. The peer listener is
// secured by package peer.
func (d *Daemon) listen() error {
	s := d.o.Settings
	for _, l := range []struct {
		into    *net.Listener
		address string
		files   settings.TLSFiles
	}{
		{&d.o.Callers, s.Listen.Callers, s.TLS.Callers},
		{&d.o.Operators, s.Listen.Operators, s.TLS.Operators},
		{&d.o.Peers, s.Listen.Peers, settings.TLSFiles{}},
	} {
		config, err := l.files.Config()
		if err != nil {
			return err
		}
		if *l.into == nil {
			listener, err := net.Listen("tcp", l.address)
			if err != nil {
				return oops.Wrapf(err, "listener")
			}
			*l.into = listener
		}
		if config != nil {
			*l.into = tls.NewListener(*l.into, config)
		}
	}
	return nil
}
