package gateway

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// keptDurations is the number of requests of a route whose durations are kept.
	keptDurations = 128
	// minDurations is the number of requests from which their durations alone say how long
	// the next one may take.
	minDurations = 32
	// upperQuantile is the quantile of the durations that the upper estimate starts from,
	// and upperFactor the factor that is put on it. A request that outlasts the estimate
	// may be repeated elsewhere, like one that is refused because of it.
	upperQuantile = 0.9
	upperFactor   = 1.1
)

// durations holds the durations of the last requests of a route.
type durations struct {
	values [keptDurations]time.Duration
	// count is the number of requests so far; the next one replaces the oldest value.
	count int
}

func (d *durations) add(took time.Duration) {
	d.values[d.count%keptDurations] = took
	d.count++
}

// upper returns an upper estimate of the duration of a request. In place of requests that
// have not been seen yet, some are taken to last for assumed. It is 0 if assumed is, and
// few have been seen.
func (d *durations) upper(assumed time.Duration) time.Duration {
	kept := slices.Clone(d.values[:min(d.count, keptDurations)])
	if assumed <= 0 && len(kept) < minDurations {
		return 0
	}
	for len(kept) < minDurations {
		kept = append(kept, assumed)
	}
	slices.Sort(kept)
	return time.Duration(upperFactor * float64(kept[int(math.Round(upperQuantile*float64(len(kept)-1)))]))
}

// routeDurations holds the durations of the last requests of each route. It is safe for
// concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*durations
}

// add records how long a request of a route took.
func (r *routeDurations) add(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.byRoute[route]
	if d == nil {
		d = &durations{}
		r.byRoute[route] = d
	}
	d.add(took)
}

// upper returns an upper estimate of the duration of a request of a route; see
// durations.upper.
func (r *routeDurations) upper(route string, assumed time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.byRoute[route]; d != nil {
		return d.upper(assumed)
	}
	return (&durations{}).upper(assumed)
}

// keep forgets the routes for which exists returns false.
func (r *routeDurations) keep(exists func(route string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for route := range r.byRoute {
		if !exists(route) {
			delete(r.byRoute, route)
		}
	}
}
