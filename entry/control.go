package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
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
			e.budget.SetVMs(e.fleet.Size(now))
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
	rank := e.fleet.Rank(now)
	oldCalls := func(service, release string) int { return e.book.InFlight(service, release, true) }
	for _, w := range e.rollouts.DueWrites(now, clock, rank, oldCalls) {
		go e.commitProgress(ctx, w)
	}
}

// commitProgress writes one change. After a failure the change is still due and
// is written again; the condition keeps two writes from both taking effect.
func (e *Entry) commitProgress(ctx context.Context, w rollout.Write) {
	revision, err := e.store.CommitProgress(ctx, w)
	fields := []zap.Field{
		zap.String("service", w.Progress.Service), zap.String("release", w.Progress.Release),
		zap.String("state", string(w.Progress.State)), zap.Int64("expected", w.ExpectedRevision),
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

// Report implements fleet.Node.
func (e *Entry) Report(evidence bool) fleet.Report {
	now := time.Now()
	r := fleet.Report{
		Loads: fleet.EncodeLoads(e.book.Loads()), Uses: e.book.RecentUses(recentWindow, now),
		Sessions: e.rollouts.RecentSessions(recentWindow, now),
	}
	if evidence {
		r.Rollouts = e.rollouts.Evidence()
	}
	return r
}

// ApplyReport implements fleet.Node.
func (e *Entry) ApplyReport(source string, r fleet.Report, now time.Time) {
	e.book.SetPeer(source, fleet.DecodeLoads(r.Loads), now)
	e.book.AddUses(r.Uses, now)
	e.rollouts.AddSessions(r.Sessions, now)
	e.rollouts.Merge(source, r.Rollouts)
}

// table is the copy of one table with what is known of newer ones.
type table struct {
	*mirror.Mirror
	// passive reports whether peers read the table for this VM.
	passive func() bool
	// newer is what peers are known to have, nil if nothing newer was told.
	newer    atomic.Pointer[newerCopy]
	fetching atomic.Bool
}

// newerCopy is a revision that a peer has, and since when that is known.
type newerCopy struct {
	revision int64
	since    time.Time
}

// behindSince notes that a peer has a revision and returns since when a newer one
// than that of this VM is known. Peers that are no further than this VM change
// nothing: they may be behind as well.
func (t *table) behindSince(theirs, own int64, now time.Time) (since time.Time, behind bool) {
	known := t.newer.Load()
	if known != nil && known.revision <= own {
		known = nil
		t.newer.Store(nil)
	}
	if theirs <= own {
		return time.Time{}, false
	}
	if known == nil {
		known = &newerCopy{revision: theirs, since: now}
		t.newer.Store(known)
	}
	return known.since, true
}

// Revisions implements fleet.Node.
func (e *Entry) Revisions() map[string]int64 {
	out := map[string]int64{}
	for name, t := range e.tables {
		if c, ok := t.Copy(); ok {
			out[name] = c.Revision
		}
	}
	return out
}

// Lost implements fleet.Node.
func (e *Entry) Lost() bool {
	for _, t := range e.tables {
		if _, lost := t.Mirror.Lost(); lost {
			return true
		}
	}
	return false
}

// ownReadDelay is how long a VM that reads the store itself waits for its own
// answer before it asks a peer that has a newer copy.
const ownReadDelay = 400 * time.Millisecond

// ObserveRevisions implements fleet.Node.
func (e *Entry) ObserveRevisions(vm string, revisions map[string]int64) {
	now := time.Now()
	for name, t := range e.tables {
		c, loaded := t.Copy()
		theirs, known := revisions[name]
		if !known {
			continue
		}
		own := c.Revision
		if !loaded {
			own = -1
		}
		since, behind := t.behindSince(theirs, own, now)
		if !behind {
			continue
		}
		_, lost := t.Mirror.Lost()
		if loaded && !lost && !t.passive() && now.Sub(since) < ownReadDelay {
			continue
		}
		e.fetch(vm, name, t)
	}
}

// Table implements fleet.Node.
func (e *Entry) Table(r fleet.TableRequest) fleet.TableReply {
	t := e.tables[r.Table]
	if t == nil {
		return fleet.TableReply{}
	}
	c, ok := t.Copy()
	if !ok || r.Loaded && c.Revision <= r.After {
		return fleet.TableReply{}
	}
	after := r.After
	if !r.Loaded {
		after = -1
	}
	page, whole := t.ChangesSince(after)
	return fleet.TableReply{Newer: true, Whole: whole, Page: page}
}

// fetch asks a peer for what is newer in a table.
func (e *Entry) fetch(vm, name string, t *table) {
	if !t.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer t.fetching.Store(false)
		c, loaded := t.Copy()
		reply, err := e.fleet.FetchTable(vm, fleet.TableRequest{Table: name, After: c.Revision, Loaded: loaded})
		if err != nil {
			e.log.Info("table not fetched", zap.String("table", name), zap.String("peer", vm), zap.String("cause", err.Error()))
			return
		}
		if reply.Newer && t.Offer(reply.Page, reply.Whole) {
			e.log.Info("table taken from a peer", zap.String("table", name), zap.String("peer", vm), zap.Int64("revision", reply.Page.Revision), zap.Bool("whole", reply.Whole))
		}
	}()
}
