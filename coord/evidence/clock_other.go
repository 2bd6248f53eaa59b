//go:build !linux

package evidence

import "time"

var origin = time.Now()

// bootTime returns the progress of Go's monotonic clock, which may stop during
// suspend on this platform.
func bootTime() time.Duration { return time.Since(origin) }
