package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// reply is one scripted answer of a table.
type reply struct {
	page Page
	err  error
	// silent means that the call gets no answer until it is cancelled.
	silent bool
}

// scripted is a Table that answers Read and Follow calls from a script. Once the
// script is exhausted, Follow waits for the given time and Read fails.
type scripted struct {
	reads, follows []reply

	mu    sync.Mutex
	after []int64
}

// calls returns the revisions after which Follow was called.
func (s *scripted) calls() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.after)
}

func (s *scripted) Read(ctx context.Context, from string) (Page, error) {
	if len(s.reads) == 0 {
		return Page{}, errors.New("nothing to read")
	}
	r := s.reads[0]
	s.reads = s.reads[1:]
	return r.page, r.err
}

func (s *scripted) Follow(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	s.mu.Lock()
	s.after = append(s.after, after)
	s.mu.Unlock()
	if len(s.follows) > 0 {
		r := s.follows[0]
		s.follows = s.follows[1:]
		if r.silent {
			<-ctx.Done()
			return Page{}, ctx.Err()
		}
		return r.page, r.err
	}
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case <-time.After(wait):
		return Page{Revision: after}, nil
	}
}

func page(revision int64, rows ...Row) Page { return Page{Revision: revision, Rows: rows} }

func row(key, value string, revision int64) Row {
	return Row{Key: key, Value: []byte(value), Revision: revision}
}

// runMirror runs a mirror against a script for the given time. It returns the
// mirror and the number of calls of Options.Changed.
func runMirror(t *testing.T, s *scripted, d time.Duration) (*Mirror, int) {
	t.Helper()
	changes := 0
	m := New(Options{Name: "t", Table: s, Log: zap.NewNop(), Changed: func(Change) { changes++ }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	time.Sleep(d)
	cancel()
	<-done
	return m, changes
}

func values(m *Mirror) map[string]string {
	c, _ := m.Copy()
	out := map[string]string{}
	for key, r := range c.Rows {
		out[key] = string(r.Value)
	}
	return out
}

// changeAndDelete returns a table with two rows, of which one is then changed and
// the other deleted.
func changeAndDelete() *scripted {
	return &scripted{
		reads: []reply{{page: page(5, row("a", "1", 4), row("b", "1", 5))}},
		follows: []reply{
			{page: page(6, row("a", "2", 6))},
			{page: page(7, Row{Key: "b", Revision: 7, Deleted: true})},
		},
	}
}

// Changes and deletions are applied in order.
func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, changes := runMirror(t, changeAndDelete(), time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "2"})
		assert.Equal(t, changes, 3)
	})
}

// An empty table counts as loaded, because a VM must become ready before the first
// upstream registers.
func TestEmptyTableIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, changes := runMirror(t, &scripted{reads: []reply{{page: page(0)}}}, time.Second)
		_, ok := m.Copy()
		assert.Assert(t, ok)
		assert.Equal(t, changes, 1)
	})
}

// If the store has dropped its history, the table is read again, and rows that were
// deleted in the meantime are removed.
func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{
			reads:   []reply{{page: page(5, row("a", "1", 4), row("b", "1", 5))}, {page: page(9, row("a", "3", 8))}},
			follows: []reply{{err: ErrHistoryGone}},
		}
		m, _ := runMirror(t, s, time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "3"})
		assert.Equal(t, s.after[len(s.after)-1], int64(9))
	})
}

// An answer of a lagging store must not revert the copy to an older revision.
func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{
			reads: []reply{
				{page: page(5, row("a", "5", 5))},
				{page: page(3, row("a", "3", 3))},
				{page: page(6, row("a", "6", 6))},
			},
			follows: []reply{{err: ErrHistoryGone}, {err: ErrHistoryGone}},
		}
		m, changes := runMirror(t, s, 2*time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "6"})
		assert.Equal(t, changes, 2, "the older page must change nothing on the way")
	})
}

// The copy is kept while the store fails, and the backoff between calls stays below
// a second on average.
func TestOutageKeepsTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{reads: []reply{{page: page(5, row("a", "1", 5))}}}
		for range 1000 {
			s.follows = append(s.follows, reply{err: errors.New("down")})
		}
		m, _ := runMirror(t, s, 10*time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "1"})
		_, lost := m.Lost()
		assert.Assert(t, lost)
		assert.Assert(t, len(s.after) >= 10 && len(s.after) < 40, "%d calls", len(s.after))
	})
}

