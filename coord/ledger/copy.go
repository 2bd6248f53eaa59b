package ledger

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// copyLoop sends uncopied entries to two peers. The caller waits for this, so a
// group is sent as soon as there is a slot; entries that arrive while all slots
// are taken form the next group.
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
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	group := l.takeUncopied()
	if len(group) == 0 {
		<-l.slots
		return false
	}
	l.flights.Go(func() {
		defer func() { <-l.slots }()
		l.copyGroup(ctx, group)
	})
	return true
}

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

func (l *Ledger) takeUncopied() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.uncopied), maxCopyGroup)
	group := l.uncopied[:n:n]
	l.uncopied = l.uncopied[n:]
	return group
}

// copyGroup copies consecutive entries and then lets their answers go.
func (l *Ledger) copyGroup(ctx context.Context, group []*pending) {
	enc := newEncoder()
	for _, p := range group {
		enc.add(p.entry)
	}
	first, last := group[0].number, group[len(group)-1].number
	message := copyMessage{Owner: l.o.Self.ID, First: first, Batch: enc.batch()}.encode()
	holders := l.send(ctx, message, copies, nil)
	l.noteHolders(holders, first, last)
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

func (l *Ledger) noteHolders(holders []string, first, last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, holder := range holders {
		l.own.acked(holder, first, last)
		// A batch can be flushed and released before its copies arrive; the
		// holder then needs the release again.
		if _, known := l.released[holder]; !known || last <= l.flushed {
			l.released[holder] = 0
		}
	}
}

// send delivers a message to up to wanted peers, in another zone first, and
// returns the peers that confirmed it. A peer that fails is replaced by the
// next one.
func (l *Ledger) send(ctx context.Context, message []byte, wanted int, exclude map[string]bool) []string {
	offer := newOffer(l.o.Self, l.o.Peers(), exclude)
	var mu sync.Mutex
	var holders []string
	var senders sync.WaitGroup
	for slot := range wanted {
		senders.Go(func() {
			for peer, ok := offer.next(slot == 0); ok; peer, ok = offer.next(slot == 0) {
				if l.sendTo(ctx, peer, message) == nil {
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

func (l *Ledger) sendTo(ctx context.Context, peer string, message []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.o.CopyTimeout)
	defer cancel()
	return l.o.Copier.CopyEntries(ctx, peer, message)
}

// maxOffers bounds the peers that are tried for one message, because each may
// cost a timeout before the answer is released.
const maxOffers = 6

// offer hands out peers in rendezvous order, each at most once.
type offer struct {
	mu    sync.Mutex
	zone  string
	peers []Peer
	left  int
}

func newOffer(self Peer, peers []Peer, exclude map[string]bool) *offer {
	ranked := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.ID != self.ID && !exclude[p.ID] {
			ranked = append(ranked, p)
		}
	}
	slices.SortFunc(ranked, func(a, b Peer) int {
		if weight(self.ID, a.ID) > weight(self.ID, b.ID) {
			return -1
		}
		return 1
	})
	return &offer{zone: self.AvailabilityZone, peers: ranked, left: maxOffers}
}

// weight is the rendezvous weight of a holder for an owner.
func weight(owner, holder string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(holder))
	h.Write([]byte{0})
	h.Write([]byte(owner))
	return h.Sum64()
}

// next returns the best peer left; one in another zone when otherZone is set
// and there is one.
func (o *offer) next(otherZone bool) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.peers) == 0 || o.left == 0 {
		return "", false
	}
	at := 0
	if otherZone {
		at = max(0, slices.IndexFunc(o.peers, func(p Peer) bool { return p.AvailabilityZone != o.zone }))
	}
	peer := o.peers[at]
	o.peers = slices.Delete(o.peers, at, at+1)
	o.left--
	return peer.ID, true
}
