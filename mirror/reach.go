package mirror

import (
	"sync"
	"time"
)

// Reach is what the mirrors of one VM know together of the store that they have lost. It
// is safe for concurrent use.
type Reach struct {
	mu         sync.Mutex
	regainedAt time.Time
	// caller is the mirror that calls the lost store for all, and calledAt the time of its
	// last call.
	caller   *Mirror
	calledAt time.Time
}

// callerLifetime is the time after its last failed call from which another mirror may
// replace the one that calls the lost store.
const callerLifetime = 2 * recheckInterval

// claimCalls reports whether a mirror whose call has failed is the one that calls the lost
// store for all.
func (r *Reach) claimCalls(m *Mirror, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.caller == nil || now.Sub(r.calledAt) > callerLifetime {
		r.caller = m
	}
	if r.caller != m {
		return false
	}
	r.calledAt = now
	return true
}

// regain records that a mirror has regained the store.
func (r *Reach) regain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regainedAt, r.caller = now, nil
}

// regainedSince reports whether a mirror has regained the store at a time or later.
func (r *Reach) regainedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.regainedAt.Before(t)
}