// A mirror accepts newer pages from peers and rejects older ones, and changes
// without a loaded copy.
func TestOffer(t *testing.T) {
	m := New(Options{Name: "t", Log: zap.NewNop()})
	assert.Assert(t, !m.Offer(page(5, row("b", "5", 5)), false), "changes without the rows before them")
	assert.Assert(t, m.Offer(page(4, row("a", "4", 4), row("b", "2", 2)), true))
	assert.Assert(t, !m.Offer(page(3, row("a", "3", 3)), true))
	assert.Assert(t, m.Offer(page(5, Row{Key: "b", Revision: 5, Deleted: true}), false))
	assert.DeepEqual(t, values(m), map[string]string{"a": "4"})
	assert.Assert(t, m.Offer(page(6, row("c", "6", 6)), true))
	assert.DeepEqual(t, values(m), map[string]string{"c": "6"})
}

// A peer gets all changes and deletions after its revision, or the whole table if
// the deletions since that revision are not known.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := runMirror(t, changeAndDelete(), time.Second)
		for after, wantWhole := range map[int64]bool{3: true, 5: false, 6: false, 7: false} {
			changes, whole := m.ChangesSince(Position{Revision: after})
			assert.Equal(t, whole, wantWhole, after)
			peer := New(Options{Name: "p", Log: zap.NewNop()})
			if !whole {
				peer.Offer(page(5, row("a", "1", 4), row("b", "1", 5)), true)
			}
			peer.Offer(changes, whole)
			assert.Equal(t, values(peer)["b"] == "", after < 7, after)
		}
	})
}

// A passive mirror makes no Follow calls after the first read.
func TestPassiveMirrorDoesNotCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{reads: []reply{{page: page(5, row("a", "1", 4))}}}
		m := New(Options{Name: "t", Table: s, Log: zap.NewNop(), Passive: func() bool { return true }})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		m.Run(ctx)
		assert.DeepEqual(t, values(m), map[string]string{"a": "1"})
		assert.Equal(t, len(s.after), 0)
	})
}

// startPassive starts a passive mirror of a store whose clock is that of the test.
func startPassive(t *testing.T, s *scripted, maxAge time.Duration) *Mirror {
	t.Helper()
	m := New(Options{Name: "t", Table: s, Log: zap.NewNop(), Passive: func() bool { return true }, MaxAge: maxAge})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return m
}

func at(clock time.Duration, p Page) Page {
	p.Clock = clock
	return p
}

// Guards against a copy that stays old for longer than MaxAge because the peers that
// read the store for this VM no longer hear from it.
func TestPassiveMirrorKeepsAnOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{
			reads:   []reply{{page: at(10*time.Second, page(5, row("a", "1", 4)))}},
			follows: []reply{{page: at(11100*time.Millisecond, page(6, row("a", "2", 6)))}},
		}
		m := startPassive(t, s, time.Second)
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, len(s.calls()), 0)
		time.Sleep(200*time.Millisecond + time.Millisecond)
		assert.DeepEqual(t, values(m), map[string]string{"a": "2"})
	})
}

// Guards against calls of a passive mirror whose copy peers confirm, and against
// confirmations by peers whose copy is newer or whose confirmation is old.
func TestPeersConfirmACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{reads: []reply{{page: at(10*time.Second, page(5, row("a", "1", 4)))}}}
		m := startPassive(t, s, time.Second)
		for i := range 4 {
			time.Sleep(500 * time.Millisecond)
			reading := 10*time.Second + time.Duration(i+1)*500*time.Millisecond
			assert.Assert(t, m.Confirm(State{Revision: int64(6 + i), Changed: 4, Confirmed: reading}))
			assert.Equal(t, m.Age(time.Now()), time.Duration(0))
		}
		assert.Equal(t, len(s.calls()), 0)
		assert.Assert(t, !m.Confirm(State{Revision: 20, Changed: 15, Confirmed: 12 * time.Second}), "the peer knows of a later change")
		assert.Assert(t, m.Confirm(State{Revision: 9, Changed: 4, Confirmed: 11 * time.Second}))
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, m.Age(time.Now()), 800*time.Millisecond, "neither confirmed the copy any later")
		time.Sleep(400 * time.Millisecond)
		assert.Assert(t, len(s.calls()) > 0)
		assert.Equal(t, s.calls()[0], int64(9), "the call resumes from the revision that peers confirmed")
	})
}

// Guards against a call that waits for an answer on a silent connection for longer
// than the answer can take.
func TestSilentCallIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{
			reads:   []reply{{page: at(10*time.Second, page(5, row("a", "1", 4)))}},
			follows: []reply{{silent: true}, {page: at(11500*time.Millisecond, page(6, row("a", "2", 6)))}},
		}
		m := New(Options{Name: "t", Table: s, Log: zap.NewNop(), Wait: 800 * time.Millisecond, MaxAge: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, values(m), map[string]string{"a": "2"})
		cancel()
		<-done
	})
}

