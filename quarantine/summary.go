package quarantine

import (
	"maps"
	"slices"
	"time"
)

// summary summarises the ends of a part.
type summary struct {
	upstreams map[string]time.Time
	requests  map[Request]bool
	// spaced counts the upstreams, where those that ended within endSpacing after a
	// counted one are left out; first and last are the times of the counted ones.
	spaced      int
	first, last time.Time
}

// collect summarises the ends of upstreams that are not explained.
func collect(ends []*end, explained map[string]bool) summary {
	c := summary{upstreams: map[string]time.Time{}, requests: map[Request]bool{}}
	for _, e := range ends {
		if explained[e.upstream] {
			continue
		}
		c.requests[e.request] = true
		if at, ok := c.upstreams[e.upstream]; !ok || e.at.Before(at) {
			c.upstreams[e.upstream] = e.at
		}
	}
	for _, at := range slices.SortedFunc(maps.Values(c.upstreams), time.Time.Compare) {
		if c.spaced > 0 && at.Sub(c.last) < endSpacing {
			continue
		}
		if c.spaced == 0 {
			c.first = at
		}
		c.spaced, c.last = c.spaced+1, at
	}
	return c
}

// isEnough reports whether early ends are enough to accuse a part, of which an answer was begun
// before or not.
func (c *summary) isEnough(begun bool) bool {
	if begun || c.isBurst() {
		return c.isStrong() && !(begun && c.isBurst())
	}
	return c.spaced >= minUpstreams && len(c.requests) >= minRequests
}

func (c *summary) isBurst() bool { return c.last.Sub(c.first) < burstTime }

func (c *summary) isStrong() bool {
	return c.spaced >= minUpstreamsStrict && len(c.requests) >= minRequests
}

func (c *summary) isClear() bool {
	return c.spaced >= clearUpstreams && len(c.requests) >= clearRequests
}

// isLasting reports whether the ends are enough to accuse a part that explains nearly all ends,
// however long its answers are.
func (c *summary) isLasting(answered bool) bool {
	if answered {
		return c.spaced >= lastingUpstreams && len(c.requests) >= lastingRequests
	}
	length := c.last.Sub(c.first)
	return c.isClear() && length >= seriesTime && length <= time.Duration(len(c.upstreams))*endInterval
}

// explains reports whether the part explains at least a fraction of the ends in its time.
func (c *summary) explains(fraction float64, ends int) bool {
	return float64(len(c.upstreams)) >= fraction*float64(ends)
}
