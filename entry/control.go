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
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// taskInterval is the interval at which the periodic tasks run.
	taskInterval = 250 * time.Millisecond
	// ticksPerSweep is the number of task intervals between two sweeps of expired
	// entries.
	ticksPerSweep = 4
	// recentWindow is the age up to which uses of prompt prefixes and sessions, and news
	// of leaving upstreams, are reported to peers. It covers several exchanges, so that
	// each of them is still reported if one exchange fails.
	recentWindow = 800 * time.Millisecond
)

// addFleet adds the actors that serve peers and exchange digests with them.
func (e *Entry) addFleet(g *run.Group) error {
	listener, err := net.Listen("tcp4", e.opts.Settings.Peer)
	if err != nil {
		return oops.Wrapf(err, "listening at %s", e.opts.Settings.Peer)
	}
	peers := clientlimit.NewPeerListener(listener, resourcesOf(e.opts.Settings).peers, e.log)
	e.peerListener.Store(peers)
	listener = peers
	g.Add(func() error {
		if err := e.fleet.Serve(listener); !errors.Is(err, net.ErrClosed) {
			return oops.Wrapf(err, "serving peers")
		}
		return nil
	}, func(error) { _ = listener.Close() })
	e.addLoop(g, e.fleet.Run)
	return nil
}

// runPeriodicTasks updates the retry budget, writes the progress of rollouts and the findings
// of the quarantine, and sweeps expired entries until ctx ends.
func (e *Entry) runPeriodicTasks(ctx context.Context) {
	tick := time.NewTicker(taskInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.updateRoster(now)
			e.budget.SetVMs(e.fleet.Size(now))
			e.writeProgress(ctx, now)
			e.writeFindings(ctx, now)
			if n%ticksPerSweep == 0 {
				e.pool.Sweep()
				e.balancer.Sweep(now)
				e.logCold(now)
				e.logEvictedParts()
				e.listEngines(now)
				e.quarantine.Sweep(now)
				e.rollouts.Sweep(now)
			}
		}
	}
}

// writeProgress starts the writes of rollout progress that are due. It writes
// nothing while the store's clock or the stored progress is unknown, nor while the
// VM is stopping.
func (e *Entry) writeProgress(ctx context.Context, now time.Time) {
	clock, ok := e.orders.StoreClock(now)
	if !ok || e.stopping.Load() || !e.statusLoaded.Load() {
		return
	}
	rank := e.fleet.Rank(now)
	oldCalls := func(service, release string) int { return e.balancer.InFlight(service, release, true) }
	for _, w := range e.rollouts.DueWrites(now, clock, rank, oldCalls) {
		go e.commitProgress(ctx, w)
	}
}

// commitProgress writes one change of a rollout's progress to the store. After a
// failure the change remains due and is retried. The write is conditional on the
// expected revision, so that only one of several writes takes effect.
func (e *Entry) commitProgress(ctx context.Context, w rollout.Write) {
	position, err := e.store.CommitProgress(ctx, w)
	fields := []zap.Field{
		zap.String("service", w.Progress.Service), zap.String("release", w.Progress.Release),
		zap.String("state", string(w.Progress.State)), zap.Int64("expected", w.ExpectedRevision),
	}
	if err != nil {
		e.log.Warn("rollout state not written", append(fields, zap.Error(err))...)
		return
	}
	e.log.Info("rollout state written", append(fields, zap.Int64("revision", position.Revision), zap.Int64("era", position.Era))...)
	e.rollouts.SetWritten(w, position.Era, position.Revision, time.Now())
}

// statusChanged applies the rollout progress in the status table.
func (e *Entry) statusChanged(c mirror.Change) {
	e.rollouts.BeginEra(c.Era, c.Base)
	list, problems := platform.DecodeProgress(c.Rows)
	e.setIgnored(tableStatus, problems, zap.ErrorLevel, "rollout progress ignored")
	for _, p := range problems {
		e.rollouts.SetUnreadable(p.Service(), p.Revision)
	}
	clock, ok := e.status.StoreClock(c.At)
	for _, p := range list {
		startedAt := c.At
		if ok {
			startedAt = c.At.Add(p.Started - clock)
		}
		e.rollouts.SetProgress(p.Progress, p.Revision, startedAt)
	}
	e.statusLoaded.Store(true)
}

// Report implements fleet.Node.
func (e *Entry) Report(evidence bool) fleet.Report {
	now := time.Now()
	r := fleet.Report{
		Loads: fleet.EncodeLoads(e.balancer.Loads()), Uses: e.balancer.RecentUses(recentWindow, now),
		Sessions: e.rollouts.RecentSessions(recentWindow, now),
	}
	r.Leaving = e.balancer.LeavingSince(now.Add(-recentWindow), now)
	r.Quarantine = e.quarantine.Report(recentWindow, evidence, now)
	if evidence {
		r.Leaving = e.balancer.LeavingSince(time.Time{}, now)
		r.Rollouts = e.rollouts.Evidence()
		organisations := e.fairness.Report(now)
		r.Organisations = &organisations
	}
	return r
}

