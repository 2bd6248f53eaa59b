package share

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smoothing is the weight of the latest period in the smoothed demand.
	smoothing = 0.1
	// changedSmoothing replaces smoothing when the number of requests differs
	// from the expected one by more than changedDeviations standard deviations.
	changedSmoothing  = 0.4
	changedDeviations = 2.5
	// idleSmoothing replaces smoothing when the demand seems to have ended: after
	// idlePeriodsThreshold periods without a request if more than idleMinArrivals
	// requests were expected in the period, and after one more period otherwise.
	idlePeriodsThreshold = 2
	idleMinArrivals      = 2
	idleSmoothing        = 0.8
	// initialDemandPercent of an equal share is the assumed demand of a new
	// daemon, so that its first share is about an equal one.
	initialDemandPercent = 80
)

// bucket is a token bucket whose rate changes with the share and the limit.
type bucket struct {
	level float64   // available amount; negative after a request above the burst
	at    time.Time // time of the last refill
}

// refill adds what has accumulated since the last refill, up to the capacity.
func (b *bucket) refill(now time.Time, rate float64, burst time.Duration) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level += rate * passed.Seconds()
		b.at = now
	}
	b.level = min(b.level, bucketCapacity(rate, burst))
}

// bucketCapacity returns what accumulates during a burst. It is at least 1,
// unless the rate is 0.
func bucketCapacity(rate float64, burst time.Duration) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, rate*burst.Seconds())
}

// account is the state of one organisation in this daemon.
type account struct {
	mu          sync.Mutex
	limit       Limit
	share       perResource[int64] // share that this daemon may use at present
	buckets     perResource[bucket]
	offered     perResource[float64] // requests and tokens since the last measurement
	refused     bool                 // a request was refused since the last measurement
	idlePeriods int                  // consecutive periods without a request
	demand      perResource[float64] // smoothed, per second
	demandKnown bool                 // the demand was measured or assumed
	measuredAt  time.Time            // start of the current measurement

	// The fields below belong to the goroutine that runs a tick.
	ticksToRead, readBackoff int // ticks until the next regular read, and minimum ticks before an early one
	needs                    perResource[need]
	noReadBefore             time.Time // earliest time of the next read after conflicts
	conflictPause            time.Duration
	inDoubt                  *inDoubtWrite
}

// inDoubtWrite is a write whose outcome is unknown. It can still take effect
// while the row has the version that the write expects.
type inDoubtWrite struct {
	version int64
	share   perResource[int64]
}

// rate returns the amount of a resource that the share allows per second. The
// caller holds mu.
func (a *account) rate(r resource) float64 {
	return a.limit.rates()[r] * float64(a.share[r]) / float64(FullLimit)
}

// admit takes one request and its tokens out of the buckets. When the buckets do
// not suffice, it takes nothing and returns the time after which it can succeed.
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
		// A request above the burst is admitted by a full bucket, whose level
		// becomes negative.
		required := min(cost[r], bucketCapacity(rate, burst))
		if rate <= 0 {
			required = max(1, cost[r])
		}
		if missing := required - a.buckets[r].level; missing > 0 {
			wait = max(wait, timeToRefill(missing, rate))
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

// maxRetryAfter bounds the retry-after time. It is the time for a daemon without
// a share.
const maxRetryAfter = 10 * time.Second

// timeToRefill returns the time in which an amount accumulates at a rate, between
// 1 ms and maxRetryAfter.
func timeToRefill(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, max(time.Millisecond, time.Duration(amount/rate*float64(time.Second))))
}

// setShare changes the usable share. The level of a bucket above its new
// capacity is dropped, so that it is not used twice when a part of the share
// moves to another holder.
func (a *account) setShare(now time.Time, share perResource[int64], burst time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyChange(now, burst, func() { a.share = share })
}

func (a *account) setLimit(now time.Time, limit Limit, burst time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyChange(now, burst, func() { a.limit = limit })
}

// applyChange refills the buckets at the old rate, applies a change of the share
// or the limit, and cuts the buckets to their new capacity. The caller holds mu.
func (a *account) applyChange(now time.Time, burst time.Duration, apply func()) {
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

// measure ends one measurement period, updates the smoothed demand, and returns
// the needs.
func (a *account) measure(now time.Time, holders int, burst time.Duration) perResource[need] {
	a.mu.Lock()
	defer a.mu.Unlock()
	var needs perResource[need]
	limits, passed := a.limit.rates(), now.Sub(a.measuredAt).Seconds()
	weight := smoothing
	expected := max(1, a.demand[requests]*passed)
	if math.Abs(a.offered[requests]-expected) > changedDeviations*math.Sqrt(expected) {
		weight = changedSmoothing
	}
	if a.offered[requests] > 0 {
		a.idlePeriods = 0
	} else if a.idlePeriods++; a.idlePeriods >= idlePeriodsThreshold && (expected > idleMinArrivals || a.idlePeriods > idlePeriodsThreshold) {
		weight = idleSmoothing
	}
	for r := range resources {
		latest := a.demand[r]
		if passed > 0 {
			latest = a.offered[r] / passed
		}
		switch {
		case !a.demandKnown && a.offered[r] == 0:
			a.demand[r] = limits[r] * initialDemandPercent / 100 / float64(max(1, holders))
		case !a.demandKnown:
			a.demand[r] = latest
		default:
			a.demand[r] += weight * (latest - a.demand[r])
		}
		needs[r] = need{floor: floorFor(holders), minStep: minStepFor(holders), random: rand.Float64(), demand: fraction(a.demand[r], limits[r])}
		needs[r].peak = needs[r].demand
		if a.refused {
			needs[r].peak = max(needs[r].peak, fraction(latest, limits[r]))
		}
		// The standard deviation assumes that arrivals are independent of each
		// other.
		arrivals := max(1, a.demand[requests]*burst.Seconds())
		needs[r].noise = int64(float64(needs[r].demand) / math.Sqrt(arrivals))
		needs[r].short = a.refused && needs[r].demand-a.share[r] >= needs[r].surplusStep(a.share[r])
	}
	a.offered = perResource[float64]{}
	a.demandKnown, a.refused, a.measuredAt = true, false, now
	return needs
}

// fraction converts a rate to a fraction of the limit.
func fraction(rate, limit float64) int64 {
	if limit <= 0 {
		return 0
	}
	return int64(min(1, rate/limit) * float64(FullLimit))
}
