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
	// readEvery is the number of periods between reads while nothing changes.
	readEvery = 5
	// commitTries bounds the commits for one organisation in one period.
	commitTries = 2
	// conflictPauseMin and conflictPauseMax bound the pause after conflicts.
	conflictPauseMin = time.Second
	conflictPauseMax = 8 * time.Second
	// wakesPerPeriod bounds the extra ticks of a daemon without a share.
	wakesPerPeriod = 2
	// startSpread is the time per daemon over which first reads are spread.
	startSpread = 10 * time.Millisecond
)

// Stats counts the table calls of a Manager since New.
type Stats struct {
	Reads, Writes, Conflicts, Failures int64
	Admitted, Refused                  int64
}

// Manager holds the shares of one daemon. It is safe for concurrent use.
type Manager struct {
	o        Options
	wake     chan struct{} // capacity 1; a daemon without a share needs one
	accounts sync.Map      // organisation -> *account
	ticks    sync.Mutex    // one tick at a time

	reads, writes, conflicts, failures, admitted, refused atomic.Int64
}

// New returns a Manager without limits. Run must be called for it to get
// shares.
func New(o Options) *Manager {
	return &Manager{o: o.withDefaults(), wake: make(chan struct{}, 1)}
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
	now := m.o.Now()
	fresh := &account{since: now}
	for r := range resources {
		fresh.buckets[r].at = now
	}
	found, _ := m.accounts.LoadOrStore(organisation, fresh)
	found.(*account).setLimit(now, l, m.o.Burst)
}

