package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/operator/operatortest"
	"github.com/savoryshift/savoryshift/tree"
)

const initialTree = `{"versions":{"s1":{"model":"small","cost_per_1k_output_tokens":1},"s2":{"model":"small","cost_per_1k_output_tokens":1,"state":"candidate"}},
"upstreams":{"e1":{"kind":"engine","url":"http://10.0.0.1:80","availability_zone":"a","versions":["s1","s2"],"slots":4}},
"services":{"model":{"kind":"model","upstreams":["e1"]}},"organisations":{"club":{"models":["small"],"services":{"model":{}}}}}`

// fixture is a server with a fake change log and daemon. The first revision of
// the log is initialTree.
type fixture struct {
	log      operator.ChangeLog
	fake     *operatortest.Log
	daemon   *operatortest.Daemon
	server   *operator.Server
	snapshot *tree.Snapshot
}

// newFixture returns a fixture whose server uses wrap(fake) as its change log.
func newFixture(t *testing.T, wrap func(operator.ChangeLog) operator.ChangeLog) *fixture {
	f := &fixture{fake: &operatortest.Log{}, daemon: &operatortest.Daemon{}}
	f.log = wrap(f.fake)
	f.server = operator.New(operator.Options{Log: f.log, Acceptance: f.daemon, Halter: f.daemon, Status: f.daemon,
		Tokens: operatortest.Tokens(), Snapshot: func() *tree.Snapshot { return f.snapshot }, MaxBodyBytes: 4096,
		Ready: func() error { return errors.New("no evidence") }})
	_, err := f.client(operatortest.EditorToken).Propose(t.Context(), operator.Edit{Reason: "first", Patch: []byte(initialTree)})
	assert.NilError(t, err)
	return f
}

func unwrapped(l operator.ChangeLog) operator.ChangeLog { return l }

// withLostReplies returns a log of package changelog on a table that loses the
// replies of some writes.
func withLostReplies(operator.ChangeLog) operator.ChangeLog {
	table := memstore.New()
	table.SetFaults(memstore.Faults{LoseReplies: 3})
	return changelog.New(changelog.Options{Table: table})
}

func (f *fixture) client(token string) *operator.Client {
	return operator.NewClient(operator.ClientOptions{URL: "http://daemon", Token: token, HTTP: &http.Client{Transport: operatortest.Transport{Handler: f.server}}})
}

func apiError(t *testing.T, err error) *operator.APIError {
	t.Helper()
	e, ok := errors.AsType[*operator.APIError](err)
	assert.Assert(t, ok, "%v", err)
	return e
}

// Guards against reads without a valid token, halts by viewers, invalid edits that
// are appended, and a repeated edit that is appended twice.
func TestRefusalsChangeNothing(t *testing.T) {
	f := newFixture(t, unwrapped)
	ctx := t.Context()
	_, err := f.client("wrong").Tree(ctx, 0)
	assert.Equal(t, apiError(t, err).Code, errkind.Unauthenticated)
	_, err = f.client(operatortest.ViewerToken).Halt(ctx, operator.HaltRequest{Version: "s2", Rollout: "r", Reason: "x"})
	assert.Equal(t, apiError(t, err).Code, errkind.Forbidden)
	editor := f.client(operatortest.EditorToken)
	for patch, kind := range map[string]errkind.Kind{
		`[]`: errkind.BadRequest, `{"a":1,"a":1}`: errkind.BadRequest, `{"typo":1}`: errkind.BadRequest,
		`{"defaults":{"priority":10}}`:              errkind.BadRequest,
		`{"x":"` + strings.Repeat("x", 5000) + `"}`: errkind.PayloadTooLarge,
	} {
		_, err = editor.Propose(ctx, operator.Edit{Reason: "x", Base: 1, Patch: []byte(patch)})
		assert.Equal(t, apiError(t, err).Code, kind, patch)
	}
	_, err = editor.Propose(ctx, operator.Edit{Reason: "x", Base: 1, Patch: []byte(`{"defaults":{"priority":10}}`)})
	assert.DeepEqual(t, apiError(t, err).Problems, []tree.Problem{{Path: "/defaults/priority", Value: "10", Allowed: "0 to 9"}})
	_, err = editor.Propose(ctx, operator.Edit{Base: 1, Patch: []byte(`{"defaults":{"priority":1}}`)})
	assert.ErrorContains(t, err, "a reason of 1 to 1000 bytes")
	_, err = editor.Propose(ctx, operator.Edit{Reason: "x", Base: 7, Patch: []byte(`{}`)})
	assert.Equal(t, apiError(t, err).Code, errkind.NotFound)
	edit := operator.Edit{ID: "one", Reason: "x", Base: 1, Patch: []byte(`{"defaults":{"priority":1}}`)}
	for range 2 { // The second time, the base is not the head.
		result, err := editor.Propose(ctx, edit)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, int64(2))
	}
	edit.Patch = []byte(`{"defaults":{"priority":2}}`)
	_, err = editor.Propose(ctx, edit)
	assert.ErrorContains(t, err, "is taken by revision 2")
	page, err := editor.Changes(ctx, -1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Head.Revision, int64(2))
}

