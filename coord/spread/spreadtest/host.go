package spreadtest

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/spread"
)

// maxRead is the number of changes that a host reads from the platform at once.
const maxRead = 256

// callTimeout is the time after which a call without a reply has failed.
const callTimeout = time.Second

// Host is one VM with the process that runs on it.
type Host struct {
	ID, Zone string
	Node     *spread.Node
	Members  *member.View
	Follower *changelog.Follower
	Lease    *evidence.Lease
	// InForce is the revision in force, InForceAt the time when each was put
	// in force first.
	InForce   int64
	InForceAt map[int64]time.Duration
	// Sent and Received count since the last ResetTraffic.
	Sent, Received Traffic

	fleet       *Fleet
	meter       *meter
	incarnation int64
	process     int // number of the running process, 0 when the VM is down
	processes   int
	frozen      bool
	frozenAt    time.Duration
	frozenFor   time.Duration
	backlog     []func()
}

// Now implements evidence.Clock.
func (h *Host) Now() evidence.Instant {
	now := h.fleet.now
	if h.fleet.o.Hooks.FrozenClockStops {
		now -= h.frozenFor
	}
	return evidence.Instant{Boot: now, Wall: now}
}

// start begins a process with an empty state and a new incarnation.
func (h *Host) start() {
	f := h.fleet
	h.incarnation++
	h.processes++
	h.process = h.processes
	h.frozen, h.backlog = false, nil
	h.InForce, h.InForceAt = 0, make(map[int64]time.Duration)
	h.Members = member.New(member.Options{Self: member.VM{ID: h.ID, Incarnation: epoch.UnixMilli() + h.incarnation}, Now: f.WallNow})
	h.Follower = changelog.NewFollower(changelog.FollowerOptions{Apply: f.o.Apply, Keep: f.o.Keep})
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

// run runs handle in the given process, later when the host is frozen, and not
// at all when the process has ended.
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

// Freeze pauses the process.
func (h *Host) Freeze() {
	if h.Running() {
		h.frozen, h.frozenAt = true, h.fleet.now
	}
}

// Thaw resumes the process. It is observed before it handles the messages that
// arrived meanwhile, as it could act then.
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

// readHead reads the platform: half of the delay passes before the read takes
// effect and half after.
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
			changes, err = f.Log.Changes(ctx, after, maxRead)
		}
		if err != nil {
			return
		}
		f.after(f.delay(defaultReadDelay/2), func() {
			h.run(process, func() {
				e, err := h.Node.HandleHead(head, changes, sentAt)
				if err == nil {
					h.act(e, h.Follower.Head().Revision)
				}
			})
		})
	})
}

// count records a message from h to another host.
func (h *Host) count(to *Host, method string, body any) {
	h.Sent.Messages++
	to.Received.Messages++
	if h.fleet.o.Metered {
		n := h.meter.size(method, body)
		h.Sent.Bytes += n
		to.Received.Bytes += n
	}
}

func (h *Host) call(c spread.Call) {
	f, to, process := h.fleet, h.fleet.byID[c.To], h.process
	h.count(to, "Peer.Sync", c.Request)
	answered := false
	f.after(callTimeout, func() {
		h.run(process, func() {
			if !answered {
				h.act(h.Node.HandleFailure(c), 0)
			}
		})
	})
	f.deliver(h, to, func() {
		reply, e, err := to.Node.HandleSync(c.Request)
		if err != nil {
			return
		}
		to.act(e, to.Follower.Head().Revision)
		to.count(h, "", reply)
		f.deliver(to, h, func() {
			h.run(process, func() {
				answered = true
				h.handleReply(c, reply)
			})
		})
	})
}

func (h *Host) handleReply(c spread.Call, reply spread.SyncReply) {
	hooks := h.fleet.o.Hooks
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
	h.act(e, revision)
}

// act carries out the effects of an event.
func (h *Host) act(e spread.Effects, revision int64) {
	if e.Advanced {
		h.putInForce(revision)
	}
	for _, c := range e.Calls {
		h.call(c)
	}
	for _, id := range e.Notify {
		to := h.fleet.byID[id]
		h.count(to, "Peer.Notify", e.Notification)
		h.fleet.deliver(h, to, func() {
			to.count(h, "", struct{}{}) // the empty reply
			if e, err := to.Node.HandleNotify(e.Notification); err == nil {
				to.act(e, to.Follower.Head().Revision)
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

// ResetTraffic starts the counts of all hosts anew.
func (f *Fleet) ResetTraffic() {
	for _, h := range f.Hosts {
		h.Sent, h.Received = Traffic{}, Traffic{}
	}
}
