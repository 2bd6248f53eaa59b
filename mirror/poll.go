package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultWait is half of the time for which the store keeps its history, so that
	// the next call can resume from the known revision.
	defaultWait = 10 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call. The upper
	// bound is well below the time within which a configuration must take effect.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// staleBackoff is the pause after an answer that is older than the copy.
	staleBackoff = 200 * time.Millisecond
	// passivePollInterval is the interval at which a passive mirror calls
	// Options.Passive again.
	passivePollInterval = 100 * time.Millisecond
	// minCallInterval is the least time between two calls of which the first brought
	// nothing new.
	minCallInterval = 100 * time.Millisecond
	// minPatience and maxPatience bound Mirror.patience. The lower bound exceeds the
	// time that a slow store takes for an answer. The upper one allows for a store
	// that is slower still, and is short enough for a VM to catch up within 3 s once it
	// reaches the store again.
	minPatience = 400 * time.Millisecond
	maxPatience = 1200 * time.Millisecond
	// recheckInterval is about the interval at which a passive mirror that has lost the
	// store calls it again.
	recheckInterval = 5 * time.Second
)

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := m.poll(ctx)
		if err == nil {
			backoff, m.patience = minBackoff, minPatience
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.DeadlineExceeded) {
			m.patience = min(maxPatience, 2*m.patience)
		}
		m.recordFailure(err)
		m.pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, 2*backoff)
	}
}

// pause waits after a failed call. It ends early when another mirror has regained the
// store, and when peers read it for this VM again. While another mirror of this VM calls
// the lost store, this one rarely does.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	began := time.Now()
	if !m.options.Reach.claimCalls(m, began) {
		d = max(d, recheckInterval)
	}
	for ctx.Err() == nil && !m.options.Reach.regainedSince(began) {
		elapsed := time.Since(began)
		left := m.spread(d) - elapsed
		if left <= 0 || m.isPassive() && !m.isOld(time.Now()) {
			return
		}
		sleep(ctx, min(left, passivePollInterval))
	}
}

// spread extends the pause after a failed call, so that the VMs that have lost the store
// together make no more calls than a few would.
func (m *Mirror) spread(pause time.Duration) time.Duration {
	if m.options.SharedBy == nil {
		return pause
	}
	return time.Duration(float64(pause) * max(1, m.options.SharedBy()))
}

// isOld reports whether peers no longer confirm the copy.
func (m *Mirror) isOld(now time.Time) bool {
	return m.options.MaxAge > 0 && m.Age(now) >= m.options.MaxAge
}

// isPassive reports whether peers read the store for this VM.
func (m *Mirror) isPassive() bool { return m.options.Passive != nil && m.options.Passive() }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// poll reads the table or its next changes and applies them. A passive mirror whose
// copy is recent waits instead.
func (m *Mirror) poll(ctx context.Context) error {
	m.mu.Lock()
	loaded, era, after := m.loaded, m.era, m.revision
	m.mu.Unlock()
	if !loaded {
		return m.reload(ctx)
	}
	wait, call := m.nextWait(time.Now())
	if !call {
		sleep(ctx, passivePollInterval)
		return nil
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+m.patience)
	defer cancel()
	page, err := m.options.Table.Follow(callCtx, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		m.options.Log.Info("history of the store is gone", zap.String("table", m.options.Name), zap.Int64("revision", after))
		err = m.reload(ctx)
		sleep(ctx, minCallInterval-time.Since(start))
		return err
	}
	if err != nil {
		return err
	}
	if page.Era > era {
		// The changes are those of another history.
		err = m.reload(ctx)
		sleep(ctx, minCallInterval-time.Since(start))
		return err
	}
	m.recordAnswer(page)
	m.apply(page, false, StoreFeed)
	if len(page.Rows) > 0 && page.Revision > after {
		sleep(ctx, m.options.BatchDelay)
	} else {
		// The next call may be due at once if the store does not wait for changes or its
		// clock does not advance.
		sleep(ctx, minCallInterval-time.Since(start))
	}
	return nil
}

// nextWait returns the time for which the next Follow call waits for changes, and
// whether a call is due. A passive mirror asks without waiting, because it only needs
// to know whether its copy is current.
func (m *Mirror) nextWait(now time.Time) (wait time.Duration, call bool) {
	if m.isPassive() {
		return 0, m.isOld(now) || m.recheckDue(now)
	}
	if m.options.MaxAge == 0 {
		return m.options.Wait, true
	}
	return max(0, m.options.Wait-m.Age(now)), true
}

// recheckDue reports whether a passive mirror that has lost the store is to call it again.
// Without an answer this VM would not read the store for others.
func (m *Mirror) recheckDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lostSince.IsZero() || now.Before(m.recheckAt) && !m.options.Reach.regainedSince(m.lostSince) {
		return false
	}
	due := !m.recheckAt.IsZero()
	m.recheckAt = now.Add(rand.N(recheckInterval))
	return due
}

// reload reads the whole table and applies it.
func (m *Mirror) reload(ctx context.Context) error {
	var all Page
	from := ""
	for {
		page, err := m.read(ctx, from)
		if err != nil {
			return err
		}
		if from != "" && page.Era != all.Era {
			return errEraChanged
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.Skipped += page.Skipped
		if from == "" {
			// Rows of later pages may be newer than this revision. Follow returns
			// their changes again.
			all.Revision, all.Era, all.Clock = page.Revision, page.Era, page.Clock
		}
		if !page.Partial {
			break
		}
		next := page.next()
		if next <= from {
			return errNoNextPage
		}
		from = next
	}
	m.recordAnswer(all)
	if !m.apply(all, true, StoreRead) {
		sleep(ctx, staleBackoff)
	}
	return nil
}

// errNoNextPage means that further rows follow those of a page, but that the page does
// not tell from which key on.
var errNoNextPage = errors.New("the page has no key after which the next one begins")

// errEraChanged means that the store was restored while the pages of a table were read.
var errEraChanged = errors.New("the store was restored between two pages")

// next returns the key from which the next page is read, empty if it is not known.
func (p *Page) next() string {
	if len(p.Rows) == 0 {
		return ""
	}
	return p.Rows[len(p.Rows)-1].Key + "\x00"
}

// read reads one page of the table.
func (m *Mirror) read(ctx context.Context, from string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, m.patience)
	defer cancel()
	return m.options.Table.Read(ctx, from)
}

// recordAnswer records that the store answered, and the reading of its clock. It logs
// the rows that the answer lacks.
func (m *Mirror) recordAnswer(page Page) {
	now := time.Now()
	m.options.Clock.observeIn(page.Era, page.Clock, now)
	if page.Skipped > 0 {
		m.options.Log.Warn("rows skipped", zap.String("table", m.options.Name), zap.Int("rows", page.Skipped), zap.Int64("revision", page.Revision))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lostSince.IsZero() {
		m.options.Log.Info("store regained", zap.String("table", m.options.Name), zap.Duration("away", now.Sub(m.lostSince)), zap.Int64("revision", page.Revision))
		m.lostSince, m.recheckAt = time.Time{}, time.Time{}
		m.options.Reach.regain(now)
	}
}

// recordFailure records a failed call to the store.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lostSince.IsZero() {
		m.lostSince = time.Now()
		m.options.Log.Warn("store lost", zap.String("table", m.options.Name), zap.Int64("revision", m.revision), zap.Error(err))
	}
}

// Lost reports whether the last call to the store failed, and the time of the
// first failure since its last answer.
func (m *Mirror) Lost() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostSince, !m.lostSince.IsZero()
}
