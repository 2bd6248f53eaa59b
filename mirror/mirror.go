package mirror

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultWait is half of the history that the store keeps, so that the next
	// call can resume.
	defaultWait = 10 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The upper
	// one is well below the time in which a configuration must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// staleBackoff is the pause after an answer that is older than what is known.
	staleBackoff = 200 * time.Millisecond
	// maxRemoved bounds the deleted rows that are remembered for peers.
	maxRemoved = 1000
	// passivePause is the pause between two looks whether this VM is to read the
	// store itself.
	passivePause = 100 * time.Millisecond
)

// ErrHistoryGone says that changes after the given revision are not kept any
// more: the table must be read anew.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// Row is one row of a table. Revision is the transaction that wrote it.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Page is the answer to a read: rows as of a revision.
type Page struct {
	Rows     []Row
	Revision int64
	// Clock is the steady clock of the store.
	Clock time.Duration
	// Partial pages leave out rows that follow the last one.
	Partial bool
}

// Table reads one table of the store.
type Table interface {
	// Read returns rows from a key on, as of one moment.
	Read(ctx context.Context, from string) (Page, error)
	// Follow returns the rows that changed after a revision, and waits at most
	// the given time for the first one.
	Follow(ctx context.Context, after int64, wait time.Duration) (Page, error)
}

// Copy is the content of a table as of a revision. It is immutable.
type Copy struct {
	Rows     map[string]Row
	Revision int64
}

// Options configures a Mirror.
type Options struct {
	Name  string
	Table Table
	// Changed is called after each change, by one goroutine at a time.
	Changed func(c Copy, now time.Time)
	// Wait is how long one call waits for changes, 10 s by default. A call whose
	// answer is lost on the way leaves the table unread for that long.
	Wait time.Duration
	// BatchDelay is the pause after a change before the next one is asked for, so
	// that changes that come together cost one call.
	BatchDelay time.Duration
	// Passive tells that peers read the store for this VM; it may be nil.
	Passive func() bool
	Log     *zap.Logger
}

// Mirror follows one table. It is safe for concurrent use.
type Mirror struct {
	o Options

	mu       sync.Mutex
	rows     map[string]Row
	revision int64
	loaded   bool
	// removed are rows that were deleted after the revision floor.
	removed map[string]int64
	floor   int64
	// answered is the time of the last answer of the store, lost the time of the
	// first failure since, zero while the store answers.
	answered time.Time
	lost     time.Time
	// clock and clockAt relate the store's clock to that of this process.
	clock   time.Duration
	clockAt time.Time

	notify sync.Mutex
}

// New returns an empty mirror.
func New(o Options) *Mirror {
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	return &Mirror{o: o, rows: map[string]Row{}, removed: map[string]int64{}}
}

// Run follows the table until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.failed(err)
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, 2*backoff)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// step makes one call and applies its answer.
func (m *Mirror) step(ctx context.Context) error {
	m.mu.Lock()
	loaded, after := m.loaded, m.revision
	m.mu.Unlock()
	if !loaded {
		return m.reload(ctx)
	}
	if m.o.Passive != nil && m.o.Passive() {
		pause(ctx, passivePause)
		return nil
	}
	page, err := m.o.Table.Follow(ctx, after, m.o.Wait)
	if errors.Is(err, ErrHistoryGone) {
		m.o.Log.Info("history of the store is gone", zap.String("table", m.o.Name), zap.Int64("revision", after))
		return m.reload(ctx)
	}
	if err != nil {
		return err
	}
	m.succeeded(page)
	m.apply(page, false)
	if len(page.Rows) > 0 && m.o.BatchDelay > 0 {
		pause(ctx, m.o.BatchDelay)
	}
	return nil
}

// reload reads the whole table.
func (m *Mirror) reload(ctx context.Context) error {
	var all Page
	from := ""
	for {
		page, err := m.o.Table.Read(ctx, from)
		if err != nil {
			return err
		}
		all.Rows = append(all.Rows, page.Rows...)
		if from == "" {
			// Rows of later pages may be newer; the feed repeats their changes.
			all.Revision, all.Clock = page.Revision, page.Clock
		}
		if !page.Partial || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	m.succeeded(all)
	if !m.apply(all, true) {
		pause(ctx, staleBackoff)
	}
	return nil
}

// apply takes a page over. A whole page also removes the rows that it lacks. It
// returns false for a page that is older than what is known.
func (m *Mirror) apply(page Page, whole bool) bool {
	m.notify.Lock()
	defer m.notify.Unlock()
	c, changed, ok := m.merge(page, whole)
	if changed && m.o.Changed != nil {
		m.o.Changed(c, time.Now())
	}
	return ok
}

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
			m.removed[r.Key] = r.Revision
		} else {
			rows[r.Key] = r
			delete(m.removed, r.Key)
		}
	}
	if whole {
		for key, r := range rows {
			if !seen[key] && r.Revision <= page.Revision {
				delete(rows, key)
				changed = true
			}
		}
		// Which rows disappeared before this page is not known.
		m.loaded, m.floor = true, page.Revision
		clear(m.removed)
	}
	if len(m.removed) > maxRemoved {
		clear(m.removed)
		m.floor = page.Revision
	}
	m.rows, m.revision = rows, page.Revision
	return Copy{Rows: rows, Revision: m.revision}, changed, true
}

// Offer takes over what a peer knows, if it is newer: the whole table, or the
// rows that changed after a revision that this copy has.
func (m *Mirror) Offer(page Page, whole bool) bool {
	m.mu.Lock()
	fits := page.Revision > m.revision || page.Revision == m.revision && !m.loaded
	fits = fits && (whole || m.loaded)
	m.mu.Unlock()
	return fits && m.apply(page, whole)
}

// ChangesSince returns what changed after a revision, or the whole table if that is not
// known any more.
func (m *Mirror) ChangesSince(after int64) (page Page, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	whole = after < m.floor
	page.Revision = m.revision
	for _, r := range m.rows {
		if whole || r.Revision > after {
			page.Rows = append(page.Rows, r)
		}
	}
	if !whole {
		for key, revision := range m.removed {
			if revision > after {
				page.Rows = append(page.Rows, Row{Key: key, Revision: revision, Deleted: true})
			}
		}
	}
	return page, whole
}

// Copy returns the present content; ok is false before the first answer.
func (m *Mirror) Copy() (c Copy, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{Rows: m.rows, Revision: m.revision}, m.loaded
}

func (m *Mirror) succeeded(page Page) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered = now
	m.clock, m.clockAt = page.Clock, now
	if !m.lost.IsZero() {
		m.o.Log.Info("store regained", zap.String("table", m.o.Name), zap.Duration("away", now.Sub(m.lost)), zap.Int64("revision", page.Revision))
		m.lost = time.Time{}
	}
}

func (m *Mirror) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost.IsZero() {
		m.lost = time.Now()
		m.o.Log.Warn("store lost", zap.String("table", m.o.Name), zap.Int64("revision", m.revision), zap.Error(err))
	}
}

// Lost reports whether the last call failed, and since when.
func (m *Mirror) Lost() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost, !m.lost.IsZero()
}

// Age is the time since the store or a peer last answered with this copy or
// confirmed it.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.answered)
}

// StoreClock estimates the store's steady clock; ok is false before the first
// answer.
func (m *Mirror) StoreClock(now time.Time) (at time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock + now.Sub(m.clockAt), !m.clockAt.IsZero()
}
