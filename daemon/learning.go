package daemon

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/oklog/run"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/peer"
	"github.com/savoryshift/savoryshift/policy"
	"github.com/savoryshift/savoryshift/policy/guard"
	"github.com/savoryshift/savoryshift/quarantine"
)

const (
	// learningPeriod is the shortest time between two messages to a peer.
	learningPeriod = time.Second
	// learningBytesPerSecond bounds the bytes that a daemon sends of each kind of
	// message. The period grows with the number of peers and the size of the
	// message. A node may use 13 KB/s for all of its control traffic, and it receives
	// as much as it sends.
	learningBytesPerSecond = 1 << 10
	// maxFullMesh is the number of daemons up to which every daemon exchanges
	// messages with all others. Above it, only daemons of the same zone do.
	maxFullMesh = 16
	// quarantineWindow is the age up to which ends of upstreams and answers are sent. It
	// covers several messages, so that each is still told if one is lost.
	quarantineWindow = 4 * time.Second
	// maxLearnedBytes is the size of the largest message that is decoded.
	maxLearnedBytes = 1 << 20
)

// learned is the content of a message between daemons: a summary of the policy,
// or the counts of the guards by rollout. The counts are small and are sent
// often, because their delay determines how many requests reach a bad version.
type learned struct {
	Summary *policy.Summary
	Guards  map[string]guard.Counts
	// Quarantine is what the sender knows of messages that end upstreams, also from its
	// peers. Builds before this field ignore it.
	Quarantine *quarantine.Report
}

// learning exchanges with other daemons what they have learned about versions
// and upstreams.
type learning struct {
	config     *configuration
	routing    *routing
	quarantine *quarantine.Tracker
	findings   findings
	client     *peer.Client
	// known is the set of peers of the last exchange. Only Run uses it.
	known map[string]bool
}

// Run sends messages until ctx ends.
func (l *learning) Run(ctx context.Context) error {
	l.findings.load(ctx, l.quarantine)
	ticker := time.NewTicker(learningPeriod)
	defer ticker.Stop()
	var nextSummary, nextGuards time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		peers := l.peers()
		l.forget(peers)
		now := time.Now()
		if !now.Before(nextSummary) {
			summary := l.routing.planner.Export()
			nextSummary = now.Add(l.send(ctx, peers, learned{Summary: &summary}))
		}
		if counts := l.routing.guards.counts(); len(counts) > 0 && !now.Before(nextGuards) {
			nextGuards = now.Add(l.send(ctx, peers, learned{Guards: counts}))
		}
		l.quarantine.Sweep(now)
		if report := l.quarantine.Report(quarantineWindow, true, now); len(report.Ends)+len(report.Answers) > 0 {
			l.send(ctx, peers, learned{Quarantine: &report})
		}
		l.keepFindings(ctx)
	}
}

// keepFindings reads the stored findings until that has succeeded, and then writes those that
// change, if this daemon is the first one of those that live.
func (l *learning) keepFindings(ctx context.Context) {
	switch {
	case !l.findings.loaded:
		l.findings.load(ctx, l.quarantine)
	case l.rank() == 0:
		l.findings.write(ctx, l.quarantine)
	}
}

// send sends a message to the peers and returns how long to wait before the
// next one of its kind.
func (l *learning) send(ctx context.Context, peers []member.VM, m learned) time.Duration {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(m); err != nil {
		return learningPeriod
	}
	self := l.config.members.Self()
	request := peer.LearnedRequest{From: self.ID, Incarnation: self.Incarnation, Data: buf.Bytes()}
	for _, vm := range peers {
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		// A lost message is replaced by the next one.
		_ = l.client.Learned(callCtx, vm.ID, request)
		cancel()
	}
	return time.Duration(buf.Len()*len(peers)) * time.Second / learningBytesPerSecond
}

// peers lists the live daemons to exchange messages with.
func (l *learning) peers() []member.VM {
	self := l.config.members.Self()
	live := l.config.members.Live()
	var peers []member.VM
	for _, vm := range live {
		included := len(live) <= maxFullMesh || vm.AvailabilityZone() == self.AvailabilityZone()
		if vm.ID != self.ID && included {
			peers = append(peers, vm)
		}
	}
	return peers
}

// forget drops what was learned from daemons that are gone.
func (l *learning) forget(peers []member.VM) {
	live := make(map[string]bool, len(peers))
	for _, vm := range peers {
		live[vm.ID] = true
	}
	for id := range l.known {
		if !live[id] {
			l.routing.planner.Forget(id)
		}
	}
	l.known = live
}

// HandleLearned implements peer.Learner.
func (l *learning) HandleLearned(from string, incarnation int64, data []byte) error {
	if err := l.config.members.Check(member.VM{ID: from, Incarnation: incarnation}); err != nil {
		return err
	}
	if len(data) > maxLearnedBytes {
		return oops.Errorf("message of %d bytes, allowed: up to %d", len(data), maxLearnedBytes)
	}
	var message learned
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&message); err != nil {
		return oops.Wrapf(err, "message from %s", from)
	}
	if message.Summary != nil {
		l.routing.planner.Merge(from, *message.Summary)
	}
	if message.Quarantine != nil {
		l.quarantine.Merge(*message.Quarantine, time.Now())
	}
	l.routing.guards.merge(from, message.Guards)
	return nil
}

// testTurn is the time for which one daemon may let requests through that test a message,
// before it is the turn of the next one.
const testTurn = 3 * time.Second

// mayTest reports whether it is the turn of this daemon to test a message that has ended
// upstreams. The daemons take turns by the order of their IDs.
func (l *learning) mayTest(overdue time.Duration, _ time.Time) bool {
	return l.rank() == int(overdue/testTurn)%max(1, len(l.config.members.Live()))
}

// rank returns the index of this daemon, by ID, among those that live.
func (l *learning) rank() int {
	self, rank := l.config.members.Self().ID, 0
	for _, vm := range l.config.members.Live() {
		if vm.ID < self {
			rank++
		}
	}
	return rank
}

// addLearning adds the loop that sends learned data.
func (d *Daemon) addLearning(g *run.Group) { d.addLoop(g, d.learning.Run) }
