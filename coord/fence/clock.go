package fence

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since an arbitrary fixed point.
type Clock func() time.Duration

// SystemClock returns a clock that advances, between two readings, by the larger
// of the advances of CLOCK_BOOTTIME and the wall clock. It does not use Go's
// monotonic clock, because that stops during a suspend. Steps of the wall clock
// can only make a lease appear older than it is, which is safe for its holder.
func SystemClock() Clock {
	var mu sync.Mutex
	var elapsed time.Duration
	boot, wall := BootClock(), time.Now().Round(0)
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		nowBoot, nowWall := BootClock(), time.Now().Round(0)
		elapsed += max(nowBoot-boot, nowWall.Sub(wall), 0)
		boot, wall = nowBoot, nowWall
		return elapsed
	}
}

// BootClock reads CLOCK_BOOTTIME, which is never set and so has no steps.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// With 0 no candidate takes a lease over, and SystemClock advances by
		// the wall clock alone.
		return 0
	}
	return time.Duration(t.Nano())
}
