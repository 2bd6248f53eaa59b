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
	// minCallInterval is the least time between two calls that do not wait for changes.
	minCallInterval = 100 * time.Millisecond
	// minPatience and maxPatience bound Mirror.patience. The lower bound exceeds the
	// time that a slow store takes for an answer. The upper one allows for a store
	// that is slower still, and is short enough for a VM to catch up within 3 s once it
	// reaches the store again.
	minPatience = 400 * time.Millisecond
	maxPatience = 1200 * time.Millisecond
	// unknownAge is the age of a copy that has never been confirmed.
	unknownAge = time.Hour
	// maxClockError bounds the error of the estimate of the store's clock.
	maxClockError = 2 * time.Second
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
	// Clock is the reading of the store's monotonic clock at which the page was
	// current.
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
	// At is the time at which the copy changed. The rows changed in the store between
	// ConfirmedAt, when the previous copy was last known to be current, and At. For
	// the first copy they are equal.
	At, ConfirmedAt time.Time
}

// Options configures a Mirror.
type Options struct {
	Name  string
	Table Table
	// Changed is called after each change of the copy, by one goroutine at a time.
	Changed func(c Change)
	// Wait is the age at which the copy is confirmed by the store: a Follow call waits
	// for changes until then. Default: 10 s.
	Wait time.Duration
	// MaxAge is the age of the copy from which a passive mirror calls the store too,
	// because peers no longer confirm the copy. 0 means never.
	MaxAge time.Duration
	// BatchDelay is the pause after a change before the next Follow call, so that
	// changes in quick succession need one call.
	BatchDelay time.Duration
	// Passive reports whether peers read the store for this VM; it may be nil.
	Passive func() bool
	// Clock is the estimate of the store's clock, which the mirrors of a store share.
	// Default: a new one.
	Clock *Clock
	Log   *zap.Logger
}

// Mirror keeps a copy of one table up to date. It is safe for concurrent use.
type Mirror struct {
	options Options

	mu       sync.Mutex
	rows     map[string]Row
	revision int64
	loaded   bool
	// changed is the revision of the last change of the table up to revision, or a
	// higher one if it is not known.
	changed int64
	// confirmed is the reading of the store's clock at which the copy was last known
	// to be current.
	confirmed time.Duration
	// patience is the time for which an answer may be overdue before the call fails.
	// Only Run uses it.
	patience time.Duration
	// tombstones maps the keys of deleted rows to the revision of the deletion. It
	// is complete for deletions after tombstoneFloor.
	tombstones     map[string]int64
	tombstoneFloor int64
	// lostSince is the time of the first failure after the last answer of the store,
	// zero while the store answers.
	lostSince time.Time

	// applyMu serialises changes of the copy and the calls of Options.Changed.
	applyMu sync.Mutex
}

// New returns a Mirror without content.
func New(options Options) *Mirror {
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	if options.Clock == nil {
		options.Clock = &Clock{}
	}
	return &Mirror{options: options, patience: minPatience, rows: map[string]Row{}, tombstones: map[string]int64{}}
}

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

// poll reads the table or its next changes and applies them. A passive mirror whose
// copy is recent waits instead.
func (m *Mirror) poll(ctx context.Context) error {
	m.mu.Lock()
	loaded, after := m.loaded, m.revision
	m.mu.Unlock()
	if !loaded {
		return m.reload(ctx)
	}
	wait, call := m.nextWait(time.Now())
	if !call {
		sleep(ctx, passivePollInterval)
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+m.patience)
	defer cancel()
	page, err := m.options.Table.Follow(callCtx, after, wait)
	if errors.Is(err, ErrHistoryGone) {
		m.options.Log.Info("history of the store is gone", zap.String("table", m.options.Name), zap.Int64("revision", after))
		return m.reload(ctx)
	}
	if err != nil {
		return err
	}
	m.recordAnswer(page)
	m.apply(page, false, StoreFeed)
	switch {
	case len(page.Rows) > 0:
		sleep(ctx, m.options.BatchDelay)
	case wait == 0:
		// The next call may be due at once if the store's clock does not advance.
		sleep(ctx, minCallInterval)
	}
	return nil
}

// nextWait returns the time for which the next Follow call waits for changes, and
// whether a call is due. A passive mirror asks without waiting, because it only needs
// to know whether its copy is current.
func (m *Mirror) nextWait(now time.Time) (wait time.Duration, call bool) {
	if m.options.Passive != nil && m.options.Passive() {
		return 0, m.options.MaxAge > 0 && m.Age(now) >= m.options.MaxAge
	}
	if m.options.MaxAge == 0 {
		return m.options.Wait, true
	}
	return max(0, m.options.Wait-m.Age(now)), true
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
	m.recordAnswer(all)
	if !m.apply(all, true, StoreRead) {
		sleep(ctx, staleBackoff)
	}
	return nil
}

