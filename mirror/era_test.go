package mirror

import (
	"bytes"
	"context"
	"encoding/gob"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const hold = 4 * time.Second

// inEra returns a page of an era.
func inEra(era int64, p Page) Page {
	p.Era = era
	return p
}

// holding returns a mirror with a hold time that has taken a table.
func holding(t *testing.T, p Page) *Mirror {
	t.Helper()
	m := New(Options{Name: "t", Log: zap.NewNop(), Hold: hold})
	assert.Assert(t, m.Offer(p, true))
	return m
}

// Guards against a copy that stays at a revision which a restored store reaches again with
// other rows, and against late answers of the earlier era that undo the new one.
func TestRestoredStoreIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{
			reads: []reply{
				{page: at(time.Minute, page(9, row("a", "1", 4), row("b", "1", 9)))},
				{page: at(time.Second, inEra(1, page(6, row("a", "2", 6))))},
			},
			follows: []reply{
				{page: at(time.Second, inEra(1, page(10, row("c", "1", 10))))},
				{page: at(2*time.Minute, page(30, row("late", "1", 30)))},
				{page: at(2*time.Second, inEra(1, page(7, row("d", "1", 7))))},
			},
		}
		m, changes := runMirror(t, s, 500*time.Millisecond)
		assert.DeepEqual(t, values(m), map[string]string{"a": "2", "d": "1"})
		assert.DeepEqual(t, s.calls()[:3], []int64{9, 6, 6})
		assert.Equal(t, changes, 3)
		assert.Assert(t, m.Age(time.Now()) < time.Second, "readings of the earlier era count no more")
	})
}

// Guards against a table whose pages are of two eras.
func TestStoreIsRestoredBetweenTwoPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := page(9, row("a", "1", 4))
		first.Partial = true
		s := &scripted{reads: []reply{{page: first}, {page: inEra(1, page(6, row("b", "1", 6)))}, {page: inEra(1, page(6, row("a", "0", 2)))}}}
		m, _ := runMirror(t, s, time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "0"})
	})
}

// Guards against what the operator said last going back when the store comes back from a
// copy: a changed row, a new one and a removed one stay as known until they are written
// again, or the hold time is over.
func TestRestoredRowsAreOlder(t *testing.T) {
	restored := inEra(1, page(8, row("changed", "old", 3), row("removed", "old", 4), row("same", "1", 5)))
	known := map[string]string{"changed": "new", "added": "new", "same": "1"}
	for name, c := range map[string]struct {
		rows  []Row
		after time.Duration
		want  map[string]string
	}{
		"not written again":     {want: known},
		"the hold time is over": {after: hold, want: map[string]string{"changed": "old", "removed": "old", "same": "1"}},
		"written again":         {rows: []Row{row("changed", "new", 9), row("added", "new", 10), {Key: "removed", Revision: 11, Deleted: true}}, want: known},
		"written otherwise":     {rows: []Row{row("changed", "3", 9), {Key: "added", Revision: 10, Deleted: true}, row("removed", "3", 11)}, want: map[string]string{"changed": "3", "removed": "3", "same": "1"}},
	} {
		inBubble(t, name, func(t *testing.T) {
			m := holding(t, page(6, row("changed", "old", 3), row("removed", "old", 4), row("same", "1", 5)))
			assert.Assert(t, m.Offer(page(12, row("changed", "new", 10), row("added", "new", 11), Row{Key: "removed", Revision: 12, Deleted: true}), false))
			assert.Assert(t, m.Offer(restored, true))
			assert.DeepEqual(t, values(m), known)
			assert.Equal(t, m.Held(), 3)
			c2, _ := m.Copy()
			assert.Equal(t, string(c2.Stored["changed"].Value), "old")
			if len(c.rows) > 0 {
				assert.Assert(t, m.Offer(inEra(1, page(11, c.rows...)), false))
				assert.Equal(t, m.Held(), 0)
			}
			time.Sleep(c.after)
			synctest.Wait()
			assert.DeepEqual(t, values(m), c.want)
		})
	}
}

