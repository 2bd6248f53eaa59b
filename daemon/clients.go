package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	// callerShare and operatorShare are the fractions of the machine's memory for callers and
	// for operators with the probes of the load balancer. Operators have a part of their own,
	// so that callers do not keep them out.
	callerShare   = 0.35
	operatorShare = 0.05
	// callerDescriptorShare and operatorDescriptorShare are the fractions of the descriptors
	// for sockets, and peerDescriptorShare that for connections of other daemons; the rest is for
	// calls to these, the platform and idle connections to upstreams.
	callerDescriptorShare   = 0.75
	operatorDescriptorShare = 0.0625
	peerDescriptorShare     = 0.125
	// responseShare is the fraction of the machine's memory for responses of upstreams that are
	// being read.
	responseShare = 0.12
)

// socketDescriptors returns the number of descriptors for sockets.
func (d *Daemon) socketDescriptors() float64 {
	return float64(clientlimit.SocketDescriptors(int(d.opts.Settings.Bounds.Descriptors)))
}

// peerDescriptors returns the number of connections of other daemons that are kept.
func (d *Daemon) peerDescriptors() int { return int(peerDescriptorShare * d.socketDescriptors()) }

// machineMemory returns the memory of the machine.
func (d *Daemon) machineMemory() float64 {
	return float64(clientlimit.MachineMemory(d.opts.Settings.Bounds.MachineMemoryBytes))
}

// responseMemory returns the memory for responses that are being read.
func (d *Daemon) responseMemory() int64 {
	return min(upstream.DefaultMaxBuffered, int64(responseShare*d.machineMemory()))
}

// buildClientLimits builds the limits on what callers and operators use together.
func (d *Daemon) buildClientLimits() {
	b := d.opts.Settings.Bounds
	memory, descriptors := d.machineMemory(), d.socketDescriptors()
	limiter := func(listener string, memory, descriptors float64, local bool) *clientlimit.Limiter {
		return clientlimit.New(clientlimit.Options{
			Memory: int64(memory), Descriptors: int(descriptors), Local: local, HeaderTimeout: b.HeaderReadTimeoutMs.Duration(),
			Log: d.logger.With(zap.String("listener", listener)),
		})
	}
	d.callerLimit = limiter("callers", callerShare*memory, callerDescriptorShare*descriptors, false)
	d.operatorLimit = limiter("operators", operatorShare*memory, operatorDescriptorShare*descriptors, true)
}

// refuseClient answers a request that has not run because there is no room for it.
func refuseClient(w http.ResponseWriter, _ *http.Request) {
	proxy.WriteRefusal(w, errkind.New(errkind.NoCapacity, "this daemon has no room for the request"))
}
