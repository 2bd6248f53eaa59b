package evidence

import "time"

// Instant is a reading of two clocks, each relative to an arbitrary origin.
// Instants of different processes must not be compared.
type Instant struct {
	// Boot is CLOCK_BOOTTIME, which counts while the VM is suspended.
	Boot time.Duration
	// Wall is the wall clock, which also advances when a hypervisor restores
	// the VM without telling its kernel.
	Wall time.Duration
}

// Since returns the time elapsed after earlier: the larger of the values of the
// two clocks, and at least 0. Setting the wall clock back does not make evidence
// appear younger, because the boot clock still advances.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(0, i.Boot-earlier.Boot, i.Wall-earlier.Wall)
}

// Clock reads the current instant. Implementations are safe for concurrent use.
type Clock interface {
	Now() Instant
}

// SystemClock is the Clock that reads the clocks of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() Instant {
	return Instant{Boot: bootTime(), Wall: time.Duration(time.Now().UnixNano())}
}
