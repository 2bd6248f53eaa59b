package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/spread"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// configurationTick is how often the daemon checks whether an exchange with
	// a peer or the platform is due.
	configurationTick = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange with a peer or the platform. The
	// evidence in a later reply would be too old to be useful.
	exchangeTimeout = 2 * time.Second
	// retainPeriod is how often connections to daemons that are gone are closed.
	retainPeriod = time.Minute
	// changesPerRead bounds the changes of the log that are read in one call.
	changesPerRead = 256
)

// peers sends messages of the dissemination protocol to other daemons.
type peers interface {
	Sync(ctx context.Context, to string, r spread.SyncRequest) (spread.SyncReply, error)
	Notify(ctx context.Context, to string, n spread.Notification) error
	// Retain closes the connections to all daemons but these.
	Retain(ids []string)
}

// configuration holds the settings tree in force and the halt marks, and keeps
// both up to date. Any goroutine may read its snapshot and halt marks.
type configuration struct {
	log           *changelog.Log
	follower      *changelog.Follower
	evidenceLease *evidence.Lease
	members       *member.View
	node          *spread.Node
	peers         peers
	logger        *zap.Logger
	// onApplied is called with each snapshot that is put in force.
	onApplied func(old, next *tree.Snapshot)

	snapshot atomic.Pointer[tree.Snapshot]
	halted   atomic.Pointer[map[string]bool]
	// applyMu serialises apply, so that revisions are put in force in order.
	applyMu sync.Mutex
	// runCtx is cancelled when Run returns. Calls that answer messages of other
	// daemons use it.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// readingHead is set while the head is being read.
	readingHead atomic.Bool
	calls       sync.WaitGroup
}

type configurationOptions struct {
	table         store.Table
	objects       store.Objects
	self          member.VM
	evidenceLease time.Duration
	syncPeriod    time.Duration
	headPeriod    time.Duration
	// clock defaults to evidence.SystemClock.
	clock  evidence.Clock
	logger *zap.Logger
}

func newConfiguration(o configurationOptions) *configuration {
	c := &configuration{
		log:           changelog.New(changelog.Options{Table: o.table, Objects: o.objects, Apply: tree.ApplyPatch}),
		members:       member.New(member.Options{Self: o.self}),
		evidenceLease: evidence.New(evidence.Options{Duration: o.evidenceLease, Clock: o.clock}),
		logger:        o.logger,
	}
	c.follower = changelog.NewFollower(changelog.FollowerOptions{Apply: tree.ApplyPatch})
	c.node = spread.New(spread.Options{
		Members:   c.members,
		Follower:  c.follower,
		Lease:     c.evidenceLease,
		Relevant:  c.haltRelevant,
		SyncEvery: o.syncPeriod,
		HeadEvery: o.headPeriod,
	})
	c.halted.Store(&map[string]bool{})
	c.runCtx, c.cancelRun = context.WithCancel(context.Background())
	return c
}

// Snapshot returns the settings in force, or nil before any were received.
func (c *configuration) Snapshot() *tree.Snapshot { return c.snapshot.Load() }

// haltKey returns the key of the halt mark of a version in a rollout.
func haltKey(version, rollout string) string { return version + "@" + rollout }

// Halted implements proxy.Halts.
func (c *configuration) Halted(version, rollout string) bool {
	return (*c.halted.Load())[haltKey(version, rollout)]
}

// haltRelevant reports whether a halt mark is to be kept: its rollout is running
// or paused, or is not known yet.
func (c *configuration) haltRelevant(key string) bool {
	s := c.snapshot.Load()
	if s == nil {
		return true
	}
	for id, r := range s.Tree().Rollouts {
		if haltKey(r.To, id) == key {
			return r.State == tree.RolloutRunning || r.State == tree.RolloutPaused
		}
	}
	return true
}

