package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxTombstones bounds the tombstones that are kept for peers.
	maxTombstones = 1000
	// maxLoggedKeys bounds the keys in the log line of a change.
	maxLoggedKeys = 5
)

// ErrHistoryGone means that the store no longer has the changes after the given
// revision, so that the whole table must be read.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// Row is one row of a table. Revision is the store revision of the transaction that
// wrote or deleted it, and Era the era in which the row was read. Value is nil if it cannot
// be read.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	// Era is set by the mirror. Builds before this field do not send it.
	Era int64
}

// Page is the result of a Read or Follow: rows as of a revision.
type Page struct {
	Rows     []Row
	Revision int64
	// Era is that of Revision. Stores that never were restored, and builds before this
	// field, do not send it.
	Era int64
	// Held are rows of earlier eras that a peer uses instead of those of the table, for
	// HoldLeft at most.
	Held     []Row
	HoldLeft time.Duration
	// Clock is the reading of the store's monotonic clock at which the page was
	// current.
	Clock time.Duration
	// Partial is set if further rows follow the last one.
	Partial bool
	// Skipped counts the rows whose key cannot be read. The page lacks them.
	Skipped int
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
	// Rows holds the rows in force. After the store was restored, rows of an earlier era
	// are held in the place of older ones (Options.Hold).
	Rows     map[string]Row
	Revision int64
	Era      int64
	// Stored holds the rows that the store has.
	Stored map[string]Row
	// Base is the revision up to which rows may be older than the era, 0 if none is.
	Base int64
}

// Source is where a change of the copy came from.
type Source string

// Sources.
const (
	StoreRead Source = "store read"
	StoreFeed Source = "store feed"
	Peer      Source = "peer"
	// HoldEnd means that held rows were released without a change of the table.
	HoldEnd Source = "end of hold"
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
	// SharedBy returns the number of VMs that share the calls of one while they have lost
	// the store; it may be nil.
	SharedBy func() float64
	// Reach tells the mirrors of a store that one of them has regained it. Default: a new
	// one.
	Reach *Reach
	// Clock is the estimate of the store's clock, which the mirrors of a store share.
	// Default: a new one.
	Clock *Clock
	// Eras is what is known of the eras of the store, which the mirrors of a store share.
	// Default: a new one.
	Eras *Eras
	// Hold is the longest time after the store was restored for which rows that this VM
	// knows stay in force although the restored table lacks them or has older ones. They
	// are released earlier when their writers have written again. 0 means that the rows of
	// the table are in force at once.
	Hold time.Duration
	// Compare tells from two values of a row which one is newer: above 0 the second one,
	// below 0 the first one, and 0 if the revisions decide. It may be nil.
	Compare func(key string, known, offered []byte) int
	Log     *zap.Logger
}

// Mirror keeps a copy of one table up to date. It is safe for concurrent use.
type Mirror struct {
	options Options

	mu sync.Mutex
	// rows are those of the store.
	rows          map[string]Row
	era, revision int64
	loaded        bool
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
	// recheckAt is the time at which a passive mirror that has lost the store calls it
	// again, zero before it was passive.
	recheckAt time.Time

	// held maps keys to rows of earlier eras that are in force instead of those of the
	// store, until holdUntil at most. eraAt is the time at which this VM learned of the
	// era.
	held             map[string]Row
	eraAt, holdUntil time.Time
	holdTimer        *time.Timer
	// lastKnown holds what this VM knew when it learned of the era, until the hold ends.
	lastKnown map[string]Row
	// previous is the position in the era before up to which this VM knows the table. Its
	// revision is -1 if it knows nothing of it.
	previous Position
	// adopted is the fingerprint of the held rows that a peer last sent.
	adopted uint64
	// removed holds the deletions of rows that were in force in this process, at most
	// maxTombstones. Other than tombstones they outlive an era.
	removed map[string]Row

	// applyMu serialises changes of the copy and the calls of Options.Changed.
	applyMu sync.Mutex
}