// Admit admits one request with the expected number of tokens. An organisation
// without a limit is always admitted. The error is a *LimitedError.
func (m *Manager) Admit(organisation string, expectedTokens int64) error {
	found, limited := m.accounts.Load(organisation)
	if !limited {
		return nil
	}
	a := found.(*account)
	wait, ok := a.admit(m.o.Now(), perResource[float64]{1, float64(expectedTokens)}, m.o.Burst)
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

// Share returns the fractions of the limits that this daemon may use now.
func (m *Manager) Share(organisation string) (ofRequests, ofTokens int64) {
	found, limited := m.accounts.Load(organisation)
	if !limited {
		return Whole, Whole
	}
	s := found.(*account).currentShare()
	return s[requests], s[tokens]
}

// Run adjusts the shares to the demand until ctx ends. Call Close afterwards.
func (m *Manager) Run(ctx context.Context) error {
	// The jitter keeps the daemons from writing a row at the same moment, also
	// when all of them start together.
	wait := rand.N(startSpread * time.Duration(max(1, m.o.Holders())))
	last := m.o.Now().Add(wait)
	for {
		timer := time.NewTimer(wait)
		wait = m.o.Period/2 + rand.N(m.o.Period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-m.wake:
			timer.Stop()
			if m.o.Now().Sub(last) < m.o.Period/wakesPerPeriod {
				continue
			}
		case <-timer.C:
		}
		m.tick(ctx)
		last = m.o.Now()
	}
}

// tick measures the demand of every organisation and changes the shares for
// which this is worth a write.
func (m *Manager) tick(ctx context.Context) {
	m.ticks.Lock()
	defer m.ticks.Unlock()
	var due []*account
	var keys []string
	m.accounts.Range(func(key, value any) bool {
		a := value.(*account)
		a.needs = a.measure(m.o.Now(), m.o.Holders(), m.o.Burst)
		if a.due(m.o.Now()) {
			due, keys = append(due, a), append(keys, rowPrefix+key.(string))
		}
		return true
	})
	if len(due) == 0 {
		return
	}
	m.reads.Add(1)
	rows, err := m.o.Table.Get(ctx, keys...)
	if err != nil {
		m.failures.Add(1)
		return
	}
	for i, a := range due {
		m.adjust(ctx, a, rows[i])
	}
}

// due reports whether the row is worth a read: in every readEvery-th period, or
// earlier when the share is too small. Reads without a result become rarer.
func (a *account) due(now time.Time) bool {
	if now.Before(a.notBefore) {
		return false
	}
	a.skip--
	if a.skip <= 0 {
		return true
	}
	share := a.currentShare()
	for r := range resources {
		if a.needs[r].peak >= share[r] && a.skip <= readEvery-a.backoff {
			return true
		}
	}
	return false
}

// adjust changes the own part of a row that was just read.
func (m *Manager) adjust(ctx context.Context, a *account, row store.Row) {
	a.skip, a.backoff = readEvery, min(readEvery, max(1, 2*a.backoff))
	for range commitTries {
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
		a.backoff = 0
		conflict := m.commit(ctx, a, row, next)
		if conflict == nil {
			a.pause = 0
			return
		}
		row = conflict.Current
	}
	// Many daemons write this row now.
	a.pause = min(conflictPauseMax, max(conflictPauseMin, 2*a.pause))
	a.notBefore = m.o.Now().Add(rand.N(a.pause))
	a.skip = 0
}

// reconcile sets the usable share to what the row grants for certain. A write
// with an unknown outcome can lower the grant as long as the row has the
// version that the write expects.
func (m *Manager) reconcile(a *account, version int64, g grants) {
	granted := g[m.o.holder()].share
	if a.open != nil && a.open.version == version {
		for r := range resources {
			granted[r] = min(granted[r], a.open.share[r])
		}
	} else {
		a.open = nil
	}
	a.setShare(m.o.Now(), granted, m.o.Burst)
}

// plan returns the row with the own part that suits the needs, and whether it
// differs from the current one. An open write is settled by any write at its
// version.
func (m *Manager) plan(g grants, a *account) (grants, bool) {
	self := m.o.holder()
	before, existed := g[self]
	changed := a.open != nil
	mine := before
	if m.o.AdoptEarlier {
		freed, found := g.remove(m.o.VM, self)
		changed = changed || found
		for r := range resources {
			mine.share[r] += freed[r]
		}
	}
	g[self] = mine
	for r := range resources {
		mine.share[r], mine.want[r] = decide(g, self, r, a.needs[r])
	}
	g[self] = mine
	return g, changed || !existed || mine != before
}

// commit writes the row. The usable share is lowered before the write and
// raised only after it is confirmed. It returns a conflict to be tried again.
func (m *Manager) commit(ctx context.Context, a *account, row store.Row, next grants) *store.ConflictError {
	value, err := next.encode()
	if err != nil {
		m.failures.Add(1)
		return nil
	}
	granted, usable := next[m.o.holder()].share, a.currentShare()
	for r := range resources {
		usable[r] = min(usable[r], granted[r])
	}
	a.setShare(m.o.Now(), usable, m.o.Burst)
	m.writes.Add(1)
	err = m.o.Table.Commit(ctx, []store.Op{{Key: row.Key, Expect: row.Version, Value: value}})
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	switch {
	case err == nil:
		a.open = nil
		a.setShare(m.o.Now(), granted, m.o.Burst)
	case isConflict:
		m.conflicts.Add(1)
		return conflict
	case errors.Is(err, store.ErrUnavailable):
		m.failures.Add(1)
		a.skip = 1
	default:
		m.failures.Add(1)
		a.skip = 1
		// The usable share is at most that of an earlier open write.
		a.open = &openWrite{version: row.Version, share: usable}
	}
	return nil
}

// Close gives all shares back. Requests are refused from then on.
func (m *Manager) Close(ctx context.Context) error {
	m.ticks.Lock()
	defer m.ticks.Unlock()
	var failed error
	m.accounts.Range(func(key, value any) bool {
		value.(*account).setShare(m.o.Now(), perResource[int64]{}, m.o.Burst)
		err := m.leave(ctx, rowPrefix+key.(string))
		failed = cmp.Or(failed, err)
		return true
	})
	return failed
}

// leave removes the own part of one row.
func (m *Manager) leave(ctx context.Context, key string) error {
	m.reads.Add(1)
	rows, err := m.o.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = m.removeFrom(ctx, rows[0], func(holder string) bool { return holder == m.o.holder() })
	return err
}
