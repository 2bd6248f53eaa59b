package share

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

const (
	// readInterval is the number of periods between reads of a row while nothing
	// changes.
	readInterval = 5
	// maxCommitAttempts bounds the commits for one organisation in one tick.
	maxCommitAttempts = 2
	// conflictPauseMin and conflictPauseMax bound the backoff after conflicts.
	conflictPauseMin = time.Second
	conflictPauseMax = 8 * time.Second
	// maxWakesPerPeriod bounds the rate of the ticks that refused requests of a
	// daemon without a share can cause.
	maxWakesPerPeriod = 2
	// firstReadSpread is the time per daemon over which the first reads of all
	// daemons are spread.
	firstReadSpread = 10 * time.Millisecond
)

// Stats counts the table calls and the admissions of a Manager since New.
type Stats struct {
	Reads, Writes, Conflicts, Failures int64
	Admitted, Refused                  int64
}

// Manager holds the shares of one daemon and admits requests within them. It is
// safe for concurrent use.
type Manager struct {
	opts     Options
	wake     chan struct{} // signals a refused request without any share; capacity 1
	accounts sync.Map      // organisation -> *account
	tickMu   sync.Mutex    // one tick at a time

	reads, writes, conflicts, failures, admitted, refused atomic.Int64
}

// New returns a Manager without limits. Run must be called for it to get
// shares.
func New(o Options) *Manager {
	return &Manager{opts: o.withDefaults(), wake: make(chan struct{}, 1)}
}

// Stats returns the counters.
func (m *Manager) Stats() Stats {
	return Stats{
		Reads: m.reads.Load(), Writes: m.writes.Load(), Conflicts: m.conflicts.Load(), Failures: m.failures.Load(),
		Admitted: m.admitted.Load(), Refused: m.refused.Load(),
	}
}

// SetLimit sets the limit of an organisation. It takes effect at once, by
// scaling the share of this daemon.
func (m *Manager) SetLimit(organisation string, l Limit) {
	now := m.opts.Now()
	fresh := &account{measuredAt: now}
	for r := range resources {
		fresh.buckets[r].at = now
	}
	found, _ := m.accounts.LoadOrStore(organisation, fresh)
	found.(*account).setLimit(now, l, m.opts.Burst)
}

