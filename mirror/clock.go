package mirror

import (
	"sync"
	"time"
)

// clockWindow is the time for which the best reading of a Clock is kept. The next
// window corrects for drift between the clocks.
const clockWindow = 30 * time.Second

// Clock estimates the store's monotonic clock from its readings. Readings arrive with
// a delay that varies, so the one with the least delay in the last one or two windows
// determines the estimate. It is safe for concurrent use.
type Clock struct {
	mu sync.Mutex
	// offset is the smallest difference between the arrival of a reading and the
	// reading in the current window, previousOffset that of the window before.
	offset, previousOffset time.Duration
	windowEnd              time.Time
	// origin is the time of the first reading; offsets are relative to it.
	origin time.Time
	// era is that of the readings.
	era int64
}

// observeIn records a reading of an era. The clock may begin anew with an era, so that
// earlier readings count no more.
func (c *Clock) observeIn(era int64, reading time.Duration, now time.Time) {
	c.mu.Lock()
	if era > c.era {
		c.era, c.windowEnd = era, time.Time{}
	}
	current := era == c.era
	c.mu.Unlock()
	if current {
		c.Observe(reading, now)
	}
}

// Observe records a reading that arrived at now.
func (c *Clock) Observe(reading time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.origin.IsZero() {
		c.origin = now
	}
	offset := now.Sub(c.origin) - reading
	switch {
	case c.windowEnd.IsZero():
		c.previousOffset, c.offset, c.windowEnd = offset, offset, now.Add(clockWindow)
	case now.After(c.windowEnd):
		c.previousOffset, c.offset, c.windowEnd = c.offset, offset, now.Add(clockWindow)
	default:
		c.offset = min(c.offset, offset)
	}
}

// Now estimates the reading of the store's clock at now; ok is false before the first
// reading.
func (c *Clock) Now(now time.Time) (reading time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.origin) - min(c.offset, c.previousOffset), !c.origin.IsZero()
}
