package fence

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point.
type Clock func() time.Duration

// SystemClock returns a clock that advances by the larger of CLOCK_BOOTTIME
// and the wall clock. Go's monotonic clock stops during a suspend. Steps of the
// wall clock can only make a lease seem older than it is, which is safe for its
// holder.
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

// BootClock reads CLOCK_BOOTTIME, which has no steps.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // no candidate takes over, and SystemClock has the wall clock
	}
	return time.Duration(t.Nano())
}
