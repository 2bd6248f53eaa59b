package peer

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/spread"
)

const (
	// DefaultTickEvery is the period at which an Agent looks for due work.
	DefaultTickEvery = 100 * time.Millisecond
	// platformTimeout bounds one read of the platform or one snapshot written.
	platformTimeout = 5 * time.Second
	// retainEvery is the period at which connections to VMs that are gone are
	// closed.
	retainEvery = time.Minute
	// maxRead is the number of changes read from the platform at once.
	maxRead = 256
)

// AgentOptions configures an Agent. All fields but TickEvery are required.
type AgentOptions struct {
	Node     *spread.Node
	Follower *changelog.Follower
	Lease    *evidence.Lease
	Log      *changelog.Log
	Client   *Client
	// InForce puts a new state in force. Its calls do not overlap, and the
	// revisions grow. After an error the revision is not in force, and InForce
	// is called again with the next one.
	InForce func(changelog.Head, []byte) error
	// TickEvery defaults to DefaultTickEvery.
	TickEvery time.Duration
}

// AgentCounters counts events since NewAgent.
type AgentCounters struct {
	HeadReads     expvar.Int
	HeadFailures  expvar.Int // reads of the platform that failed
	BadReplies    expvar.Int // replies and reads that the node rejected
	InForceErrors expvar.Int
	Snapshots     expvar.Int // written
}

// Agent drives a spread.Node: it carries the node's messages to the peers,
// reads the platform for it, and puts new states in force. It implements Node
// for the Server. It is safe for concurrent use.
type Agent struct {
	o        AgentOptions
	Counters AgentCounters

	ctx     context.Context
	cancel  context.CancelFunc
	reading atomic.Bool

	mu      sync.Mutex
	closed  bool
	working sync.WaitGroup

	applying sync.Mutex // held while InForce runs
	applied  int64
	snapshot *changelog.Snapshot // due, not yet written
}

var _ Node = (*Agent)(nil)

// NewAgent returns an agent that answers peers. Run starts its own messages.
func NewAgent(o AgentOptions) *Agent {
	o.TickEvery = cmp.Or(o.TickEvery, DefaultTickEvery)
	a := &Agent{o: o}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Run works until Close and then returns nil. It is an actor of a run group.
func (a *Agent) Run() error {
	a.advance()
	ticker := time.NewTicker(a.o.TickEvery)
	defer ticker.Stop()
	retain := time.NewTicker(retainEvery)
	defer retain.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return nil
		case <-ticker.C:
			a.tick()
		case <-retain.C:
			a.o.Client.Retain(a.o.Node.Peers())
		}
	}
}

// Close ends Run and waits until no call is under way.
func (a *Agent) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.working.Wait()
}

// start runs work in its own goroutine unless the agent is closed.
func (a *Agent) start(work func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.working.Go(work)
	}
}

func (a *Agent) tick() {
	plan := a.o.Node.Tick()
	for _, c := range plan.Calls {
		a.start(func() { a.call(c) })
	}
	if plan.ReadHead {
		a.start(a.readHead)
	}
}

// HandleSync implements Node.
func (a *Agent) HandleSync(r spread.SyncRequest) (spread.SyncReply, error) {
	reply, e, err := a.o.Node.HandleSync(r)
	if err == nil {
		a.o.Client.Reached(r.From)
	}
	a.act(e)
	return reply, err
}

// HandleNotify implements Node.
func (a *Agent) HandleNotify(n spread.Notification) error {
	e, err := a.o.Node.HandleNotify(n)
	if err == nil {
		a.o.Client.Reached(n.From)
	}
	a.act(e)
	return err
}

// Halt sets a halt mark and spreads it at once.
func (a *Agent) Halt(m spread.Mark) error {
	e, err := a.o.Node.Halt(m)
	a.act(e)
	return err
}

func (a *Agent) call(c spread.Call) {
	reply, err := a.o.Client.Sync(a.ctx, c.To, c.Request)
	if err != nil {
		a.failed(c, err)
		return
	}
	e, err := a.o.Node.HandleReply(c, reply)
	a.took(e, err)
}

