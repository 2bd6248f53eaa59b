package evidence

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns CLOCK_BOOTTIME. Go's own monotonic clock is CLOCK_MONOTONIC,
// which stops during suspend.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock or a bad pointer. Since then
		// relies on the wall clock alone.
		return 0
	}
	return time.Duration(ts.Nano())
}