// New returns a Mirror without content.
func New(options Options) *Mirror {
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	if options.Reach == nil {
		options.Reach = &Reach{}
	}
	if options.Clock == nil {
		options.Clock = &Clock{}
	}
	if options.Eras == nil {
		options.Eras = &Eras{}
	}
	return &Mirror{
		options: options, patience: minPatience, rows: map[string]Row{}, tombstones: map[string]int64{}, held: map[string]Row{}, removed: map[string]Row{},
		previous: Position{Era: -1, Revision: -1},
	}
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
	previous, loaded := m.Copy()
	c, changed, ok := m.merge(page, whole, now)
	if loaded && c.Era > previous.Era {
		m.options.Log.Warn("store restored", zap.String("table", m.options.Name), zap.String("source", string(source)), zap.Int64("era", c.Era), zap.Int64("revision", c.Revision),
			zap.Int64("previous_era", previous.Era), zap.Int64("previous_revision", previous.Revision), zap.Int("held", m.Held()))
	}
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
// differs from the previous one, and false if the page is older than the copy. Only a whole
// page begins a new era.
func (m *Mirror) merge(page Page, whole bool, now time.Time) (Copy, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	adoptable := m.loaded && page.Era == m.era
	if newer := page.Era > m.era; newer && !whole || page.Position().Before(m.position()) {
		changed := adoptable && m.adoptHeld(page.Held, page.HoldLeft, now) || m.adoptEarlier(page, now)
		return m.copy(now), changed, false
	}
	m.options.Eras.observe(page.Position(), false, now)
	before, known := m.effective(), map[string]Row(nil)
	begins, changed := page.Era > m.era, whole && !m.loaded
	if begins {
		if m.loaded {
			known, changed, m.previous = m.known(), true, m.position()
		}
		m.rows, m.era, m.confirmed, m.changed, m.adopted = map[string]Row{}, page.Era, 0, 0, 0
		clear(m.tombstones)
	}
	m.confirm(page.Clock)
	changed = m.mergeRows(page, whole) || changed
	if begins {
		m.hold(known, now)
	}
	m.release(now)
	if m.loaded {
		changed = m.adoptHeld(page.Held, page.HoldLeft, now) || changed
	}
	m.remember(before)
	return m.copy(now), changed, true
}

// mergeRows applies the rows of a page of this era, and reports whether they change the
// table. The caller must hold m.mu.
func (m *Mirror) mergeRows(page Page, whole bool) (changed bool) {
	rows := maps.Clone(m.rows)
	seen := map[string]bool{}
	for _, r := range page.Rows {
		r.Era = m.era
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
				// The row was deleted in this era, and so by its writer.
				delete(m.held, key)
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
	return changed
}

// position returns that of the copy. The caller must hold m.mu.
func (m *Mirror) position() Position { return Position{m.era, m.revision} }

// copy returns the current copy. The caller must hold m.mu.
func (m *Mirror) copy(now time.Time) Copy {
	return Copy{Rows: m.effective(), Revision: m.revision, Era: m.era, Stored: m.rows, Base: m.base(now)}
}

// Offer applies a page from a peer if it is newer than the copy or may hold rows that this
// VM does not know, and reports whether it has become the copy. If whole is set, the page is the whole
// table; otherwise it holds the rows that changed after a revision that the copy has
// reached.
func (m *Mirror) Offer(page Page, whole bool) bool {
	m.mu.Lock()
	own, offered := m.position(), page.Position()
	applicable := own.Before(offered) || own == offered && !m.loaded
	applicable = applicable && (whole || m.loaded && page.Era == m.era)
	applicable = applicable || m.loaded && page.Era == m.era && len(page.Held) > 0 || m.lacksEarlier(offered, time.Now())
	m.mu.Unlock()
	return applicable && m.apply(page, whole, Peer)
}

// ChangesSince returns the rows that changed after a position, including deletions, and the
// held rows. If the deletions since then are not known, or the position is of an earlier
// era, it returns the whole table.
func (m *Mirror) ChangesSince(after Position) (page Page, whole bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	whole = after.Era != m.era || after.Revision < m.tombstoneFloor
	page.Revision, page.Era, page.Clock = m.revision, m.era, m.confirmed
	for _, r := range m.rows {
		if whole || r.Revision > after.Revision {
			page.Rows = append(page.Rows, r)
		}
	}
	if !whole {
		for key, revision := range m.tombstones {
			if revision > after.Revision {
				page.Rows = append(page.Rows, Row{Key: key, Revision: revision, Deleted: true, Era: m.era})
			}
		}
	}
	if left := m.holdUntil.Sub(now); left > 0 && len(m.held) > 0 {
		page.Held, page.HoldLeft = slices.Collect(maps.Values(m.held)), left
	}
	return page, whole
}

// Copy returns the current copy; ok is false until the table has been loaded.
func (m *Mirror) Copy() (c Copy, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy(time.Now()), m.loaded
}