// Admit admits one request with the expected number of tokens, or returns a
// *LimitedError. Requests of an organisation without a limit are always admitted.
func (m *Manager) Admit(organisation string, expectedTokens int64) error {
	found, limited := m.accounts.Load(organisation)
	if !limited {
		return nil
	}
	a := found.(*account)
	wait, ok := a.admit(m.opts.Now(), perResource[float64]{1, float64(expectedTokens)}, m.opts.Burst)
	if ok {
		m.admitted.Add(1)
		return nil
	}
	m.refused.Add(1)
	if a.currentShare() == (perResource[int64]{}) {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	return &LimitedError{Organisation: organisation, RetryAfter: wait}
}

// Correct adds the difference between the tokens that a request used and the
// number given to Admit.
func (m *Manager) Correct(organisation string, difference int64) {
	found, limited := m.accounts.Load(organisation)
	if !limited {
		return
	}
	a := found.(*account)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.offered[tokens] += float64(difference)
	a.buckets[tokens].level -= float64(difference)
}

// Share returns the fractions of the limits that this daemon may use at present.
func (m *Manager) Share(organisation string) (ofRequests, ofTokens int64) {
	found, limited := m.accounts.Load(organisation)
	if !limited {
		return FullLimit, FullLimit
	}
	s := found.(*account).currentShare()
	return s[requests], s[tokens]
}

// Run adjusts the shares to the demand until ctx ends. Call Close afterwards.
func (m *Manager) Run(ctx context.Context) error {
	// The jitter keeps the daemons from writing a row at the same moment, also
	// when all of them start together.
	wait := rand.N(firstReadSpread * time.Duration(max(1, m.opts.Holders())))
	last := m.opts.Now().Add(wait)
	for {
		timer := time.NewTimer(wait)
		wait = m.opts.Period/2 + rand.N(m.opts.Period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-m.wake:
			timer.Stop()
			if m.opts.Now().Sub(last) < m.opts.Period/maxWakesPerPeriod {
				continue
			}
		case <-timer.C:
		}
		m.tick(ctx)
		last = m.opts.Now()
	}
}

// tick measures the demand of every organisation, and changes the shares for
// which a change is worth a write.
func (m *Manager) tick(ctx context.Context) {
	m.tickMu.Lock()
	defer m.tickMu.Unlock()
	var due []*account
	var keys []string
	m.accounts.Range(func(key, value any) bool {
		a := value.(*account)
		a.needs = a.measure(m.opts.Now(), m.opts.Holders(), m.opts.Burst)
		if a.due(m.opts.Now()) {
			due, keys = append(due, a), append(keys, rowPrefix+key.(string))
		}
		return true
	})
	if len(due) == 0 {
		return
	}
	m.reads.Add(1)
	rows, err := m.opts.Table.Get(ctx, keys...)
	if err != nil {
		m.failures.Add(1)
		return
	}
	for i, a := range due {
		m.adjust(ctx, a, rows[i])
	}
}

// due reports whether the row is to be read: in every readInterval-th tick, or
// earlier when the share is below the demand. Early reads that lead to no write
// become rarer.
func (a *account) due(now time.Time) bool {
	if now.Before(a.noReadBefore) {
		return false
	}
	a.ticksToRead--
	if a.ticksToRead <= 0 {
		return true
	}
	share := a.currentShare()
	for r := range resources {
		if a.needs[r].peak >= share[r] && a.ticksToRead <= readInterval-a.readBackoff {
			return true
		}
	}
	return false
}

// adjust changes the share of this daemon in a row that was just read.
func (m *Manager) adjust(ctx context.Context, a *account, row store.Row) {
	a.ticksToRead, a.readBackoff = readInterval, min(readInterval, max(1, 2*a.readBackoff))
	for range maxCommitAttempts {
		current, err := decodeGrants(row)
		if err != nil {
			m.failures.Add(1)
			return
		}
		m.reconcile(a, row.Version, current)
		next, changed := m.plan(current, a)
		if !changed {
			return
		}
		a.readBackoff = 0
		conflict := m.commit(ctx, a, row, next)
		if conflict == nil {
			a.conflictPause = 0
			return
		}
		row = conflict.Current
	}
	// All attempts met conflicts, so many daemons are writing this row.
	a.conflictPause = min(conflictPauseMax, max(conflictPauseMin, 2*a.conflictPause))
	a.noReadBefore = m.opts.Now().Add(rand.N(a.conflictPause))
	a.ticksToRead = 0
}

// reconcile sets the usable share to what the row is certain to grant. An
// in-doubt write can still lower the grant while the row has the version that
// the write expects.
func (m *Manager) reconcile(a *account, version int64, g grants) {
	granted := g[m.opts.holder()].share
	if a.inDoubt != nil && a.inDoubt.version == version {
		for r := range resources {
			granted[r] = min(granted[r], a.inDoubt.share[r])
		}
	} else {
		a.inDoubt = nil
	}
	a.setShare(m.opts.Now(), granted, m.opts.Burst)
}

// plan returns the grants with the share and the want of this daemon that meet
// its needs, and whether the row must be written. After an in-doubt write it must
// be, because any write that succeeds at the same version rules the in-doubt one
// out.
func (m *Manager) plan(g grants, a *account) (grants, bool) {
	self := m.opts.holder()
	before, existed := g[self]
	changed := a.inDoubt != nil
	own := before
	if m.opts.AdoptEarlier {
		freed, found := g.removeVM(m.opts.VM, self)
		changed = changed || found
		for r := range resources {
			own.share[r] += freed[r]
		}
	}
	g[self] = own
	for r := range resources {
		own.share[r], own.want[r] = decideShare(g, self, r, a.needs[r])
	}
	g[self] = own
	return g, changed || !existed || own != before
}

// commit writes the row. The usable share is lowered before the write and raised
// only after the write is confirmed. After a conflict it returns the conflict, so
// that the caller can try again.
func (m *Manager) commit(ctx context.Context, a *account, row store.Row, next grants) *store.ConflictError {
	value, err := next.encode()
	if err != nil {
		m.failures.Add(1)
		return nil
	}
	granted, usable := next[m.opts.holder()].share, a.currentShare()
	for r := range resources {
		usable[r] = min(usable[r], granted[r])
	}
	a.setShare(m.opts.Now(), usable, m.opts.Burst)
	m.writes.Add(1)
	err = m.opts.Table.Commit(ctx, []store.Op{{Key: row.Key, Expect: row.Version, Value: value}})
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	switch {
	case err == nil:
		a.inDoubt = nil
		a.setShare(m.opts.Now(), granted, m.opts.Burst)
	case isConflict:
		m.conflicts.Add(1)
		return conflict
	case errors.Is(err, store.ErrUnavailable):
		m.failures.Add(1)
		a.ticksToRead = 1
	default:
		m.failures.Add(1)
		a.ticksToRead = 1
		// The usable share is at most that of an earlier in-doubt write.
		a.inDoubt = &inDoubtWrite{version: row.Version, share: usable}
	}
	return nil
}

// Close gives all shares back. Requests of organisations with a limit are refused
// from then on.
func (m *Manager) Close(ctx context.Context) error {
	m.tickMu.Lock()
	defer m.tickMu.Unlock()
	var failed error
	m.accounts.Range(func(key, value any) bool {
		value.(*account).setShare(m.opts.Now(), perResource[int64]{}, m.opts.Burst)
		err := m.giveBack(ctx, rowPrefix+key.(string))
		failed = cmp.Or(failed, err)
		return true
	})
	return failed
}

// giveBack removes the share of this daemon from one row.
func (m *Manager) giveBack(ctx context.Context, key string) error {
	m.reads.Add(1)
	rows, err := m.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = m.removeFrom(ctx, rows[0], func(holder string) bool { return holder == m.opts.holder() })
	return err
}