// ApplyReport implements fleet.Node.
func (e *Entry) ApplyReport(source string, r fleet.Report, now time.Time) {
	e.balancer.SetPeer(source, fleet.DecodeLoads(r.Loads), now)
	e.balancer.AddUses(r.Uses, now)
	for _, instance := range r.Leaving {
		if e.balancer.RecordLeaving(instance, now) {
			e.log.Info("upstream leaving", zap.String("upstream", instance.ID), zap.Int64("incarnation", instance.Incarnation), zap.String("peer", source))
		}
	}
	e.quarantine.Merge(r.Quarantine, now)
	if r.Organisations != nil {
		e.fairness.SetPeer(source, *r.Organisations, now)
	}
	e.rollouts.AddSessions(r.Sessions, now)
	e.rollouts.Merge(source, r.Rollouts)
}

// table is the mirror of one table of the store, with a newer revision if a peer
// has reported one.
type table struct {
	*mirror.Mirror
	// passive reports whether peers read the table from the store for this VM.
	passive func() bool
	// newest is a revision newer than the copy that a peer has reported, nil if there
	// is none.
	newest atomic.Pointer[newerRevision]
	// reported is the last state of a peer that may know more than the restored store,
	// nil before one does.
	reported atomic.Pointer[mirror.State]
	// fetching is set while the table is being fetched from a peer.
	fetching atomic.Bool
	ignored  ignoredRows
}

// newerRevision is the position of the first copy newer than that of this VM that a peer
// has reported, and the time of that report.
type newerRevision struct {
	position mirror.Position
	since    time.Time
}

// behindSince records the position of a peer's copy. It reports whether that
// position is newer than the copy of this VM, and since when a newer one has
// been known. A peer without a newer one does not reset that time, because it
// may be as far behind as this VM.
func (t *table) behindSince(theirs, own mirror.Position, now time.Time) (since time.Time, behind bool) {
	known := t.newest.Load()
	if known != nil && !own.Before(known.position) {
		known = nil
		t.newest.Store(nil)
	}
	if !own.Before(theirs) {
		return time.Time{}, false
	}
	if known == nil {
		known = &newerRevision{position: theirs, since: now}
		t.newest.Store(known)
	}
	return known.since, true
}

// Tables implements fleet.Node.
func (e *Entry) Tables() map[string]mirror.State {
	out := map[string]mirror.State{}
	for name, t := range e.tables {
		if s, ok := t.State(); ok {
			out[name] = s
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

// lacksRows reports whether a peer may know rows, better than a store that was restored, that
// this VM has not fetched.
func (e *Entry) lacksRows() bool {
	for _, t := range e.tables {
		if reported := t.reported.Load(); reported != nil {
			if _, lacks := t.Lacks(*reported); lacks {
				return true
			}
		}
	}
	return false
}

// ownReadDelay is how long a VM that reads a table from the store waits for the
// store's answer before it fetches a newer copy from a peer.
const ownReadDelay = 400 * time.Millisecond

// ObserveTables implements fleet.Node.
func (e *Entry) ObserveTables(vm string, tables map[string]mirror.State) {
	now := time.Now()
	for name, t := range e.tables {
		theirs, known := tables[name]
		if !known {
			continue
		}
		if own, loaded := t.State(); theirs.Held != 0 || loaded && theirs.Era < own.Era {
			t.reported.Store(&theirs)
		}
		confirmed := t.Confirm(theirs)
		if after, lacks := t.Lacks(theirs); lacks {
			e.fetchTable(vm, name, t, after)
			continue
		}
		if confirmed {
			continue
		}
		own, loaded := t.State()
		if !loaded {
			own.Revision = -1
		}
		since, behind := t.behindSince(mirror.Position{Era: theirs.Era, Revision: theirs.Changed}, own.Position(), now)
		if !behind {
			continue
		}
		_, lost := t.Mirror.Lost()
		if loaded && !lost && !t.passive() && now.Sub(since) < ownReadDelay {
			continue
		}
		e.fetchTable(vm, name, t, own.Position())
	}
}

// Table implements fleet.Node.
func (e *Entry) Table(r fleet.TableRequest) fleet.TableReply {
	t := e.tables[r.Table]
	if t == nil {
		return fleet.TableReply{}
	}
	c, ok := t.Copy()
	after := mirror.Position{Era: r.Era, Revision: r.After}
	holds := r.Held && r.Era == c.Era
	if !ok || r.Loaded && !after.Before(c.Position()) && !holds {
		return fleet.TableReply{}
	}
	if !r.Loaded {
		after.Revision = -1
	}
	page, whole := t.ChangesSince(after)
	return fleet.TableReply{Newer: true, Whole: whole, Page: page}
}

// fetchTable fetches from a peer, in the background, the changes of a table after a position
// and the rows that the peer holds. At most one fetch of a table runs at a time.
func (e *Entry) fetchTable(vm, name string, t *table, after mirror.Position) {
	if !t.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer t.fetching.Store(false)
		request := fleet.TableRequest{Table: name, After: after.Revision, Loaded: after.Revision >= 0, Era: after.Era, Held: true}
		reply, err := e.fleet.FetchTable(vm, request)
		if err != nil {
			e.log.Info("table not fetched", zap.String("table", name), zap.String("peer", vm), zap.String("cause", err.Error()))
			return
		}
		if reply.Newer && t.Offer(reply.Page, reply.Whole) {
			e.log.Info("table taken from a peer", zap.String("table", name), zap.String("peer", vm), zap.Int64("revision", reply.Page.Revision), zap.Bool("whole", reply.Whole))
		}
	}()
}