// failed reports a call without an answer to the node. A peer that answers with
// an error is reachable, and a call that was cut short by Close says nothing.
func (a *Agent) failed(c spread.Call, err error) {
	call, ok := errors.AsType[*CallError](err)
	if a.ctx.Err() == nil && !(ok && call.Remote) {
		a.act(a.o.Node.HandleFailure(c))
	}
}

// took carries out the effects of an answer, or counts that it was rejected.
func (a *Agent) took(e spread.Effects, err error) {
	if err != nil {
		a.Counters.BadReplies.Add(1)
		return
	}
	a.act(e)
}

// act carries out effects. Peers are notified before the new state is put in
// force, so that a slow InForce does not hold them up.
func (a *Agent) act(e spread.Effects) {
	for _, c := range e.Calls {
		a.start(func() { a.call(c) })
	}
	for _, id := range e.Notify {
		a.start(func() { _ = a.o.Client.Notify(a.ctx, id, e.Notification) })
	}
	if e.Load {
		a.start(a.readHead)
	}
	if e.Advanced {
		a.start(a.advance)
	}
}

// advance puts the follower's state in force and writes a snapshot if one is
// due.
func (a *Agent) advance() {
	a.applying.Lock()
	defer a.applying.Unlock()
	head, state := a.o.Follower.State()
	if head.Revision <= a.applied {
		return
	}
	if err := a.o.InForce(head, state); err != nil {
		a.Counters.InForceErrors.Add(1)
		return
	}
	a.applied = head.Revision
	a.o.Node.Applied(head.Revision)
	if s, due := a.o.Follower.DueSnapshot(); due {
		a.snapshot = &s
	}
	a.writeSnapshot()
}

// writeSnapshot stores a due snapshot if this VM is a delegate. After a failure
// it is tried again with the next change.
func (a *Agent) writeSnapshot() {
	if a.snapshot == nil || !a.o.Node.Delegate() {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, platformTimeout)
	defer cancel()
	if err := a.o.Log.WriteSnapshot(ctx, *a.snapshot); err == nil {
		a.snapshot = nil
		a.Counters.Snapshots.Add(1)
	}
}

// readHead reads the head of the log and the changes after the follower's. Only
// one read is under way at a time.
func (a *Agent) readHead() {
	if !a.reading.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, platformTimeout)
	defer cancel()
	sentAt := a.o.Lease.Now()
	head, changes, err := a.readLog(ctx)
	a.reading.Store(false)
	a.Counters.HeadReads.Add(1)
	if err != nil {
		a.Counters.HeadFailures.Add(1)
		return
	}
	a.took(a.o.Node.HandleHead(head, changes, sentAt))
}

func (a *Agent) readLog(ctx context.Context) (changelog.Head, []changelog.Change, error) {
	head, err := a.o.Log.Head(ctx)
	if err != nil {
		return head, nil, err
	}
	after := a.o.Follower.Head().Revision
	if head.Revision-after > maxRead {
		a.adoptSnapshot(ctx)
		after = a.o.Follower.Head().Revision
	}
	if head.Revision <= after {
		return head, nil, nil
	}
	changes, err := a.o.Log.Changes(ctx, after, maxRead)
	return head, changes, err
}

// adoptSnapshot shortens a long way to the head. Without a usable snapshot the
// changes are read.
func (a *Agent) adoptSnapshot(ctx context.Context) {
	s, err := a.o.Log.Newest(ctx)
	if err == nil && a.o.Follower.Adopt(s) {
		a.start(a.advance)
	}
}

// Var returns the counters for publication under one name.
func (c *AgentCounters) Var() expvar.Var {
	m := new(expvar.Map)
	m.Set("head_reads", &c.HeadReads)
	m.Set("head_failures", &c.HeadFailures)
	m.Set("bad_replies", &c.BadReplies)
	m.Set("in_force_errors", &c.InForceErrors)
	m.Set("snapshots", &c.Snapshots)
	return m
}