// Guards against a VM that was cut off and holds what it knows over a copy that is newer.
func TestRestoredRowsAreNewerThanTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := holding(t, page(3, row("a", "old", 3)))
		assert.Assert(t, m.Offer(inEra(1, page(8, row("a", "new", 7))), true))
		assert.DeepEqual(t, values(m), map[string]string{"a": "new"})
	})
}

// Guards against values that tell their order themselves and go by their revisions.
func TestValuesTellTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Name: "t", Log: zap.NewNop(), Hold: hold, Compare: func(_ string, known, offered []byte) int { return bytes.Compare(offered, known) }})
		m.Offer(page(12, row("a", "5", 10)), true)
		m.Offer(inEra(1, page(8, row("a", "4", 3))), true)
		m.Offer(inEra(1, page(9, row("a", "4", 9))), false)
		assert.DeepEqual(t, values(m), map[string]string{"a": "5"})
		m.Offer(inEra(1, page(10, row("a", "6", 10))), false)
		assert.DeepEqual(t, values(m), map[string]string{"a": "6"})
	})
}

// Guards against a second restore within the hold time that lets rows go back.
func TestStoreIsRestoredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := holding(t, page(6, row("a", "old", 3), row("b", "1", 4)))
		m.Offer(page(12, row("a", "new", 10), Row{Key: "b", Revision: 12, Deleted: true}), false)
		m.Offer(inEra(1, page(6, row("a", "old", 3), row("b", "1", 4))), true)
		m.Offer(inEra(1, page(7, row("a", "newer", 7))), false)
		time.Sleep(hold - time.Second)
		m.Offer(inEra(2, page(6, row("a", "old", 3), row("b", "1", 4))), true)
		assert.DeepEqual(t, values(m), map[string]string{"a": "newer"})
		time.Sleep(hold - time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "newer"})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, values(m), map[string]string{"a": "old", "b": "1"})
	})
}

// Guards against a VM that has started in the new era, or was cut off before it, and goes
// by the restored copy although its peers know better.
func TestHeldRowsReachOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		informed := holding(t, page(12, row("a", "new", 10)))
		restored := inEra(1, page(8, row("a", "old", 3)))
		informed.Offer(restored, true)
		behind := holding(t, page(6, row("a", "old", 3)))
		started := New(Options{Name: "t", Log: zap.NewNop(), Hold: hold})
		time.Sleep(time.Second)
		state, _ := informed.State()
		for _, m := range []*Mirror{behind, started} {
			m.Offer(restored, true)
			assert.DeepEqual(t, values(m), map[string]string{"a": "old"})
			assert.Assert(t, m.Confirm(state) && lacks(m, state))
			own, _ := m.State()
			page, whole := informed.ChangesSince(own.Position())
			assert.Assert(t, m.Offer(page, whole))
			assert.DeepEqual(t, values(m), map[string]string{"a": "new"})
			assert.Assert(t, !lacks(m, state))
		}
		time.Sleep(hold - time.Second)
		synctest.Wait()
		for _, m := range []*Mirror{informed, behind, started} {
			assert.DeepEqual(t, values(m), map[string]string{"a": "old"})
			assert.Assert(t, !lacks(m, state))
		}
	})
}

func lacks(m *Mirror, peer State) bool {
	_, ok := m.Lacks(peer)
	return ok
}

// Guards against a VM that has started in the new era and goes by the restored copy, because
// its peers have not learned of the era yet.
func TestPeersOfTheEraBeforeKnowMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := page(6, row("a", "old", 3), row("b", "1", 4))
		peer, behind := holding(t, old), holding(t, old)
		peer.Offer(page(12, row("a", "new", 10), Row{Key: "b", Revision: 12, Deleted: true}), false)
		started := New(Options{Name: "t", Log: zap.NewNop(), Hold: hold})
		state, _ := peer.State()
		for m, want := range map[*Mirror]map[string]string{behind: {"a": "new"}, started: {"a": "new", "b": "1"}} {
			m.Offer(inEra(1, page(8, row("a", "old", 3), row("b", "1", 4))), true)
			after, ok := m.Lacks(state)
			assert.Assert(t, ok)
			page, whole := peer.ChangesSince(after)
			assert.Equal(t, whole, m == started)
			m.Offer(page, whole)
			assert.DeepEqual(t, values(m), want)
			c, _ := m.Copy()
			assert.Equal(t, c.Position(), Position{1, 8})
			assert.Assert(t, !lacks(m, state))
		}
		time.Sleep(hold)
		synctest.Wait()
		later, _ := started.State()
		state.Changed = 20
		assert.Assert(t, !lacks(started, state))
		assert.Equal(t, later.Held, uint64(0))
	})
}

