package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxLiveSamples is the number of samples of the calls in flight that are kept
// per upstream.
const maxLiveSamples = 64

// Live counts the calls that this daemon has in flight at one upstream, and its
// consecutive failures there. It is safe for concurrent use. Begin and End are
// lock-free.
type Live struct {
	inflight            atomic.Int64
	consecutiveFailures atomic.Int64
	// retryAt is the end of the backoff, on the clock of the package's caller.
	retryAt atomic.Int64

	mu         sync.Mutex
	samples    [maxLiveSamples]liveSample
	nextSample int
}

// liveSample is the number of calls in flight at a moment.
type liveSample struct {
	at    time.Duration
	count int64
}

// Bounds of the backoff of an upstream after consecutive failures.
const (
	backoffBase = time.Second
	backoffMax  = 30 * time.Second
)

// Begin counts the start of a call.
func (l *Live) Begin() { l.inflight.Add(1) }

// End counts the end of a call.
func (l *Live) End() { l.inflight.Add(-1) }

// InFlight returns the number of calls in flight.
func (l *Live) InFlight() int { return int(l.inflight.Load()) }

// Failed records that the upstream could not serve a call. The upstream
// receives no new call until the end of the backoff, which doubles with each
// consecutive failure.
func (l *Live) Failed(now time.Duration) {
	n := l.consecutiveFailures.Add(1)
	backoff := backoffMax
	if n < maxDoublings {
		backoff = min(backoffMax, backoffBase<<(n-1))
	}
	l.retryAt.Store(int64(now + backoff))
}

// maxDoublings is the number of consecutive failures from which on the backoff
// is backoffMax. It also keeps the shift from overflowing.
const maxDoublings = 6

// Succeeded records that the upstream has answered a call or a probe of the
// control loop. It ends the backoff.
func (l *Live) Succeeded() {
	if l.consecutiveFailures.Load() != 0 {
		l.consecutiveFailures.Store(0)
	}
}

// usable reports whether the upstream may receive a call. After the backoff, an
// upstream that has failed receives one call at a time as a probe until it
// succeeds.
func (l *Live) usable(now time.Duration) bool {
	if l.consecutiveFailures.Load() == 0 {
		return true
	}
	return int64(now) >= l.retryAt.Load() && l.inflight.Load() == 0
}

// Sample records the number of calls in flight, so that a later load report can
// be compared with the calls that this daemon had in flight at the moment that
// the report describes.
func (l *Live) Sample(now time.Duration) {
	l.mu.Lock()
	l.samples[l.nextSample%maxLiveSamples] = liveSample{at: now, count: l.inflight.Load()}
	l.nextSample++
	l.mu.Unlock()
}

// inFlightAt returns the number of calls in flight at an earlier moment, or 0 if
// there is no sample from before it.
func (l *Live) inFlightAt(t time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 1; i <= min(l.nextSample, maxLiveSamples); i++ {
		s := l.samples[(l.nextSample-i)%maxLiveSamples]
		if s.at <= t {
			return s.count
		}
	}
	return 0
}
