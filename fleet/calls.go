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

// Run calls peers until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(interval / 3)
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

// due returns the peers to be called now and marks them as busy.
func (f *Fleet) due(now time.Time) []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	members, self := f.reachable(now), f.self()
	var list []*peer
	for address, p := range f.peers {
		if p.busy || now.Before(p.next) {
			continue
		}
		if now.Sub(maxTime(maxTime(p.heard, p.relayed), p.found)) > forgetAfter && !slices.Contains(f.o.Seeds, address) {
			delete(f.peers, address)
			continue
		}
		if !f.calls(members, self, p, now) {
			continue
		}
		wait := interval
		if p.AvailabilityZone != self.AvailabilityZone {
			wait = time.Duration(farFactor * float64(wait))
		}
		p.busy, p.kicked, p.next = true, false, now.Add(max(wait, p.backoff))
		list = append(list, p)
	}
	return list
}

// calls reports whether this VM calls a peer itself.
func (f *Fleet) calls(members []Member, self Member, p *peer, now time.Time) bool {
	if p.VM == "" {
		// A seed that never answered: whoever it is, it knows the others.
		return true
	}
	if !partner(members, self, p.Member) {
		return false
	}
	return self.Address < p.Address || p.kicked || now.Sub(p.heard) > silentAfter
}

// exchange makes one exchange with a peer.
func (f *Fleet) exchange(p *peer) {
	f.mu.Lock()
	to := p.Member
	f.mu.Unlock()
	var reply Digest
	err := f.call(p, "Exchange", f.digest(to), &reply)
	if err == nil {
		f.take(reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.busy = false
	if err == nil {
		return
	}
	if p.backoff == 0 {
		f.o.Log.Info("peer lost", zap.String("peer", p.VM), zap.String("address", p.Address), zap.String("cause", err.Error()))
	}
	p.backoff = min(maxBackoff, max(interval, 2*p.backoff))
	p.next = time.Now().Add(p.backoff)
}

// errNoAnswer says that a peer did not answer in time.
var errNoAnswer = errors.New("peer did not answer in time")

// call makes one call over the kept connection and drops it on failure.
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
		err = errNoAnswer
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
	client = rpc.NewClient(conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.client = client
	return client, nil
}

// FetchTable asks a peer that is alive for a copy of a table.
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
	err := f.call(from, "Table", r, &reply)
	return reply, err
}
