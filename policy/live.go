package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// liveHistory is the number of samples kept of the calls in flight.
const liveHistory = 64

// Live counts the calls that this daemon has in flight at one upstream. It is
// safe for concurrent use. Begin and End are lock-free.
type Live struct {
	inflight atomic.Int64
	failures atomic.Int64
	retryAt  atomic.Int64

	mu      sync.Mutex
	samples [liveHistory]liveSample
	next    int
}

type liveSample struct {
	at    time.Duration
	count int64
}

// Backoff of an upstream after failures in a row.
const (
	backoffBase = time.Second
	backoffMax  = 30 * time.Second
)

// Begin notes that a call starts.
func (l *Live) Begin() { l.inflight.Add(1) }

// End notes that a call has ended.
func (l *Live) End() { l.inflight.Add(-1) }

// InFlight returns the calls in flight.
func (l *Live) InFlight() int { return int(l.inflight.Load()) }

// Failed notes that the upstream could not serve a call. It receives no new
// call until a backoff, which doubles with each failure in a row, has passed.
func (l *Live) Failed(now time.Duration) {
	n := l.failures.Add(1)
	backoff := backoffMax
	if n < maxDoublings {
		backoff = min(backoffMax, backoffBase<<(n-1))
	}
	l.retryAt.Store(int64(now + backoff))
}

// maxDoublings bounds the doublings of the backoff.
const maxDoublings = 6

// Succeeded notes that the upstream has answered, also to a probe of the control
// loop, which ends the backoff.
func (l *Live) Succeeded() {
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
}

// usable reports whether the upstream may receive a call. After the backoff
// one call at a time probes an upstream that has failed.
func (l *Live) usable(now time.Duration) bool {
	if l.failures.Load() == 0 {
		return true
	}
	return int64(now) >= l.retryAt.Load() && l.inflight.Load() == 0
}

// Sample notes the calls in flight, so that a later load report can be
// compared with the calls of this daemon at the moment that it describes.
func (l *Live) Sample(now time.Duration) {
	l.mu.Lock()
	l.samples[l.next%liveHistory] = liveSample{at: now, count: l.inflight.Load()}
	l.next++
	l.mu.Unlock()
}

// at returns the calls in flight at an earlier moment.
func (l *Live) at(t time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 1; i <= min(l.next, liveHistory); i++ {
		s := l.samples[(l.next-i)%liveHistory]
		if s.at <= t {
			return s.count
		}
	}
	return 0
}