// Guards against rollout steps from a state that doesn't allow them, and against
// actions that are applied twice when they are repeated.
func TestActions(t *testing.T) {
	f := newFixture(t, unwrapped)
	ctx, editor := t.Context(), f.client(operatortest.EditorToken)
	begin := operator.Action{ID: "begin", Reason: "try s2", From: "s1", To: "s2", Percent: 10}
	for range 2 { // The same id twice makes one change.
		result, err := editor.Rollout(ctx, "r1", "start", begin)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, int64(2))
	}
	why := operator.Action{Reason: "test"}
	_, err := editor.Rollout(ctx, "r1", "start", why)
	assert.ErrorContains(t, err, "already exists")
	for _, step := range []string{"pause", "pause", "continue"} {
		_, err = editor.Rollout(ctx, "r1", step, why)
		assert.NilError(t, err)
	}
	_, err = editor.Withdraw(ctx, "s2", why)
	assert.ErrorContains(t, err, "either a successor or without_successor")
	result, err := editor.Withdraw(ctx, "s2", operator.Action{Reason: "bad", Successor: "s1"})
	assert.NilError(t, err)
	assert.Equal(t, string(result.Change.Patch), `{"rollouts":{"r1":{"state":"aborted"}},"versions":{"s2":{"state":"withdrawn","successor":"s1","usable_in_isolation":null}}}`)
	assert.Equal(t, result.Change.Author, "ana")
	_, err = editor.Rollout(ctx, "r1", "continue", why)
	assert.ErrorContains(t, err, "is aborted")
	for _, undo := range []bool{false, false, true} {
		_, err = editor.Drain(ctx, "e1", operator.Action{Reason: "repair", Undo: undo})
		assert.NilError(t, err)
	}
	page, err := editor.Changes(ctx, 2, 100)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Changes), 5) // pause, continue, withdraw, drain, undo
	diff, err := editor.Diff(ctx, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, diff.Differences[0].Path, "/rollouts/r1/state")
	old, err := editor.Tree(ctx, 1)
	assert.NilError(t, err)
	want, _ := tree.ApplyPatch(nil, []byte(initialTree))
	assert.Equal(t, string(old.Tree), string(want))
}

// Guards against a halt or a read of the head that fails while the platform is
// unreachable, and against a wrong report of whether an edit was applied.
func TestPlatformOutage(t *testing.T) {
	f := newFixture(t, unwrapped)
	ctx, editor := t.Context(), f.client(operatortest.EditorToken)
	withRollout, err := tree.ApplyPatch([]byte(initialTree), []byte(`{"rollouts":{"r1":{"from":"s1","to":"s2","percent":5,"state":"running"}}}`))
	assert.NilError(t, err)
	f.snapshot, err = tree.Build(withRollout, 9, "h9")
	assert.NilError(t, err)
	f.fake.SetDown(true)
	got, err := editor.Tree(ctx, 0)
	assert.NilError(t, err)
	assert.Assert(t, got.Stale && got.Revision == 9)
	effective, err := editor.Effective(ctx, "club", "model", "", 0)
	assert.NilError(t, err)
	assert.Equal(t, effective.Effective.Versions[1].OnlyByRollout, true)
	mark, err := editor.Halt(ctx, operator.HaltRequest{Version: "s2", Reason: "errors"})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.daemon.Halts, []operator.Halt{mark})
	_, err = editor.Drain(ctx, "e1", operator.Action{Reason: "x"})
	assert.Assert(t, apiError(t, err).Ran == errkind.RanNo && strings.Contains(err.Error(), "nothing was changed"), "%v", err)
	status, err := editor.Status(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, status.Halts, []operator.Halt{{Version: "s2", Rollout: "r1"}})

	lossy := newFixture(t, func(l operator.ChangeLog) operator.ChangeLog { return &lossyLog{ChangeLog: l} })
	_, err = lossy.client(operatortest.EditorToken).Drain(ctx, "e1", operator.Action{Reason: "x"})
	assert.Equal(t, apiError(t, err).Ran, errkind.RanUnknown)
}

// lossyLog loses the reply of each append except the first.
type lossyLog struct {
	operator.ChangeLog
	appends int
}

func (l *lossyLog) Append(ctx context.Context, c changelog.Change) (changelog.Change, error) {
	got, err := l.ChangeLog.Append(ctx, c)
	if l.appends++; l.appends > 1 {
		return changelog.Change{}, store.ErrUnknown
	}
	return got, err
}

