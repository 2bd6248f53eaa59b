package fleet

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// Run exchanges digests with peers until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(exchangeInterval / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			f.Close()
			return
		case <-tick.C:
		case <-f.wake:
		}
		for _, p := range f.due(time.Now()) {
			go f.exchange(p)
		}
	}
}

// due returns the peers with which an exchange is due and marks them as being in
// an exchange.
func (f *Fleet) due(now time.Time) []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	topology, self := f.reachable(now), f.self()
	var list []*peer
	for _, p := range f.partnersBy(topology, &self, now) {
		if p.inExchange || now.Before(p.nextExchange) || !f.initiates(topology, &self, p, now) {
			continue
		}
		wait := exchangeInterval
		switch {
		case p.AvailabilityZone != self.AvailabilityZone:
			wait = time.Duration(crossZoneFactor * float64(wait))
		case !topology.isMesh():
			wait = zoneInterval
		}
		p.inExchange, p.urgent, p.nextExchange = true, false, now.Add(max(wait, p.backoff))
		list = append(list, p)
	}
	return list
}

// partnersBy returns the peers with which this VM exchanges digests. It removes peers that have
// been silent for forgetAfter. The caller must hold f.mu.
func (f *Fleet) partnersBy(topology *topology, self *Member, now time.Time) []*peer {
	if f.partnersIn == topology {
		return f.partners
	}
	f.partners, f.partnersIn = nil, topology
	for address, p := range f.peers {
		if !p.inExchange && now.Sub(maxTime(maxTime(p.lastExchange, p.lastRelayed), p.discovered)) > forgetAfter && !slices.Contains(f.opts.Seeds, address) {
			delete(f.peers, address)
			f.byName = nil
			continue
		}
		// The VM at a seed address is unknown until the first exchange, which also yields the
		// other members.
		if p.VM == "" || topology.exchangeDirectly(self, &p.Member) {
			f.partners = append(f.partners, p)
		}
	}
	return f.partners
}

// initiates reports whether this VM initiates the exchange with a peer.
func (f *Fleet) initiates(topology *topology, self *Member, p *peer, now time.Time) bool {
	if p.VM == "" {
		// The VM at a seed address is unknown until the first exchange, which
		// also yields the other members.
		return true
	}
	if !topology.exchangeDirectly(self, &p.Member) {
		return false
	}
	return self.Address < p.Address || p.urgent || now.Sub(p.lastExchange) > silentAfter
}

// exchange sends a digest to a peer and applies the digest that it returns.
func (f *Fleet) exchange(p *peer) {
	f.mu.Lock()
	to := p.Member
	f.mu.Unlock()
	var reply Digest
	err := f.call(p, "Exchange", f.digest(to, time.Now()), &reply)
	if err == nil {
		f.applyDigest(reply, time.Now())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.inExchange = false
	if err == nil {
		return
	}
	if p.backoff == 0 {
		f.topology = nil
		f.opts.Log.Info("peer lost", zap.String("peer", p.VM), zap.String("address", p.Address), zap.String("cause", err.Error()))
	}
	p.backoff = min(maxBackoff, max(exchangeInterval, 2*p.backoff))
	p.nextExchange = time.Now().Add(p.backoff)
}

// errCallTimeout is returned when a peer does not answer within callTimeout.
var errCallTimeout = errors.New("peer did not answer in time")

// call makes one RPC over the open connection to a peer, and closes the
// connection if the RPC fails.
func (f *Fleet) call(p *peer, method string, in, out any) error {
	client, err := f.client(p)
	if err != nil {
		return err
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	done := client.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1)).Done
	select {
	case c := <-done:
		err = c.Error
	case <-timer.C:
		err = errCallTimeout
	}
	if err != nil {
		f.mu.Lock()
		if p.client == client {
			p.client = nil
		}
		f.mu.Unlock()
		_ = client.Close()
	}
	return err
}

func (f *Fleet) client(p *peer) (*rpc.Client, error) {
	f.mu.Lock()
	client, address := p.client, p.Address
	f.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	client = rpc.NewClient(f.bound(conn))
	f.mu.Lock()
	defer f.mu.Unlock()
	p.client = client
	return client, nil
}

// FetchTable requests a table, or its changes, from a peer that is alive.
func (f *Fleet) FetchTable(vm string, r TableRequest) (TableReply, error) {
	f.mu.Lock()
	var from *peer
	for _, p := range f.peers {
		if p.VM == vm && p.alive(time.Now()) {
			from = p
		}
	}
	f.mu.Unlock()
	if from == nil {
		return TableReply{}, oops.Errorf("peer %q is not alive", vm)
	}
	var reply TableReply
	if err := f.call(from, "Table", r, &reply); err != nil {
		// After a timeout the late reply may still be decoded into reply.
		return TableReply{}, err
	}
	return reply, nil
}
