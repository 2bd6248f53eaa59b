package spreadtest

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/spread"
)

// maxReadChanges bounds the changes that a host reads from the platform at once.
const maxReadChanges = 256

// callTimeout is the time after which a call without a reply fails.
const callTimeout = time.Second

// Host is one simulated VM with the process that runs on it.
type Host struct {
	ID, Zone string
	Node     *spread.Node
	Members  *member.View
	Follower *changelog.Follower
	Lease    *evidence.Lease
	// InForce is the revision in force, InForceAt the virtual time at which each
	// revision, or a later one, was first put in force.
	InForce   int64
	InForceAt map[int64]time.Duration
	// Sent and Received count the traffic since the last ResetTraffic.
	Sent, Received Traffic

	fleet       *Fleet
	meter       *meter
	incarnation int64
	process     int // number of the running process, 0 when none runs
	processes   int
	frozen      bool
	frozenAt    time.Duration
	frozenFor   time.Duration
	backlog     []func()
}

// Now implements evidence.Clock with the virtual time.
func (h *Host) Now() evidence.Instant {
	now := h.fleet.now
	if h.fleet.options.Hooks.FrozenClockStops {
		now -= h.frozenFor
	}
	return evidence.Instant{Boot: now, Wall: now}
}

// start starts a process with an empty state and a new incarnation.
func (h *Host) start() {
	f := h.fleet
	h.incarnation++
	h.processes++
	h.process = h.processes
	h.frozen, h.backlog = false, nil
	h.InForce, h.InForceAt = 0, make(map[int64]time.Duration)
	h.Members = member.New(member.Options{Self: member.VM{ID: h.ID, Incarnation: epoch.UnixMilli() + h.incarnation}, Now: f.WallNow})
	h.Follower = changelog.NewFollower(changelog.FollowerOptions{Apply: f.options.Apply, Keep: f.options.Keep})
	h.Lease = evidence.New(evidence.Options{Clock: h})
	h.Node = spread.New(spread.Options{Members: h.Members, Follower: h.Follower, Lease: h.Lease, Now: f.WallNow})
	h.Node.SetPlatformList(f.IDs())
	process := h.process
	var tick func()
	tick = func() {
		h.run(process, h.tick)
		if h.process == process {
			f.after(tickEvery, tick)
		}
	}
	f.after(time.Duration(f.rng.Int64N(int64(spread.DefaultSyncEvery))), tick)
}

// run runs handle in the given process. When the host is frozen, handle runs
// after the thaw; when the process has ended, it does not run at all.
func (h *Host) run(process int, handle func()) {
	switch {
	case process == 0 || h.process != process:
	case h.frozen:
		h.backlog = append(h.backlog, handle)
	default:
		handle()
	}
}

// Running reports whether the process runs and is not frozen.
func (h *Host) Running() bool { return h.process != 0 && !h.frozen }

// Kill ends the process.
func (h *Host) Kill() { h.process = 0 }

// Restart ends the process, if any, and starts a new one.
func (h *Host) Restart() { h.start() }

// Freeze pauses the process until Thaw.
func (h *Host) Freeze() {
	if h.Running() {
		h.frozen, h.frozenAt = true, h.fleet.now
	}
}

// Thaw resumes the process. Fleet.Observe is called before the process handles the
// messages that arrived while it was frozen, because a real process could act on
// its old state at that moment.
func (h *Host) Thaw() {
	if !h.frozen {
		return
	}
	h.frozen = false
	h.frozenFor += h.fleet.now - h.frozenAt
	h.fleet.Observe(h)
	backlog := h.backlog
	h.backlog = nil
	for _, handle := range backlog {
		handle()
	}
}

func (h *Host) tick() {
	plan := h.Node.Tick()
	for _, c := range plan.Calls {
		h.call(c)
	}
	if plan.ReadHead {
		h.readHead()
	}
	h.fleet.Observe(h)
}

