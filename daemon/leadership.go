package daemon

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/fence"
)

const (
	// controlLease names the lease for orders to engines, roll-out steps and
	// the removal of old claims. One lease for all three keeps the reads of the
	// candidates low.
	controlLease = "control"
	// controlLeaseTime is how long one renewal counts.
	controlLeaseTime = 10 * time.Second
	// renewalsPerLease leaves two tries before the lease lapses.
	renewalsPerLease = 3
)

// leadership holds the control lease when this daemon has it. Only delegates
// are candidates: at 320 daemons, reads by all of them would take a twentieth
// of the platform's capacity.
type leadership struct {
	lease     *fence.Lease
	candidate func() bool
}

// Run acquires and renews the lease until ctx ends, and then gives it back.
func (l *leadership) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlLeaseTime / renewalsPerLease)
	defer ticker.Stop()
	for {
		// Errors are not final: the next tick tries again, and Held tells.
		if l.lease.Held() {
			_ = l.lease.Renew(ctx)
		} else if l.candidate() {
			_ = l.lease.Acquire(ctx)
		}
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
			defer cancel()
			if l.lease.Held() {
				_ = l.lease.Release(last) // it lapses otherwise
			}
			return nil
		case <-ticker.C:
		}
	}
}

// current describes the lease to the systems.
func (l *leadership) current(now time.Time) system.Lease {
	number, held := l.lease.Number()
	if !held {
		return system.Lease{}
	}
	// SafeAfter covers the earlier holder's lease and its longest call. When it
	// is 0, the moment must lie in the past, or the wait would never end.
	earlier := now.Add(l.lease.SafeAfter() - system.OrderTimeout - time.Millisecond)
	return system.Lease{
		Held:            true,
		Fencing:         number,
		AcquiredAt:      now,
		Expires:         now.Add(l.lease.Remaining()),
		PreviousExpires: earlier,
		PreviousCall:    system.OrderTimeout,
	}
}

// leaseClock measures the own lease by c; nil means the default of package
// fence.
func leaseClock(c evidence.Clock) fence.Clock {
	if c == nil {
		return nil
	}
	start := c.Now()
	return func() time.Duration { return c.Now().Since(start) }
}

// bootClock measures the lease of another holder by the boot clock of c, which
// has no steps; nil means the default of package fence.
func bootClock(c evidence.Clock) fence.Clock {
	if c == nil {
		return nil
	}
	return func() time.Duration { return c.Now().Boot }
}
