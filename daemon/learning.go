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
	// learningBytesPerSecond bounds what a daemon spends on these messages; with
	// more peers or more to say the period grows. A node may spend 13 KB/s on
	// control in all.
	learningBytesPerSecond = 4 << 10
	// everybody is the number of daemons up to which all exchange; beyond it
	// only the daemons of a zone do.
	everybody = 16
	// maxLearnedBytes bounds a message that is decoded.
	maxLearnedBytes = 1 << 20
)

// learned is the content of a message between daemons.
type learned struct {
	Summary policy.Summary
	// Guards holds the counts of the guards by roll-out.
	Guards map[string]guard.Counts
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
	period := learningPeriod
	for {
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		peers := l.peers()
		l.forget(peers)
		data, err := l.encode()
		if err != nil || len(peers) == 0 {
			continue
		}
		self := l.config.members.Self()
		for _, vm := range peers {
			limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
			// A lost message is replaced by the next one.
			_ = l.client.Learned(limited, vm.ID, peer.LearnedRequest{From: self.ID, Incarnation: self.Incarnation, Data: data})
			cancel()
		}
		period = max(learningPeriod, time.Duration(len(data)*len(peers))*time.Second/learningBytesPerSecond)
	}
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

func (l *learning) encode() ([]byte, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(learned{Summary: l.routing.planner.Export(), Guards: l.routing.guards.counts()})
	return buf.Bytes(), err
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
	l.routing.planner.Merge(from, message.Summary)
	l.routing.guards.merge(from, message.Guards)
	return nil
}

// addLearning adds the exchange.
func (d *Daemon) addLearning(g *run.Group) { d.addLoop(g, d.learning.Run) }
