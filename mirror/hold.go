package mirror

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// supersedes reports whether the table has the last word of the writer of a held row, or a
// later one: the known value, a value that is newer by itself, or a revision above the first
// one of the era. row is that of the table, a deletion of the era, or nil. A row with a
// higher revision than one of era 0 is later whichever era wrote it: this VM knew less than
// the restored copy. In later eras a copy of a still earlier era may have higher revisions.
// The caller must hold m.mu.
func (m *Mirror) supersedes(row *Row, held Row, base int64) bool {
	if row == nil || row.Deleted {
		return held.Deleted || row != nil && row.Revision > base
	}
	if held.Era == 0 && row.Revision > held.Revision {
		return true
	}
	if held.Deleted {
		return row.Revision > base
	}
	if bytes.Equal(row.Value, held.Value) {
		return true
	}
	if m.options.Compare != nil {
		if order := m.options.Compare(held.Key, held.Value, row.Value); order != 0 {
			return order > 0
		}
	}
	return row.Revision > base
}

// stored returns the row of the table with a key, or its deletion in this era, nil if
// neither is known. The caller must hold m.mu.
func (m *Mirror) stored(key string) *Row {
	if r, ok := m.rows[key]; ok {
		return &r
	}
	if revision, ok := m.tombstones[key]; ok {
		return &Row{Key: key, Revision: revision, Era: m.era, Deleted: true}
	}
	return nil
}

// known returns the rows that this copy holds for the last word of their writers, with the
// deletions that it remembers. The caller must hold m.mu.
func (m *Mirror) known() map[string]Row {
	known := maps.Clone(m.removed)
	maps.Copy(known, m.effective())
	return known
}

// effective returns the rows of the table with the held ones in their place. The caller must
// hold m.mu.
func (m *Mirror) effective() map[string]Row {
	if len(m.held) == 0 {
		return m.rows
	}
	rows := maps.Clone(m.rows)
	for key, r := range m.held {
		if r.Deleted {
			delete(rows, key)
		} else {
			rows[key] = r
		}
	}
	return rows
}

// hold holds the known rows that the table of a new era lacks or has in an older form. The
// caller must hold m.mu.
func (m *Mirror) hold(known map[string]Row, now time.Time) {
	m.held = map[string]Row{}
	m.eraAt, m.holdUntil = now, now.Add(m.options.Hold)
	if m.options.Hold == 0 {
		return
	}
	m.lastKnown = known
	base := m.base(now)
	for key, r := range known {
		if !m.supersedes(m.stored(key), r, base) {
			m.held[key] = r
		}
	}
	m.armHold(now)
}

// adoptHeld holds the rows that a peer of the same era holds for a time. It reports whether
// that changes the copy. The caller must hold m.mu.
func (m *Mirror) adoptHeld(rows []Row, left time.Duration, now time.Time) bool {
	if len(rows) == 0 || !now.Before(m.holdUntil) {
		return false
	}
	if until := now.Add(left); until.Before(m.holdUntil) {
		m.holdUntil = until
	}
	m.adopted = fingerprint(slices.Values(rows))
	return m.adopt(rows, now)
}

// adoptEarlier holds the rows of a peer that is still in the era before. It reports whether
// that changes the copy. The caller must hold m.mu.
func (m *Mirror) adoptEarlier(page Page, now time.Time) bool {
	if !m.lacksEarlier(page.Position(), now) {
		return false
	}
	m.previous = page.Position()
	rows := slices.Clone(page.Held)
	for _, r := range page.Rows {
		if !slices.ContainsFunc(page.Held, func(h Row) bool { return h.Key == r.Key }) {
			r.Era = page.Era
			rows = append(rows, r)
		}
	}
	return m.adopt(rows, now)
}

// lacksEarlier reports whether a position of the era before is one that this VM has not
// reached. The caller must hold m.mu.
func (m *Mirror) lacksEarlier(p Position, now time.Time) bool {
	return m.loaded && p.Era == m.era-1 && m.previous.Before(p) && now.Before(m.holdUntil)
}