// read reads one page of the table.
func (m *Mirror) read(ctx context.Context, from string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, m.patience)
	defer cancel()
	return m.options.Table.Read(ctx, from)
}

// apply merges a page into the copy and calls Options.Changed if the copy changed.
// If whole is set, rows that the page lacks are removed. apply returns false for a
// page that is older than the copy.
func (m *Mirror) apply(page Page, whole bool, source Source) bool {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	now := time.Now()
	unconfirmed := time.Duration(0)
	if _, loaded := m.Copy(); loaded {
		unconfirmed = m.Age(now)
	}
	c, changed, ok := m.merge(page, whole)
	if !changed {
		return ok
	}
	m.options.Log.Info("table changed", zap.String("table", m.options.Name), zap.String("source", string(source)), zap.Int64("revision", c.Revision),
		zap.Strings("keys", changedKeys(page)), zap.Duration("unconfirmed", unconfirmed))
	if m.options.Changed != nil {
		m.options.Changed(Change{Copy: c, Source: source, At: now, ConfirmedAt: now.Add(-unconfirmed)})
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
	m.confirm(page.Clock)
	changed := whole && !m.loaded
	rows := maps.Clone(m.rows)
	seen := map[string]bool{}
	for _, r := range page.Rows {
		seen[r.Key] = true
		m.changed = max(m.changed, r.Revision)
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
		m.loaded, m.tombstoneFloor, m.changed = true, page.Revision, page.Revision
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
	m.mu.Unlock()
	return applicable && m.apply(page, whole, Peer)
}

// ChangesSince returns the rows that changed after a revision, including deletions. If
// the deletions since then are not known, it returns the whole table.
func (m *Mirror) ChangesSince(after int64) (page Page, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	whole = after < m.tombstoneFloor
	page.Revision, page.Clock = m.revision, m.confirmed
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

// State tells how recent a copy is.
type State struct {
	// Revision is the revision up to which the copy holds all changes of the table.
	Revision int64
	// Changed is the revision of the last change of the table up to Revision, or a
	// higher one if it is not known.
	Changed int64
	// Confirmed is the reading of the store's clock at which the copy was last known
	// to be current.
	Confirmed time.Duration
}

// State returns the state of the copy; ok is false until the table has been loaded.
func (m *Mirror) State() (s State, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Revision: m.revision, Changed: m.changed, Confirmed: m.confirmed}, m.loaded
}

// Confirm takes the state of a peer's copy. If this copy holds all changes of that
// one, it is as recent too, and Confirm returns true.
func (m *Mirror) Confirm(peer State) bool {
	if peer.Confirmed > 0 {
		m.options.Clock.Observe(peer.Confirmed, time.Now())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.revision < peer.Changed {
		return false
	}
	m.revision = max(m.revision, peer.Revision)
	m.confirm(peer.Confirmed)
	return true
}

// confirm records that the copy was current at a reading of the store's clock. The
// caller must hold m.mu.
func (m *Mirror) confirm(reading time.Duration) {
	if m.aheadOfClock(time.Now()) {
		m.confirmed = 0
	}
	m.confirmed = max(m.confirmed, reading)
}

// aheadOfClock reports whether the last confirmation is later than the store's clock,
// which has then begun anew. The caller must hold m.mu.
func (m *Mirror) aheadOfClock(now time.Time) bool {
	reading, _ := m.options.Clock.Now(now)
	return m.confirmed > reading+maxClockError
}

// Age returns the time since the copy was last known to be current.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	reading, ok := m.options.Clock.Now(now)
	if !ok || !m.loaded || m.aheadOfClock(now) {
		return unknownAge
	}
	return max(0, reading-m.confirmed)
}

// recordAnswer records that the store answered, and the reading of its clock.
func (m *Mirror) recordAnswer(page Page) {
	now := time.Now()
	m.options.Clock.Observe(page.Clock, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lostSince.IsZero() {
		m.options.Log.Info("store regained", zap.String("table", m.options.Name), zap.Duration("away", now.Sub(m.lostSince)), zap.Int64("revision", page.Revision))
		m.lostSince = time.Time{}
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

// StoreClock estimates the reading of the store's monotonic clock; ok is false before
// the first reading.
func (m *Mirror) StoreClock(now time.Time) (at time.Duration, ok bool) {
	return m.options.Clock.Now(now)
}