// All pages of a table are read.
func TestReadsAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := page(5, row("a", "1", 1))
		first.Partial = true
		m, _ := runMirror(t, &scripted{reads: []reply{{page: first}, {page: page(6, row("b", "2", 2))}}}, time.Second)
		assert.DeepEqual(t, values(m), map[string]string{"a": "1", "b": "2"})
		c, _ := m.Copy()
		assert.Equal(t, c.Revision, int64(5), "changes between the pages must be followed")
	})
}

// Guards against a copy that counts as current for ever after the store's clock has begun
// anew.
func TestConfirmationAheadOfTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{reads: []reply{{page: at(time.Hour, page(5, row("a", "1", 4)))}}}
		m := startPassive(t, s, 24*time.Hour)
		for i := range 4 {
			time.Sleep(clockWindow)
			reading := time.Duration(i+1) * clockWindow
			assert.Assert(t, m.Confirm(State{Revision: int64(6 + i), Changed: 4, Confirmed: reading}))
		}
		assert.Equal(t, m.Age(time.Now()), time.Duration(0))
		time.Sleep(time.Second)
		assert.Equal(t, m.Age(time.Now()), time.Second)
	})
}

// maxLoopCalls is the number of calls after which a countingTable stops a loop that
// makes calls without a pause.
const maxLoopCalls = 1000

// countingTable is a Table that answers at once, and counts the calls.
type countingTable struct {
	read   func(from string) Page
	follow func(after int64) (Page, error)
	calls  int
}

func (c *countingTable) count(ctx context.Context) {
	if c.calls++; c.calls >= maxLoopCalls {
		<-ctx.Done()
	}
}

func (c *countingTable) Read(ctx context.Context, from string) (Page, error) {
	c.count(ctx)
	return c.read(from), ctx.Err()
}

func (c *countingTable) Follow(ctx context.Context, after int64, _ time.Duration) (Page, error) {
	c.count(ctx)
	return c.follow(after)
}

// inBubble runs a subtest with virtual time.
func inBubble(t *testing.T, name string, f func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// Guards against calls without a pause to a store whose answers bring nothing new: the
// rows of the copy again, an older revision, no rows at once, or no history.
func TestUselessAnswersAreAskedForInALoop(t *testing.T) {
	whole := page(5, row("a", "1", 5))
	for name, follow := range map[string]func(after int64) (Page, error){
		"same rows":  func(int64) (Page, error) { return whole, nil },
		"older page": func(int64) (Page, error) { return page(3, row("a", "0", 3)), nil },
		"no rows":    func(after int64) (Page, error) { return page(after), nil },
		"no history": func(int64) (Page, error) { return Page{}, ErrHistoryGone },
	} {
		inBubble(t, name, func(t *testing.T) {
			table := &countingTable{read: func(string) Page { return whole }, follow: follow}
			m := New(Options{Name: "t", Table: table, Log: zap.NewNop()})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			m.Run(ctx)
			assert.Check(t, table.calls <= 25, "%d calls in a second", table.calls)
			assert.DeepEqual(t, values(m), map[string]string{"a": "1"})
		})
	}
}

// Guards against a table of which a part is taken for the whole, and against an endless
// read, because no row of a page has a key from which the read can go on.
func TestReadThatCannotGoOn(t *testing.T) {
	partial := func(rows ...Row) Page {
		p := page(6, rows...)
		p.Partial, p.Skipped = true, 1
		return p
	}
	for name, read := range map[string]func(from string) Page{
		"no keys":  func(string) Page { return partial() },
		"same key": func(string) Page { return partial(row("a", "1", 1)) },
	} {
		inBubble(t, name, func(t *testing.T) {
			table := &countingTable{read: read, follow: func(after int64) (Page, error) { return page(after), nil }}
			m := New(Options{Name: "t", Table: table, Log: zap.NewNop()})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			m.Run(ctx)
			_, loaded := m.Copy()
			assert.Check(t, !loaded && table.calls <= 25, "loaded %t, %d calls in a second", loaded, table.calls)
		})
	}
}

// Guards against rows that are skipped without a trace.
func TestSkippedRowsAreNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.WarnLevel)
		first, change := page(5), page(6, row("a", "1", 6))
		first.Skipped, change.Skipped = 2, 1
		m := New(Options{Name: "t", Table: &scripted{reads: []reply{{page: first}}, follows: []reply{{page: change}}}, Log: zap.New(core)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		m.Run(ctx)
		assert.Equal(t, lines.FilterMessage("rows skipped").Len(), 2)
		assert.Equal(t, lines.All()[0].ContextMap()["rows"], int64(2))
	})
}
