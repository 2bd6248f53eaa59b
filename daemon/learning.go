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
)

const (
	// learningPeriod is the shortest time between two messages to a peer.
	learningPeriod = time.Second
	// learningBytesPerSecond bounds what a daemon sends of each kind of message;
	// with more peers or more to say the period grows. A node may spend 13 KB/s
	// on control in all, and receives as much as it sends.
	learningBytesPerSecond = 1 << 10
	// everybody is the number of daemons up to which all exchange; beyond it
	// only the daemons of a zone do.
	everybody = 16
	// maxLearnedBytes bounds a message that is decoded.
	maxLearnedBytes = 1 << 20
)

// learned is the content of a message between daemons: a summary of the policy,
// or the counts of the guards by roll-out. The counts are small and sent often,
// because they decide how many requests a bad version sees.
type learned struct {
	Summary *policy.Summary
	Guards  map[string]guard.Counts
}

// learning exchanges what the daemons learn about versions and upstreams.
type learning struct {
	config  *configuration
	routing *routing
	client  *peer.Client
	// known lists the peers whose summaries are in use; it belongs to Run.
	known map[string]bool
}

// Run sends messages until ctx ends.
func (l *learning) Run(ctx context.Context) error {
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
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		// A lost message is replaced by the next one.
		_ = l.client.Learned(limited, vm.ID, request)
		cancel()
	}
	return time.Duration(buf.Len()*len(peers)) * time.Second / learningBytesPerSecond
}

// peers lists the daemons to exchange with.
func (l *learning) peers() []member.VM {
	self := l.config.members.Self()
	live := l.config.members.Live()
	var peers []member.VM
	for _, vm := range live {
		near := len(live) <= everybody || vm.AvailabilityZone() == self.AvailabilityZone()
		if vm.ID != self.ID && near {
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

// TakeLearned implements peer.Learner.
func (l *learning) TakeLearned(from string, incarnation int64, data []byte) error {
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
	l.routing.guards.merge(from, message.Guards)
	return nil
}

// addLearning adds the exchange.
func (d *Daemon) addLearning(g *run.Group) { d.addLoop(g, d.learning.Run) }