// adopt holds the rows of a peer that are newer than those known to this VM. It reports
// whether there were any. The caller must hold m.mu.
func (m *Mirror) adopt(rows []Row, now time.Time) bool {
	base, changed := m.base(now), false
	for _, r := range rows {
		old := m.lastKnown[r.Key]
		if later, held := m.held[r.Key]; held {
			old = later
		}
		if r.Era < m.era && old.Position().Before(r.Position()) && !m.supersedes(m.stored(r.Key), r, base) {
			m.held[r.Key], changed = r, true
		}
	}
	m.armHold(now)
	return changed
}

// armHold lets the hold end in time. The caller must hold m.mu.
func (m *Mirror) armHold(now time.Time) {
	if m.holdTimer != nil {
		m.holdTimer.Stop()
	}
	if len(m.held) > 0 {
		m.holdTimer = time.AfterFunc(m.holdUntil.Sub(now), m.review)
	}
}

// release drops the held rows whose writers have written again, and all of them at the end
// of the hold time. It returns the keys. The caller must hold m.mu.
func (m *Mirror) release(now time.Time) []string {
	var keys []string
	base := m.base(now)
	if !now.Before(m.holdUntil) {
		m.lastKnown = nil
	}
	for key, r := range m.held {
		if !now.Before(m.holdUntil) || m.supersedes(m.stored(key), r, base) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		delete(m.held, key)
	}
	slices.Sort(keys)
	return keys
}

// review releases held rows without a page of the table: at the end of the hold time, or
// after news of the first revision of the era.
func (m *Mirror) review() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	now := time.Now()
	m.mu.Lock()
	released, left, eraAt := m.release(now), len(m.held), m.eraAt
	m.remember(nil)
	c := m.copy(now)
	m.mu.Unlock()
	if len(released) == 0 {
		return
	}
	m.options.Log.Warn("held rows released", zap.String("table", m.options.Name), zap.Int64("era", c.Era), zap.Int("rows", len(released)),
		zap.Strings("keys", released[:min(len(released), maxLoggedKeys)]), zap.Int("held", left), zap.Duration("after", now.Sub(eraAt)))
	if m.options.Changed != nil {
		m.options.Changed(Change{Copy: c, Source: HoldEnd, At: now, ConfirmedAt: eraAt})
	}
}

// remember keeps the deletions of rows that the copy had before, and forgets those of rows
// that it has. The caller must hold m.mu.
func (m *Mirror) remember(before map[string]Row) {
	if m.options.Hold == 0 {
		return
	}
	rows := m.effective()
	for key := range before {
		if _, ok := rows[key]; !ok {
			if len(m.removed) >= maxTombstones {
				clear(m.removed)
			}
			removal := Row{Key: key, Revision: m.revision, Era: m.era, Deleted: true}
			if revision, known := m.tombstones[key]; known {
				removal.Revision = revision
			}
			if r, held := m.held[key]; held {
				removal = r
			}
			m.removed[key] = removal
		}
	}
	maps.DeleteFunc(m.removed, func(key string, _ Row) bool { _, ok := rows[key]; return ok })
}

// base returns the revision up to which rows of this era may be older than the era. The
// caller must hold m.mu.
func (m *Mirror) base(now time.Time) int64 { return m.options.Eras.base(m.era, m.options.Hold, now) }

// Held returns the number of held rows.
func (m *Mirror) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Lacks returns the position after which a peer is to be asked for changes, because the
// restored store may lack them: it holds rows, or has not learned of the era. ok is false if
// it knows nothing that this VM lacks.
func (m *Mirror) Lacks(peer State) (after Position, ok bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lacksEarlier(Position{peer.Era, peer.Changed}, now) {
		return m.previous, true
	}
	return m.position(), m.loaded && peer.Era == m.era && peer.Held != 0 && peer.Held != m.adopted &&
		peer.Held != fingerprint(maps.Values(m.held)) && now.Before(m.holdUntil)
}

// fingerprint returns a hash of the positions of rows that does not depend on their order, 0
// for none.
func fingerprint(rows func(yield func(Row) bool)) (sum uint64) {
	for r := range rows {
		h := fnv.New64a()
		_, _ = h.Write([]byte(strconv.FormatInt(r.Era, 36) + "/" + strconv.FormatInt(r.Revision, 36) + "/" + strconv.FormatBool(r.Deleted) + "/" + r.Key))
		sum ^= h.Sum64()
	}
	return sum
}
