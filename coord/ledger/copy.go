package ledger

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// copyLoop sends uncopied entries to two peers. The callers of Add wait for
// this, so a group is sent as soon as a slot is free. Entries that arrive while
// all slots are taken form the next group.
func (l *Ledger) copyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for l.copyNext(ctx) {
		}
	}
}

// copyNext waits for a slot and then sends the entries that have arrived by
// then. It reports false when there are none left.
func (l *Ledger) copyNext(ctx context.Context) bool {
	select {
	case l.copySlots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	group := l.nextCopyGroup()
	if len(group) == 0 {
		<-l.copySlots
		return false
	}
	l.copiesInFlight.Go(func() {
		defer func() { <-l.copySlots }()
		l.copyGroup(ctx, group)
	})
	return true
}

// sleep waits for d and returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextCopyGroup removes up to maxCopyGroup entries from the queue of uncopied
// entries.
func (l *Ledger) nextCopyGroup() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.uncopied), maxCopyGroup)
	group := l.uncopied[:n:n]
	l.uncopied = l.uncopied[n:]
	return group
}

// copyGroup copies consecutive entries to peers and then unblocks the callers of
// Add that wait for them. When no peer confirms a copy, it first tries to flush
// the entries.
func (l *Ledger) copyGroup(ctx context.Context, group []*pending) {
	enc := newEncoder()
	for _, p := range group {
		enc.add(p.entry)
	}
	first, last := group[0].number, group[len(group)-1].number
	message := copyMessage{Owner: l.opts.Self.ID, First: first, Batch: enc.batch()}.encode()
	holders := l.sendCopies(ctx, message, copiesPerEntry, nil)
	l.recordHolders(holders, first, last)
	switch len(holders) {
	case 0:
		l.stats.copiedToNone.Add(int64(len(group)))
		l.flush(ctx)
	case 1:
		l.stats.copiedToOne.Add(int64(len(group)))
	}
	for _, p := range group {
		close(p.done)
	}
}

// recordHolders records that the holders confirmed the own entries from first to
// last.
func (l *Ledger) recordHolders(holders []string, first, last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, holder := range holders {
		l.own.recordAck(holder, first, last)
		// A batch can be flushed and released before its copies arrive. The
		// release is then sent to the holder again.
		if _, known := l.confirmedReleases[holder]; !known || last <= l.flushedThrough {
			l.confirmedReleases[holder] = 0
		}
	}
}

// sendCopies sends a message to the wanted number of peers, one of them
// preferably in another zone, and returns the peers that confirmed it. A peer
// that fails is replaced by the next one. Peers in exclude are not used.
func (l *Ledger) sendCopies(ctx context.Context, message []byte, wanted int, exclude map[string]bool) []string {
	selector := newPeerSelector(l.opts.Self, l.opts.Peers(), exclude)
	var mu sync.Mutex
	var holders []string
	var senders sync.WaitGroup
	for slot := range wanted {
		senders.Go(func() {
			for peer, ok := selector.next(slot == 0); ok; peer, ok = selector.next(slot == 0) {
				if l.sendCopy(ctx, peer, message) == nil {
					mu.Lock()
					defer mu.Unlock()
					holders = append(holders, peer)
					return
				}
			}
		})
	}
	senders.Wait()
	return holders
}

func (l *Ledger) sendCopy(ctx context.Context, peer string, message []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.CopyTimeout)
	defer cancel()
	return l.opts.Copier.CopyEntries(ctx, peer, message)
}

// maxCopyAttempts bounds the peers that are tried for one message, because each
// of them may delay the answer of the request by CopyTimeout.
const maxCopyAttempts = 6

// peerSelector returns peers in the order of their rendezvous weights, each at
// most once.
type peerSelector struct {
	mu           sync.Mutex
	zone         string
	peers        []Peer
	attemptsLeft int
}

func newPeerSelector(self Peer, peers []Peer, exclude map[string]bool) *peerSelector {
	ranked := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.ID != self.ID && !exclude[p.ID] {
			ranked = append(ranked, p)
		}
	}
	slices.SortFunc(ranked, func(a, b Peer) int {
		if rendezvousWeight(self.ID, a.ID) > rendezvousWeight(self.ID, b.ID) {
			return -1
		}
		return 1
	})
	return &peerSelector{zone: self.AvailabilityZone, peers: ranked, attemptsLeft: maxCopyAttempts}
}

// rendezvousWeight returns the weight of a holder for an owner in rendezvous
// hashing.
func rendezvousWeight(owner, holder string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(holder))
	h.Write([]byte{0})
	h.Write([]byte(owner))
	return h.Sum64()
}

// next returns the remaining peer with the highest weight. When otherZone is
// set, it prefers the peers in other zones.
func (o *peerSelector) next(otherZone bool) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.peers) == 0 || o.attemptsLeft == 0 {
		return "", false
	}
	at := 0
	if otherZone {
		at = max(0, slices.IndexFunc(o.peers, func(p Peer) bool { return p.AvailabilityZone != o.zone }))
	}
	peer := o.peers[at]
	o.peers = slices.Delete(o.peers, at, at+1)
	o.attemptsLeft--
	return peer.ID, true
}
