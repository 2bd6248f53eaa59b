package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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
	// maxTombstones bounds the tombstones that are kept for peers.
	maxTombstones = 1000
	// passivePollInterval is the interval at which a passive mirror calls
	// Options.Passive again.
	passivePollInterval = 100 * time.Millisecond
	// maxLoggedKeys bounds the keys in the log line of a change.
	maxLoggedKeys = 5
)

// ErrHistoryGone means that the store no longer has the changes after the given
// revision, so that the whole table must be read.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// Row is one row of a table. Revision is the store revision of the transaction that
// wrote or deleted it.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Page is the result of a Read or Follow: rows as of a revision.
type Page struct {
	Rows     []Row
	Revision int64
	// Clock is the reading of the store's monotonic clock.
	Clock time.Duration
	// Partial is set if further rows follow the last one.
	Partial bool
}

// Table reads one table of the store.
type Table interface {
	// Read returns the rows from a key on, as of one revision.
	Read(ctx context.Context, from string) (Page, error)
	// Follow returns the rows that changed after a revision. If there are none, it
	// waits for the first one for at most the given time.
	Follow(ctx context.Context, after int64, wait time.Duration) (Page, error)
}

// Copy is the content of a table as of a revision. It is immutable.
type Copy struct {
	Rows     map[string]Row
	Revision int64
}

// Source is where a change of the copy came from.
type Source string

// Sources.
const (
	StoreRead Source = "store read"
	StoreFeed Source = "store feed"
	Peer      Source = "peer"
)

// Change is a change of the copy.
type Change struct {
	Copy
	Source Source
	// At is the time of the change by the clock of this process. ConfirmedAt is the
	// last time at which the previous copy was known to be current: the rows changed
	// between ConfirmedAt and At. It equals At for the first copy.
	At, ConfirmedAt time.Time
}

// Options configures a Mirror.
type Options struct {
	Name  string
	Table Table
	// Changed is called after each change of the copy, by one goroutine at a time.
	Changed func(c Change)
	// Wait is the time for which one Follow call waits for changes, 10 s by default.
	// If the answer of a call is lost, the copy is not updated for that long.
	Wait time.Duration
	// BatchDelay is the pause after a change before the next Follow call, so that
	// changes in quick succession need one call.
	BatchDelay time.Duration
	// Passive reports whether peers read the store for this VM; it may be nil.
	Passive func() bool
	Log     *zap.Logger
}

// Mirror keeps a copy of one table up to date. It is safe for concurrent use.
type Mirror struct {
	options Options

	mu       sync.Mutex
	rows     map[string]Row
	revision int64
	loaded   bool
	// tombstones maps the keys of deleted rows to the revision of the deletion. It
	// is complete for deletions after tombstoneFloor.
	tombstones     map[string]int64
	tombstoneFloor int64
	// lastAnswerAt is the time of the last answer of the store. lostSince is the time
	// of the first failure after it, zero while the store answers.
	lastAnswerAt time.Time
	lostSince    time.Time
	// storeClock is the last reading of the store's clock, received at
	// storeClockReadAt by the clock of this process.
	storeClock       time.Duration
	storeClockReadAt time.Time

	// applyMu serialises changes of the copy and the calls of Options.Changed.
	applyMu sync.Mutex
}