// Guards against rows of a peer that was cut off before the store was restored: it holds
// less than this VM knows.
func TestHeldRowsOfAPeerAreOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutOff := holding(t, page(6, row("a", "1", 4)))
		m := holding(t, page(12, row("a", "2", 10)))
		copied := inEra(1, page(5))
		cutOff.Offer(copied, true)
		m.Offer(copied, true)
		page, whole := cutOff.ChangesSince(Position{Era: 1, Revision: 5})
		m.Offer(page, whole)
		assert.DeepEqual(t, values(m), map[string]string{"a": "2"})
	})
}

// Guards against a row that was written in the new era before this VM first read it, and is
// held as older although a peer has seen the era begin earlier.
func TestPeersTellWhenTheEraBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := holding(t, page(30, row("a", "1", 20)))
		m.Offer(inEra(1, page(12, row("a", "2", 11))), true)
		assert.DeepEqual(t, values(m), map[string]string{"a": "1"})
		m.Confirm(State{Era: 1, Revision: 12, Changed: 11, Begin: 10})
		assert.DeepEqual(t, values(m), map[string]string{"a": "2"})
	})
}

// Guards against a VM that has started long after the store was restored and takes all rows
// for restored ones.
func TestAgeOfTheEraIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := holding(t, inEra(3, page(30, row("a", "1", 20))))
		c, _ := m.Copy()
		assert.Assert(t, c.Restored(Position{3, 20}))
		time.Sleep(hold)
		c, _ = m.Copy()
		assert.Assert(t, !c.Restored(Position{3, 20}))
		assert.Assert(t, c.Restored(Position{2, 40}))
		s, _ := m.State()
		assert.Equal(t, s.Begin, int64(0))
	})
}

// Guards against messages that a build before eras does not understand, and against its
// copies, which count as those of era 0, replacing or confirming newer ones.
func TestPeersBeforeEras(t *testing.T) {
	type earlierState struct {
		Revision, Changed int64
		Confirmed         time.Duration
	}
	type earlierRow struct {
		Key      string
		Value    []byte
		Revision int64
		Deleted  bool
	}
	type earlierPage struct {
		Rows     []earlierRow
		Revision int64
		Clock    time.Duration
		Partial  bool
		Skipped  int
	}
	synctest.Test(t, func(t *testing.T) {
		m := holding(t, page(12, row("a", "1", 10)))
		m.Offer(inEra(1, page(8, row("b", "1", 3))), true)
		sent, _ := m.ChangesSince(Position{Revision: 12})
		var got earlierPage
		transfer(t, sent, &got)
		assert.DeepEqual(t, got, earlierPage{Revision: 8, Rows: []earlierRow{{Key: "b", Value: []byte("1"), Revision: 3}}})

		var offered Page
		transfer(t, earlierPage{Revision: 40, Rows: []earlierRow{{Key: "c", Value: []byte("1"), Revision: 40}}}, &offered)
		assert.Assert(t, !m.Offer(offered, true))
		var state State
		transfer(t, earlierState{Revision: 8, Changed: 3, Confirmed: time.Hour}, &state)
		assert.Assert(t, !m.Confirm(state))
	})
}

func transfer(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(from))
	assert.NilError(t, gob.NewDecoder(&b).Decode(to))
}

// Guards against calls without a pause to a store whose feed is always of a later era than
// its rows.
func TestErasThatDisagree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{
			read:   func(string) Page { return page(5, row("a", "1", 5)) },
			follow: func(after int64) (Page, error) { return inEra(1, page(after)), nil },
		}
		m := New(Options{Name: "t", Table: table, Log: zap.NewNop()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		m.Run(ctx)
		assert.Check(t, table.calls <= 25, "%d calls in a second", table.calls)
	})
}
