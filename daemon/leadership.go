package daemon

import (
	"context"
	"time"

	"github.com/savoryshift/savoryshift/control/system"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/fence"
)

const (
	// controlLeaseName is the name of the lease for orders to engines, rollout
	// steps, the removal of old claims and the return of lost shares. One lease
	// for all of them keeps the number of reads by its candidates low.
	controlLeaseName = "control"
	// controlLeaseDuration is how long the lease is valid after a renewal.
	controlLeaseDuration = 10 * time.Second
	// renewalsPerLease is the number of renewal periods in one lease. After a
	// renewal, it leaves two attempts before the lease expires.
	renewalsPerLease = 3
)

// leadership acquires and renews the control lease. Only delegates are
// candidates: with 320 daemons, reads by all of them would take 5% of the
// platform's capacity.
type leadership struct {
	lease *fence.Lease
	// candidate reports whether this daemon may acquire the lease.
	candidate func() bool
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (l *leadership) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlLeaseDuration / renewalsPerLease)
	defer ticker.Stop()
	for {
		// Errors need no handling: the next tick tries again, and Held reports
		// whether the lease is held.
		if l.lease.Held() {
			_ = l.lease.Renew(ctx)
		} else if l.candidate() {
			_ = l.lease.Acquire(ctx)
		}
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
			defer cancel()
			if l.lease.Held() {
				_ = l.lease.Release(releaseCtx) // on failure the lease expires
			}
			return nil
		case <-ticker.C:
		}
	}
}

// current describes the lease for package control/system.
func (l *leadership) current(now time.Time) system.Lease {
	number, held := l.lease.Number()
	if !held {
		return system.Lease{}
	}
	// SafeAfter is the time until the previous holder's lease has expired and
	// its longest call has ended. When it is 0, PreviousExpires plus
	// PreviousCall must lie in the past, or the wait would never end.
	previousExpires := now.Add(l.lease.SafeAfter() - system.OrderTimeout - time.Millisecond)
	return system.Lease{
		Held:            true,
		Fencing:         number,
		AcquiredAt:      now,
		Expires:         now.Add(l.lease.Remaining()),
		PreviousExpires: previousExpires,
		PreviousCall:    system.OrderTimeout,
	}
}

// leaseClock returns the clock for a lease that this daemon holds, based on c.
// nil selects the default of package fence.
func leaseClock(c evidence.Clock) fence.Clock {
	if c == nil {
		return nil
	}
	start := c.Now()
	return func() time.Duration { return c.Now().Since(start) }
}

// bootClock returns the clock for a lease that another daemon holds: the boot
// clock of c, which is never stepped. nil selects the default of package fence.
func bootClock(c evidence.Clock) fence.Clock {
	if c == nil {
		return nil
	}
	return func() time.Duration { return c.Now().Boot }
}