// Guards against a change that is reported as accepted while the acknowledgement
// of a zone is missing.
func TestWaitNamesMissingZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, unwrapped)
		f.daemon.MissingReports = 3
		var seen []operator.ChangeStatus
		status, err := f.client(operatortest.ViewerToken).WaitAccepted(t.Context(), 1, func(s operator.ChangeStatus) { seen = append(seen, s) })
		assert.NilError(t, err)
		assert.Equal(t, status.State, operator.Accepted)
		assert.Equal(t, len(seen), 1)
		assert.DeepEqual(t, seen[0].MissingZones, []string{"tt-tucker"})
	})
}

// Guards against liveness and readiness probes that require a token, and against
// other paths that don't.
func TestProbesNeedNoToken(t *testing.T) {
	f := newFixture(t, unwrapped)
	for path, want := range map[string]int{"/livez": 200, "/readyz": 503, "/debug/vars": 401, "/v1/status": 401} {
		req, _ := http.NewRequest(http.MethodGet, "http://daemon"+path, nil)
		resp, err := operatortest.Transport{Handler: f.server}.RoundTrip(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want, path)
	}
}

// logWithoutBaseCheck is a change log that ignores the base of a change and
// appends the change to the head. The negative control uses it.
type logWithoutBaseCheck struct{ operator.ChangeLog }

func (l logWithoutBaseCheck) Append(ctx context.Context, c changelog.Change) (changelog.Change, error) {
	for {
		head, err := l.Head(ctx)
		if err != nil {
			return changelog.Change{}, err
		}
		c.Base = head.Revision
		got, err := l.ChangeLog.Append(ctx, c)
		if _, conflict := errors.AsType[*changelog.ConflictError](err); !conflict {
			return got, err
		}
	}
}

// raceResult counts the values in the list after a race, the refused edits, and
// those refused edits whose conflict doesn't show exactly the winning change.
type raceResult struct{ values, conflicts, wrongConflicts int }

// raceEdits lets a number of editors each add one value to the same list. In each
// round, all editors that have not succeeded yet propose their edit concurrently,
// from the same base.
func raceEdits(t *testing.T, editors int, wrap func(operator.ChangeLog) operator.ChangeLog) raceResult {
	f := newFixture(t, wrap)
	client := f.client(operatortest.EditorToken)
	pending := make([]string, editors)
	for i := range pending {
		pending[i] = fmt.Sprintf("%064x", i+1)
	}
	var total raceResult
	for len(pending) > 0 {
		base, err := client.Tree(t.Context(), 0)
		assert.NilError(t, err)
		errs := make([]error, len(pending))
		done := make(chan struct{})
		for i, digest := range pending {
			go func() {
				defer func() { done <- struct{}{} }()
				var doc tree.Tree
				_ = json.Unmarshal(base.Tree, &doc)
				list := append(slices.Clone(doc.Organisations["club"].KeySHA256), digest)
				patch, _ := json.Marshal(map[string]any{"organisations": map[string]any{"club": map[string]any{"key_sha256": list}}})
				_, errs[i] = client.Propose(t.Context(), operator.Edit{Reason: "add " + digest, Base: base.Revision, Patch: patch})
			}()
		}
		for range pending {
			<-done
		}
		var refused []string
		for i, err := range errs {
			if err == nil {
				continue
			}
			refused = append(refused, pending[i])
			total.conflicts++
			conflict := apiError(t, err).Conflict
			if conflict == nil || len(conflict.Others) != 1 || !strings.HasPrefix(conflict.Others[0].Reason, "add ") || conflict.Others[0].Reason == "add "+pending[i] {
				total.wrongConflicts++
			}
		}
		pending = refused
	}
	head, err := client.Tree(t.Context(), 0)
	assert.NilError(t, err)
	doc, err := tree.ParseValid(head.Tree)
	assert.NilError(t, err)
	total.values = len(doc.Organisations["club"].KeySHA256)
	return total
}

// Guards against lost updates: of concurrent edits of the same value from the same
// base, one must be accepted, and each refusal must show the accepted change.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	for _, editors := range []int{2, 5} {
		got := raceEdits(t, editors, unwrapped)
		assert.Equal(t, got, raceResult{values: editors, conflicts: editors * (editors - 1) / 2})
		assert.Equal(t, raceEdits(t, editors, withLostReplies), got)
		// Negative control: without the check of the base, updates must be lost.
		unchecked := raceEdits(t, editors, func(l operator.ChangeLog) operator.ChangeLog { return logWithoutBaseCheck{l} })
		assert.Assert(t, unchecked.values < editors, "%+v", unchecked)
	}
}
