package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/oklog/run"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// controlInterval is the pause between two runs of the periodic systems.
	controlInterval = 250 * time.Millisecond
	// sweepEvery is the number of runs between two clean-ups.
	sweepEvery = 4
	// recentWindow is how far back uses of prefixes and sessions are told to
	// peers; it covers several exchanges, so that a lost one does not matter.
	recentWindow = 800 * time.Millisecond
)

// addFleet adds the exchange with peers.
func (e *Entry) addFleet(g *run.Group) error {
	listener, err := net.Listen("tcp4", e.o.Settings.Peer)
	if err != nil {
		return oops.Wrapf(err, "listening at %s", e.o.Settings.Peer)
	}
	g.Add(func() error {
		if err := e.fleet.Serve(listener); !errors.Is(err, net.ErrClosed) {
			return oops.Wrapf(err, "serving peers")
		}
		return nil
	}, func(error) { _ = listener.Close() })
	e.addLoop(g, e.fleet.Run)
	return nil
}

// control runs the periodic systems.
func (e *Entry) control(ctx context.Context) {
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.budget.SetVMs(len(e.fleet.Alive(now)))
			e.writeProgress(ctx, now)
			if n%sweepEvery == 0 {
				e.pool.Sweep()
				e.book.Sweep(now)
				e.rollouts.Sweep(now)
			}
		}
	}
}

// writeProgress writes the changes of rollouts that are due.
func (e *Entry) writeProgress(ctx context.Context, now time.Time) {
	clock, ok := e.orders.StoreClock(now)
	if !ok || e.stopping.Load() || !e.statusKnown.Load() {
		return
	}
	rank := max(0, slices.Index(e.fleet.Alive(now), e.o.Settings.VM))
	oldCalls := func(service, release string) int { return e.book.InFlight(service, release, true) }
	for _, w := range e.rollouts.Due(now, clock, rank, oldCalls) {
		go e.commitProgress(ctx, w)
	}
}

// commitProgress writes one change. After a failure the change is still due and
// is written again; the condition keeps two writes from both taking effect.
func (e *Entry) commitProgress(ctx context.Context, w rollout.Write) {
	revision, err := e.store.CommitProgress(ctx, w)
	fields := []zap.Field{
		zap.String("service", w.Progress.Service), zap.String("release", w.Progress.Release),
		zap.String("state", string(w.Progress.State)), zap.Int64("expected", w.Expected),
	}
	if err != nil {
		e.log.Warn("rollout state not written", append(fields, zap.Error(err))...)
		return
	}
	e.log.Info("rollout state written", append(fields, zap.Int64("revision", revision))...)
	e.rollouts.SetProgress(w.Progress, revision, time.Now())
}

// statusChanged takes over the progress of rollouts.
func (e *Entry) statusChanged(c mirror.Copy, now time.Time) {
	list, problems := platform.DecodeProgress(c.Rows)
	for _, err := range problems {
		e.log.Error("rollout progress ignored", zap.Error(err))
	}
	clock, ok := e.status.StoreClock(now)
	for _, p := range list {
		began := now
		if ok {
			began = now.Add(p.Started - clock)
		}
		e.rollouts.SetProgress(p.Progress, p.Revision, began)
	}
	e.statusKnown.Store(true)
}

// Digest implements fleet.Node.
func (e *Entry) Digest(evidence bool) fleet.Digest {
	now := time.Now()
	d := fleet.Digest{
		Incarnation: e.started.UnixNano(), Stopping: e.stopping.Load(), Revisions: e.revisions(),
		Loads: fleet.EncodeLoads(e.book.Loads()), Uses: e.book.RecentUses(recentWindow, now),
		Sessions: e.rollouts.Recent(recentWindow, now),
	}
	if evidence {
		d.Rollouts = e.rollouts.Evidence()
	}
	return d
}

// mirrors are the copies of tables, by name.
func (e *Entry) mirrors() map[string]*mirror.Mirror {
	return map[string]*mirror.Mirror{"orders": e.orders, "upstreams": e.upstreams, "status": e.status}
}

func (e *Entry) revisions() map[string]int64 {
	out := map[string]int64{}
	for name, m := range e.mirrors() {
		if c, ok := m.Copy(); ok {
			out[name] = c.Revision
		}
	}
	return out
}

// Take implements fleet.Node.
func (e *Entry) Take(d fleet.Digest, now time.Time) {
	e.book.SetPeer(d.VM, fleet.DecodeLoads(d.Loads), now)
	e.book.AddUses(d.Uses, now)
	e.rollouts.AddSessions(d.Sessions, now)
	e.rollouts.Merge(d.VM+"/"+time.Unix(0, d.Incarnation).UTC().Format(time.RFC3339Nano), d.Rollouts)
	for name, m := range e.mirrors() {
		if c, ok := m.Copy(); d.Revisions[name] > c.Revision || !ok && d.Revisions[name] > 0 {
			if _, lost := m.Lost(); lost {
				e.fetchTable(d.VM, name, m, c.Revision)
			}
		}
	}
}

// Table implements fleet.Node.
func (e *Entry) Table(r fleet.TableRequest) fleet.TableReply {
	m := e.mirrors()[r.Table]
	if m == nil {
		return fleet.TableReply{}
	}
	c, ok := m.Copy()
	if !ok || c.Revision <= r.After {
		return fleet.TableReply{}
	}
	return fleet.TableReply{Newer: true, Copy: c}
}

// fetchTable asks a peer for a table that this VM cannot read itself.
func (e *Entry) fetchTable(vm, name string, m *mirror.Mirror, after int64) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		reply, err := e.fleet.FetchTable(vm, fleet.TableRequest{Table: name, After: after})
		if err != nil {
			e.log.Info("table not fetched", zap.String("table", name), zap.String("peer", vm), zap.Error(err))
			return
		}
		if reply.Newer && m.Offer(reply.Copy) {
			e.log.Info("table taken from a peer", zap.String("table", name), zap.String("peer", vm), zap.Int64("revision", reply.Copy.Revision))
		}
	}()
}
