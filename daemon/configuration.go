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
	// configurationTick paces the exchange with peers and the platform.
	configurationTick = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange; later replies carry no useful
	// evidence.
	exchangeTimeout = 2 * time.Second
	// retainPeriod is the time between two looks for connections to daemons that
	// are gone.
	retainPeriod = time.Minute
	// changesPerRead bounds the changes read at once.
	changesPerRead = 256
)

// peers sends messages of the configuration protocol to other daemons.
type peers interface {
	Sync(ctx context.Context, to string, r spread.SyncRequest) (spread.SyncReply, error)
	Notify(ctx context.Context, to string, n spread.Notification) error
	// Retain closes the connections to all daemons but these.
	Retain(ids []string)
}

// configuration keeps the settings tree in force. Its snapshot and halt marks
// may be read by any goroutine.
type configuration struct {
	log      *changelog.Log
	follower *changelog.Follower
	lease    *evidence.Lease
	members  *member.View
	node     *spread.Node
	peers    peers
	logger   *zap.Logger
	// applied is told of each snapshot that is put in force.
	applied func(old, next *tree.Snapshot)

	snapshot atomic.Pointer[tree.Snapshot]
	halted   atomic.Pointer[map[string]bool]
	// applyMu orders the snapshots that are put in force.
	applyMu sync.Mutex
	// life ends with Run.
	life context.Context
	end  context.CancelFunc
	// reading is set while the head is being read.
	reading atomic.Bool
	calls   sync.WaitGroup
}

type configurationOptions struct {
	table   store.Table
	objects store.Objects
	self    member.VM
	lease   time.Duration
	sync    time.Duration
	head    time.Duration
	// clock defaults to evidence.SystemClock.
	clock  evidence.Clock
	logger *zap.Logger
}

func newConfiguration(o configurationOptions) *configuration {
	c := &configuration{
		log:     changelog.New(changelog.Options{Table: o.table, Objects: o.objects, Apply: tree.ApplyPatch}),
		members: member.New(member.Options{Self: o.self}),
		lease:   evidence.New(evidence.Options{Duration: o.lease, Clock: o.clock}),
		logger:  o.logger,
	}
	c.follower = changelog.NewFollower(changelog.FollowerOptions{Apply: tree.ApplyPatch})
	c.node = spread.New(spread.Options{
		Members:   c.members,
		Follower:  c.follower,
		Lease:     c.lease,
		Relevant:  c.haltMatters,
		SyncEvery: o.sync,
		HeadEvery: o.head,
	})
	c.halted.Store(&map[string]bool{})
	c.life, c.end = context.WithCancel(context.Background())
	return c
}

// Snapshot returns the settings in force, or nil before the first ones.
func (c *configuration) Snapshot() *tree.Snapshot { return c.snapshot.Load() }

// haltKey names the halt mark of a version in a roll-out.
func haltKey(version, rollout string) string { return version + "@" + rollout }

// Halted implements proxy.Halts.
func (c *configuration) Halted(version, rollout string) bool {
	return (*c.halted.Load())[haltKey(version, rollout)]
}

// haltMatters tells whether a mark belongs to a roll-out under way. A mark of a
// roll-out that is not known yet is kept.
func (c *configuration) haltMatters(key string) bool {
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
	defer c.end()
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
		if plan.ReadHead && c.reading.CompareAndSwap(false, true) {
			c.spawn(func() {
				defer c.reading.Store(false)
				c.readHead(ctx)
			})
		}
	}
}

func (c *configuration) spawn(f func()) { c.calls.Go(f) }

// exchange pulls from one peer.
func (c *configuration) exchange(ctx context.Context, call spread.Call) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := c.peers.Sync(limited, call.To, call.Request)
	if err != nil {
		return // counted by the transport; the member view notices silence
	}
	effects, err := c.node.HandleReply(call, reply)
	if err == nil {
		c.carryOut(ctx, effects)
	}
}

// readHead reads the newest revision from the platform, and the changes up to
// it.
func (c *configuration) readHead(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := c.lease.Now()
	head, err := c.log.Head(limited)
	if err != nil {
		return // the lease lapses when evidence stays away
	}
	var changes []changelog.Change
	if after := c.follower.Head().Revision; head.Revision > after {
		if changes, err = c.log.Changes(limited, after, changesPerRead); err != nil {
			return
		}
	}
	effects, err := c.node.HandleHead(head, changes, sentAt)
	if err == nil {
		c.carryOut(ctx, effects)
	}
}

// load reads the newest snapshot and the changes after it.
func (c *configuration) load(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if snapshot, err := c.log.NewestSnapshot(limited); err == nil {
		c.follower.Adopt(snapshot)
	}
	// What was read before an error is proved and goes in force: at thousands
	// of upstreams, replaying many changes takes longer than one exchange.
	_ = c.log.CatchUp(limited, c.follower)
	c.apply()
}

// carryOut does what the protocol asks for after an event.
func (c *configuration) carryOut(ctx context.Context, e spread.Effects) {
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
			limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			// A lost notification is made good by the next exchange.
			_ = c.peers.Notify(limited, to, e.Notification)
		})
	}
}

// apply puts the newest proven state in force.
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
	c.applied(old, s)
	c.node.Applied(head.Revision)
	c.logger.Info("configuration in force", zap.Int64("revision", head.Revision))
}

func (c *configuration) refreshHalts() {
	marks := c.node.Halts()
	halted := make(map[string]bool, len(marks))
	for _, m := range marks {
		halted[m.Key] = true
	}
	c.halted.Store(&halted)
}

// halt marks a candidate as halted and tells the other daemons.
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
	c.carryOut(ctx, effects)
	return nil
}
