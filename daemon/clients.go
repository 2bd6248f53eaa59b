package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/proxy"
)

const (
	// callerShare and operatorShare are the fractions of the machine's memory for callers and
	// for operators with the probes of the load balancer. Operators have a part of their own,
	// so that callers do not keep them out.
	callerShare   = 0.35
	operatorShare = 0.05
	// callerDescriptorShare and operatorDescriptorShare are the fractions of the descriptors
	// for sockets; the rest is for peers, the platform and idle connections to upstreams.
	callerDescriptorShare   = 0.75
	operatorDescriptorShare = 0.0625
)

// buildClientLimits builds the limits on what callers and operators use together.
func (d *Daemon) buildClientLimits() {
	b := d.opts.Settings.Bounds
	memory, descriptors := float64(clientlimit.MachineMemory(b.MachineMemoryBytes)), float64(clientlimit.SocketDescriptors(int(b.Descriptors)))
	limiter := func(listener string, memory, descriptors float64) *clientlimit.Limiter {
		return clientlimit.New(clientlimit.Options{
			Memory: int64(memory), Descriptors: int(descriptors), HeaderTimeout: b.HeaderReadTimeoutMs.Duration(),
			Log: d.logger.With(zap.String("listener", listener)),
		})
	}
	d.callerLimit = limiter("callers", callerShare*memory, callerDescriptorShare*descriptors)
	d.operatorLimit = limiter("operators", operatorShare*memory, operatorDescriptorShare*descriptors)
}

// refuseClient answers a request that has not run because there is no room for it.
func refuseClient(w http.ResponseWriter, _ *http.Request) {
	proxy.WriteRefusal(w, errkind.New(errkind.NoCapacity, "this daemon has no room for the request"))
}
