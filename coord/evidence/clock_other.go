//go:build !linux

package evidence

import "time"

var origin = time.Now()

// bootTime returns the time elapsed on Go's monotonic clock since the process
// started. On this platform the clock may stop during suspend.
func bootTime() time.Duration { return time.Since(origin) }
