package share

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smoothing is the weight of the latest period in the measured demand.
	smoothing = 0.1
	// changedSmoothing replaces it when the number of requests differs from the
	// expected one by more than changedDeviations standard deviations.
	changedSmoothing  = 0.4
	changedDeviations = 2.5
	// A demand of more than silentArrivals per period is taken to have ended
	// after silentPeriods without a request, and silentSmoothing applies.
	silentPeriods   = 2
	silentArrivals  = 2
	silentSmoothing = 0.8
	// startPercent of an equal share is the assumed demand of a new daemon, so
	// that its first share is about an equal one.
	startPercent = 80
)

// bucket is a token bucket whose rate changes with the share and the limit.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what has accumulated, up to a burst.
func (b *bucket) refill(now time.Time, rate float64, burst time.Duration) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level += rate * passed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity(rate, burst))
}

// capacity is at least one request, unless there is no share at all.
func capacity(rate float64, burst time.Duration) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, rate*burst.Seconds())
}

// account is the local state of one organisation.
type account struct {
	mu      sync.Mutex
	limit   Limit
	share   perResource[int64] // usable now
	buckets perResource[bucket]
	offered perResource[float64] // since the last measurement
	refused bool
	silent  int                  // periods in a row without a request
	demand  perResource[float64] // smoothed, per second
	known   bool                 // demand was measured or assumed
	since   time.Time

	// Owned by the goroutine that runs the ticks.
	skip, backoff int // ticks until the next read while nothing changes
	needs         perResource[need]
	notBefore     time.Time // of the next read, after conflicts
	pause         time.Duration
	open          *openWrite
}

// openWrite is a write with an unknown outcome. It can take effect while the
// row has the version that it expects.
type openWrite struct {
	version int64
	share   perResource[int64]
}

// rate returns what the share allows per second. The caller holds mu.
func (a *account) rate(r resource) float64 {
	return a.limit.rates()[r] * float64(a.share[r]) / float64(Whole)
}

// admit takes one request and its tokens out of the buckets, or nothing and the
// time after which it can succeed.
func (a *account) admit(now time.Time, cost perResource[float64], burst time.Duration) (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits := a.limit.rates()
	for r := range resources {
		a.offered[r] += cost[r]
		if limits[r] == 0 {
			continue
		}
		rate := a.rate(r)
		a.buckets[r].refill(now, rate, burst)
		// A request above the burst is admitted by a full bucket, which then
		// goes into debt.
		required := min(cost[r], capacity(rate, burst))
		if rate <= 0 {
			required = max(1, cost[r])
		}
		if missing := required - a.buckets[r].level; missing > 0 {
			wait = max(wait, timeFor(missing, rate))
		}
	}
	if wait > 0 {
		a.refused = true
		return wait, false
	}
	for r := range resources {
		if limits[r] != 0 {
			a.buckets[r].level -= cost[r]
		}
	}
	return 0, true
}

// maxRetryAfter is the advice for a daemon without a share.
const maxRetryAfter = 10 * time.Second

func timeFor(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, max(time.Millisecond, time.Duration(amount/rate*float64(time.Second))))
}

// setShare changes the usable share. What accumulated above the new burst is
// dropped, so that it is not used twice.
func (a *account) setShare(now time.Time, share perResource[int64], burst time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.change(now, burst, func() { a.share = share })
}

func (a *account) setLimit(now time.Time, limit Limit, burst time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.change(now, burst, func() { a.limit = limit })
}

// change refills at the old rate and cuts to the burst of the new one. The
// caller holds mu.
func (a *account) change(now time.Time, burst time.Duration, apply func()) {
	for r := range resources {
		a.buckets[r].refill(now, a.rate(r), burst)
	}
	apply()
	for r := range resources {
		a.buckets[r].refill(now, a.rate(r), burst)
	}
}

func (a *account) currentShare() perResource[int64] {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share
}

// measure ends one period and returns the needs.
func (a *account) measure(now time.Time, holders int, burst time.Duration) perResource[need] {
	a.mu.Lock()
	defer a.mu.Unlock()
	var needs perResource[need]
	limits, passed := a.limit.rates(), now.Sub(a.since).Seconds()
	weight := smoothing
	expected := max(1, a.demand[requests]*passed)
	if math.Abs(a.offered[requests]-expected) > changedDeviations*math.Sqrt(expected) {
		weight = changedSmoothing
	}
	if a.offered[requests] > 0 {
		a.silent = 0
	} else if a.silent++; a.silent >= silentPeriods && (expected > silentArrivals || a.silent > silentPeriods) {
		weight = silentSmoothing
	}
	for r := range resources {
		latest := a.demand[r]
		if passed > 0 {
			latest = a.offered[r] / passed
		}
		switch {
		case !a.known && a.offered[r] == 0:
			a.demand[r] = limits[r] * startPercent / 100 / float64(max(1, holders))
		case !a.known:
			a.demand[r] = latest
		default:
			a.demand[r] += weight * (latest - a.demand[r])
		}
		needs[r] = need{floor: floorFor(holders), least: leastFor(holders), roll: rand.Float64(), demand: fraction(a.demand[r], limits[r])}
		needs[r].peak = needs[r].demand
		if a.refused {
			needs[r].peak = max(needs[r].peak, fraction(latest, limits[r]))
		}
		// Arrivals are taken as independent of each other.
		arrivals := max(1, a.demand[requests]*burst.Seconds())
		needs[r].noise = int64(float64(needs[r].demand) / math.Sqrt(arrivals))
		needs[r].short = a.refused && needs[r].demand-a.share[r] >= needs[r].surplus(a.share[r])
	}
	a.offered = perResource[float64]{}
	a.known, a.refused, a.since = true, false, now
	return needs
}

// fraction converts a rate to a fraction of the limit.
func fraction(rate, limit float64) int64 {
	if limit <= 0 {
		return 0
	}
	return int64(min(1, rate/limit) * float64(Whole))
}