// Run follows the change log until ctx ends.
func (c *configuration) Run(ctx context.Context) error {
	ticker := time.NewTicker(configurationTick)
	defer ticker.Stop()
	retain := time.NewTicker(retainPeriod)
	defer retain.Stop()
	defer c.calls.Wait()
	defer c.cancelRun()
	c.spawn(func() { c.load(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retain.C:
			c.peers.Retain(c.node.Peers())
			continue
		case <-ticker.C:
		}
		plan := c.node.Tick()
		c.refreshHalts()
		for _, call := range plan.Calls {
			c.spawn(func() { c.exchange(ctx, call) })
		}
		if plan.ReadHead && c.readingHead.CompareAndSwap(false, true) {
			c.spawn(func() {
				defer c.readingHead.Store(false)
				c.readHead(ctx)
			})
		}
	}
}

// spawn calls f in a goroutine that Run waits for.
func (c *configuration) spawn(f func()) { c.calls.Go(f) }

// exchange sends a sync request to one peer and processes the reply.
func (c *configuration) exchange(ctx context.Context, call spread.Call) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.peers.Sync(callCtx, call.To, call.Request)
	if err != nil {
		return // counted by the peer client; the member view detects silent peers
	}
	effects, err := c.node.HandleReply(call, reply)
	if err == nil {
		c.performEffects(ctx, effects)
	}
}

// readHead reads the newest revision from the platform, and the changes up to
// it.
func (c *configuration) readHead(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := c.evidenceLease.Now()
	head, err := c.log.Head(callCtx)
	if err != nil {
		return // the evidence lease expires without new evidence
	}
	var changes []changelog.Change
	if after := c.follower.Head().Revision; head.Revision > after {
		if changes, err = c.log.Changes(callCtx, after, changesPerRead); err != nil {
			return
		}
	}
	effects, err := c.node.HandleHead(head, changes, sentAt)
	if err == nil {
		c.performEffects(ctx, effects)
	}
}

// load reads the newest snapshot and the changes after it.
func (c *configuration) load(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if snapshot, err := c.log.NewestSnapshot(callCtx); err == nil {
		c.follower.Adopt(snapshot)
	}
	// The changes read before an error are verified and are put in force all
	// the same: with thousands of upstreams, replaying many changes takes
	// longer than exchangeTimeout.
	_ = c.log.CatchUp(callCtx, c.follower)
	c.apply()
}

// performEffects does what the dissemination protocol requests after an event.
func (c *configuration) performEffects(ctx context.Context, e spread.Effects) {
	if e.Advanced {
		c.apply()
		c.spawn(func() { c.writeSnapshot(ctx) })
	}
	c.refreshHalts()
	if e.Load {
		c.spawn(func() { c.load(ctx) })
	}
	for _, call := range e.Calls {
		c.spawn(func() { c.exchange(ctx, call) })
	}
	for _, to := range e.Notify {
		c.spawn(func() {
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			// The next exchange makes up for a lost notification.
			_ = c.peers.Notify(callCtx, to, e.Notification)
		})
	}
}

// apply compiles the newest verified state and puts it in force.
func (c *configuration) apply() {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	head, state := c.follower.State()
	old := c.snapshot.Load()
	if head.Revision == 0 || old != nil && old.Revision() >= head.Revision {
		return
	}
	parsed, err := tree.Parse(state)
	if err != nil {
		c.logger.Error("configuration rejected", zap.Int64("revision", head.Revision), zap.Error(err))
		return
	}
	s, err := tree.Compile(parsed, head.Revision, head.Hash)
	if err != nil {
		c.logger.Error("configuration rejected", zap.Int64("revision", head.Revision), zap.Error(err))
		return
	}
	c.snapshot.Store(s)
	c.onApplied(old, s)
	c.logger.Info("configuration in force", zap.Int64("revision", head.Revision))
}

// acknowledge tells the other daemons that the settings are in force here. They are once
// requests are routed by them.
func (c *configuration) acknowledge(s *tree.Snapshot) { c.node.Applied(s.Revision()) }

// refreshHalts updates the set of halt marks that Halted reads.
func (c *configuration) refreshHalts() {
	marks := c.node.Halts()
	halted := make(map[string]bool, len(marks))
	for _, m := range marks {
		halted[m.Key] = true
	}
	c.halted.Store(&halted)
}

// halt marks the candidate of a rollout as halted and notifies the other
// daemons.
func (c *configuration) halt(ctx context.Context, version, rollout, reason string) error {
	effects, err := c.node.Halt(spread.Mark{
		Key:    haltKey(version, rollout),
		By:     c.members.Self().ID,
		Reason: reason,
		At:     time.Now(),
	})
	if err != nil {
		return err
	}
	c.performEffects(ctx, effects)
	return nil
}