// readHead reads the head and the changes after the follower's head from the
// platform. Half of the delay passes before the read takes effect and half after.
func (h *Host) readHead() {
	f := h.fleet
	sentAt, process := h.Lease.Now(), h.process
	f.after(f.delay(defaultReadDelay/2), func() {
		if f.PlatformCut[h.Zone] {
			return
		}
		ctx := context.Background()
		head, err := f.Log.Head(ctx)
		if err != nil {
			return
		}
		var changes []changelog.Change
		if after := h.Follower.Head().Revision; after < head.Revision {
			changes, err = f.Log.Changes(ctx, after, maxReadChanges)
		}
		if err != nil {
			return
		}
		f.after(f.delay(defaultReadDelay/2), func() {
			h.run(process, func() {
				e, err := h.Node.HandleHead(head, changes, sentAt)
				if err == nil {
					h.applyEffects(e, h.Follower.Head().Revision)
				}
			})
		})
	})
}

func (h *Host) countMessage(to *Host, method string, body any) {
	h.Sent.Messages++
	to.Received.Messages++
	if h.fleet.options.Metered {
		n := h.meter.size(method, body)
		h.Sent.Bytes += n
		to.Received.Bytes += n
	}
}

func (h *Host) call(c spread.Call) {
	f, to, process := h.fleet, h.fleet.byID[c.To], h.process
	h.countMessage(to, "Peer.Sync", c.Request)
	answered := false
	f.after(callTimeout, func() {
		h.run(process, func() {
			if !answered {
				h.applyEffects(h.Node.HandleFailure(c), 0)
			}
		})
	})
	f.deliver(h, to, func() {
		reply, e, err := to.Node.HandleSync(c.Request)
		if err != nil {
			return
		}
		to.applyEffects(e, to.Follower.Head().Revision)
		to.countMessage(h, "", reply)
		f.deliver(to, h, func() {
			h.run(process, func() {
				answered = true
				h.handleReply(c, reply)
			})
		})
	})
}

func (h *Host) handleReply(c spread.Call, reply spread.SyncReply) {
	hooks := h.fleet.options.Hooks
	if hooks.Reply != nil {
		hooks.Reply(&reply)
	}
	if hooks.CountFromReceipt {
		request := c.Request
		c = h.Node.SyncRequest(c.To)
		c.Request = request
	}
	e, err := h.Node.HandleReply(c, reply)
	if err != nil {
		return
	}
	revision := h.Follower.Head().Revision
	if hooks.InForce != nil {
		revision = hooks.InForce(reply, revision)
		h.putInForce(revision)
	}
	h.applyEffects(e, revision)
}

// applyEffects carries out the effects of an event. If the follower has advanced,
// revision is put in force.
func (h *Host) applyEffects(e spread.Effects, revision int64) {
	if e.Advanced {
		h.putInForce(revision)
	}
	for _, c := range e.Calls {
		h.call(c)
	}
	for _, id := range e.Notify {
		to := h.fleet.byID[id]
		h.countMessage(to, "Peer.Notify", e.Notification)
		h.fleet.deliver(h, to, func() {
			to.countMessage(h, "", struct{}{}) // the empty reply
			if e, err := to.Node.HandleNotify(e.Notification); err == nil {
				to.applyEffects(e, to.Follower.Head().Revision)
			}
		})
	}
	if e.Load {
		h.readHead()
	}
}

func (h *Host) putInForce(revision int64) {
	h.InForce = revision
	h.Node.Applied(revision)
	for r := revision; r > 0; r-- {
		if _, done := h.InForceAt[r]; done {
			break
		}
		h.InForceAt[r] = h.fleet.now
	}
}

// ResetTraffic sets the traffic counts of all hosts to zero.
func (f *Fleet) ResetTraffic() {
	for _, h := range f.Hosts {
		h.Sent, h.Received = Traffic{}, Traffic{}
	}
}