// New returns a Mirror without content.
func New(options Options) *Mirror {
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	return &Mirror{options: options, rows: map[string]Row{}, tombstones: map[string]int64{}}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := m.poll(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.recordFailure(err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, 2*backoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// poll reads the table or its next changes and applies them. A passive mirror that
// is loaded waits instead.
func (m *Mirror) poll(ctx context.Context) error {
	m.mu.Lock()
	loaded, after := m.loaded, m.revision
	m.mu.Unlock()
	if !loaded {
		return m.reload(ctx)
	}
	if m.options.Passive != nil && m.options.Passive() {
		sleep(ctx, passivePollInterval)
		return nil
	}
	page, err := m.options.Table.Follow(ctx, after, m.options.Wait)
	if errors.Is(err, ErrHistoryGone) {
		m.options.Log.Info("history of the store is gone", zap.String("table", m.options.Name), zap.Int64("revision", after))
		return m.reload(ctx)
	}
	if err != nil {
		return err
	}
	confirmedAt := m.recordAnswer(page)
	m.apply(page, false, StoreFeed, confirmedAt)
	if len(page.Rows) > 0 && m.options.BatchDelay > 0 {
		sleep(ctx, m.options.BatchDelay)
	}
	return nil
}

// reload reads the whole table and applies it.
func (m *Mirror) reload(ctx context.Context) error {
	var all Page
	from := ""
	for {
		page, err := m.options.Table.Read(ctx, from)
		if err != nil {
			return err
		}
		all.Rows = append(all.Rows, page.Rows...)
		if from == "" {
			// Rows of later pages may be newer than this revision. Follow returns
			// their changes again.
			all.Revision, all.Clock = page.Revision, page.Clock
		}
		if !page.Partial || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	confirmedAt := m.recordAnswer(all)
	if !m.apply(all, true, StoreRead, confirmedAt) {
		sleep(ctx, staleBackoff)
	}
	return nil
}

// apply merges a page into the copy and calls Options.Changed if the copy changed.
// If whole is set, rows that the page lacks are removed. confirmedAt is the last time
// at which the copy was known to be current, zero if there was none. apply returns
// false for a page that is older than the copy.
func (m *Mirror) apply(page Page, whole bool, source Source, confirmedAt time.Time) bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	c, changed, ok := m.merge(page, whole)
	if !changed {
		return ok
	}
	now := time.Now()
	if confirmedAt.IsZero() {
		confirmedAt = now
	}
	m.options.Log.Info("table changed", zap.String("table", m.options.Name), zap.String("source", string(source)), zap.Int64("revision", c.Revision),
		zap.Strings("keys", changedKeys(page)), zap.Duration("unconfirmed", now.Sub(confirmedAt)))
	if m.options.Changed != nil {
		m.options.Changed(Change{Copy: c, Source: source, At: now, ConfirmedAt: confirmedAt})
	}
	return ok
}

// changedKeys returns up to maxLoggedKeys keys of the rows of a page, newest first.
func changedKeys(page Page) []string {
	rows := slices.Clone(page.Rows)
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(b.Revision, a.Revision) })
	keys := make([]string, 0, maxLoggedKeys)
	for _, r := range rows[:min(maxLoggedKeys, len(rows))] {
		keys = append(keys, r.Key)
	}
	return keys
}

// merge applies a page to a new copy of the rows. It returns the copy, whether it
// differs from the previous one, and false if the page is older than the copy.
func (m *Mirror) merge(page Page, whole bool) (Copy, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Revision < m.revision {
		return Copy{}, false, false
	}
	changed := whole && !m.loaded
	rows := maps.Clone(m.rows)
	seen := map[string]bool{}
	for _, r := range page.Rows {
		seen[r.Key] = true
		old, known := rows[r.Key]
		if known && old.Revision >= r.Revision {
			continue
		}
		changed = changed || known || !r.Deleted
		if r.Deleted {
			delete(rows, r.Key)
			m.tombstones[r.Key] = r.Revision
		} else {
			rows[r.Key] = r
			delete(m.tombstones, r.Key)
		}
	}
	if whole {
		for key, r := range rows {
			if !seen[key] && r.Revision <= page.Revision {
				delete(rows, key)
				changed = true
			}
		}
		// The page does not tell which rows were deleted before its revision.
		m.loaded, m.tombstoneFloor = true, page.Revision
		clear(m.tombstones)
	}
	if len(m.tombstones) > maxTombstones {
		clear(m.tombstones)
		m.tombstoneFloor = page.Revision
	}
	m.rows, m.revision = rows, page.Revision
	return Copy{Rows: rows, Revision: m.revision}, changed, true
}

// Offer applies a page from a peer if it is newer than the copy, and reports
// whether it did. If whole is set, the page is the whole table; otherwise it holds
// the rows that changed after a revision that the copy has reached.
func (m *Mirror) Offer(page Page, whole bool) bool {
	m.mu.Lock()
	applicable := page.Revision > m.revision || page.Revision == m.revision && !m.loaded
	applicable = applicable && (whole || m.loaded)
	confirmedAt := m.lastAnswerAt
	m.mu.Unlock()
	return applicable && m.apply(page, whole, Peer, confirmedAt)
}

// ChangesSince returns the rows that changed after a revision, including deletions. If
// the deletions since then are not known, it returns the whole table.
func (m *Mirror) ChangesSince(after int64) (page Page, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	whole = after < m.tombstoneFloor
	page.Revision = m.revision
	for _, r := range m.rows {
		if whole || r.Revision > after {
			page.Rows = append(page.Rows, r)
		}
	}
	if !whole {
		for key, revision := range m.tombstones {
			if revision > after {
				page.Rows = append(page.Rows, Row{Key: key, Revision: revision, Deleted: true})
			}
		}
	}
	return page, whole
}

// Copy returns the current copy; ok is false until the table has been loaded.
func (m *Mirror) Copy() (c Copy, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{Rows: m.rows, Revision: m.revision}, m.loaded
}

// recordAnswer records that the store answered, and the reading of its clock. It
// returns the time of the answer before, zero for the first one.
func (m *Mirror) recordAnswer(page Page) (previous time.Time) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, m.lastAnswerAt = m.lastAnswerAt, now
	m.storeClock, m.storeClockReadAt = page.Clock, now
	if !m.lostSince.IsZero() {
		m.options.Log.Info("store regained", zap.String("table", m.options.Name), zap.Duration("away", now.Sub(m.lostSince)), zap.Int64("revision", page.Revision))
		m.lostSince = time.Time{}
	}
	return previous
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

// Age returns the time since the last answer of the store. Pages from peers do not
// count.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.lastAnswerAt)
}

// StoreClock estimates the reading of the store's monotonic clock; ok is false
// before the first answer.
func (m *Mirror) StoreClock(now time.Time) (at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeClock + now.Sub(m.storeClockReadAt), !m.storeClockReadAt.IsZero()
}
