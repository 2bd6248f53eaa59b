package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// clientShare and probeShare are the fractions of the VM's memory for clients and for
	// readiness probes and readers of metrics: their connections, header sections and bodies.
	clientShare = 0.4
	probeShare  = 0.04
	// clientDescriptorShare and probeDescriptorShare are the fractions of the
	// descriptors for sockets for clients with the calls of their requests, and for probes, and
	// peerDescriptorShare that for connections of peers. What is left is for calls to peers and
	// the store and for idle connections to upstreams.
	clientDescriptorShare = 0.75
	probeDescriptorShare  = 0.0625
	peerDescriptorShare   = 0.125
	// defaultHeaderTimeout and defaultIdleTimeout are in force unless a configuration states
	// others.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// clientRetryAfter is when the client of a request is to retry for which there is no room.
	clientRetryAfter = time.Second
)

// clients holds the limits on what connects to this VM. Probes have limits of their own, so
// that clients do not make the VM look dead.
type clients struct{ front, probes *clientlimit.Limiter }

// resources are the parts of what a VM has.
type resources struct {
	clientMemory, probeMemory, responses, messages int64
	clientDescriptors, probeDescriptors, peers     int
	promptParts                                    int
}

// resourcesOf divides what the settings state.
func resourcesOf(s platform.Settings) resources {
	memory, descriptors := float64(s.MemoryBytes), float64(clientlimit.SocketDescriptors(s.Descriptors))
	return resources{
		clientMemory: int64(clientShare * memory), probeMemory: int64(probeShare * memory), responses: int64(bufferedShare * memory), messages: int64(receivedShare * memory),
		clientDescriptors: int(clientDescriptorShare * descriptors), probeDescriptors: int(probeDescriptorShare * descriptors), peers: int(peerDescriptorShare * descriptors),
		promptParts: max(1, int(heldShare*memory/heldBytes)),
	}
}

// setResources applies settings that state other resources.
func (e *Entry) setResources(r resources) {
	e.clients.front.SetLimits(r.clientMemory, r.clientDescriptors)
	e.clients.probes.SetLimits(r.probeMemory, r.probeDescriptors)
	if l := e.peerListener.Load(); l != nil {
		l.SetMost(r.peers)
	}
	e.gateway.SetMaxBuffered(r.responses)
	e.fleet.SetMaxReceived(r.messages)
	e.balancer.SetMaxHeld(r.promptParts)
}

func (e *Entry) newClients(r resources) *clients {
	limiter := func(listener string, memory int64, descriptors int, local bool) *clientlimit.Limiter {
		return clientlimit.New(clientlimit.Options{
			Memory: memory, Descriptors: descriptors, Local: local, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			Log: e.log.With(zap.String("listener", listener)),
			Count: func(doing string) {
				e.metrics.Set().GetOrCreateCounter(`savoryshift_clients_without_room_total{listener="` + listener + `",doing="` + doing + `"}`).Inc()
			},
		})
	}
	return &clients{
		front:  limiter("front", r.clientMemory, r.clientDescriptors, false),
		probes: limiter("probes", r.probeMemory, r.probeDescriptors, true),
	}
}

// setTimeouts applies the timeouts of a configuration; 0 is the default.
func (c *clients) setTimeouts(l routing.Limits) {
	header, idle := l.HeaderTimeout, l.IdleTimeout
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.front.SetTimeouts(header, idle)
}

// refuseClient answers a request that has not run because there is no room for it.
func refuseClient(w http.ResponseWriter, _ *http.Request) {
	platform.Codec{}.EncodeRefusal(w.Header(), &gateway.Request{}, clientlimit.Spread(clientRetryAfter))
	http.Error(w, "savoryshift: "+string(errkind.NoCapacity), errkind.AnswerFor(errkind.NoCapacity).Status)
}
