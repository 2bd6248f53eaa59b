package daemontest_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	operators = 4
	edits     = 8
)

// Guards invariant 10 when operators edit at the same moment through different
// daemons while the table loses replies: each edit that is confirmed is in the
// log once and in force at the end, and each daemon ends with the same tree.
func TestOperatorsRaceWhileRepliesAreLost(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		assert.DeepEqual(t, raceOperators(t, s), []string(nil))
	})
}

// With a head that is written without its condition, confirmed edits are lost.
func TestOperatorsTwinUnconditionalHead(t *testing.T) {
	run(t, daemontest.Options{Platform: unconditionalConfig}, func(t *testing.T, s *daemontest.System) {
		assert.Assert(t, len(raceOperators(t, s)) > 0)
	})
}

// unconditionalConfig is a platform that ignores the conditions of changes.
func unconditionalConfig(next http.Handler) http.Handler {
	return filterCommits(next, func(ops []store.Op) ([]store.Op, bool) {
		for i, op := range ops {
			if strings.HasPrefix(op.Key, "config/") {
				ops[i].Expect = store.AnyVersion
			}
		}
		return ops, true
	})
}

// raceOperators lets operators add versions under names of their own, and
// returns what is wrong at the end.
func raceOperators(t *testing.T, s *daemontest.System) (wrong []string) {
	t.Helper()
	var mu sync.Mutex
	var confirmed []string
	var racing sync.WaitGroup
	for i := range operators {
		racing.Go(func() {
			for n := range edits {
				id := fmt.Sprintf("v%d-%d", i, n)
				s.Platform.Store().SetFaults(memstore.Faults{LoseReplies: 1, Delay: time.Duration(i) * time.Millisecond})
				if addVersion(t, s.Daemons[i], id) {
					mu.Lock()
					confirmed = append(confirmed, id)
					mu.Unlock()
				}
			}
		})
	}
	racing.Wait()
	s.Platform.Store().SetFaults(memstore.Faults{})
	time.Sleep(inForce)
	if len(confirmed) == 0 {
		wrong = append(wrong, "no edit was confirmed")
	}
	var hash string
	for _, d := range s.Live("") {
		status, err := d.Operators.Status(t.Context())
		assert.NilError(t, err)
		if hash != "" && status.Hash != hash {
			wrong = append(wrong, d.ID+" has another tree")
		}
		hash = status.Hash
	}
	return append(wrong, lostEdits(t, s, confirmed)...)
}

// addVersion repeats an edit with one id until it is confirmed or another
// operator's change was first too often.
func addVersion(t *testing.T, d *daemontest.Daemon, id string) bool {
	t.Helper()
	patch, err := json.Marshal(map[string]any{"versions": map[string]tree.Version{id: {Model: "extra", State: tree.VersionCandidate}}})
	assert.Check(t, err)
	for try := range 20 {
		at, err := d.Operators.Tree(t.Context(), 0)
		if err != nil {
			continue
		}
		_, err = d.Operators.Propose(t.Context(), operator.Edit{
			ID: fmt.Sprintf("%s-%d", id, try), Reason: "add " + id, Base: at.Revision, Patch: patch,
		})
		if err == nil {
			return true
		}
		if _, known := errors.AsType[*operator.APIError](err); !known {
			return false
		}
	}
	return false
}

// lostEdits lists the confirmed versions that are not in the tree, or are in the
// log more than once.
func lostEdits(t *testing.T, s *daemontest.System, confirmed []string) (wrong []string) {
	t.Helper()
	at, err := s.Daemons[5].Operators.Tree(t.Context(), 0)
	if err != nil {
		return []string{"the tree cannot be read: " + err.Error()}
	}
	var now tree.Tree
	assert.NilError(t, json.Unmarshal(at.Tree, &now))
	log, err := s.Daemons[5].Operators.Changes(t.Context(), 0, 1000)
	if err != nil {
		return []string{"the log cannot be read: " + err.Error()}
	}
	times := make(map[string]int)
	for _, c := range log.Changes {
		times[c.Reason]++
	}
	for _, id := range confirmed {
		if _, ok := now.Versions[id]; !ok {
			wrong = append(wrong, id+" was confirmed and is lost")
		}
		if times["add "+id] != 1 {
			wrong = append(wrong, fmt.Sprintf("%s is in the log %d times", id, times["add "+id]))
		}
	}
	return wrong
}

// rolloutStep is the time between two steps of the roll-out.
const rolloutStep = 10 * time.Second

// Guards invariant 10 and the continuity of roll-outs: when the daemon that
// advances a roll-out dies halfway, another one finishes it, and its percentage
// never falls.
func TestRolloutGoesOnWhenItsDaemonDies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		steps := rolloutWithDeaths(t, s, true)
		assert.Assert(t, len(s.Live("")) < len(s.Daemons), "no daemon was killed")
		assert.DeepEqual(t, steps[len(steps)-1], tree.Rollout{From: daemontest.Base, To: daemontest.Candidate, Percent: 100, StepPercent: 25, StepSeconds: 10, State: tree.RolloutDone})
		for i := 1; i < len(steps); i++ {
			assert.Assert(t, steps[i].Percent >= steps[i-1].Percent)
		}
	})
}

// Without a daemon to take over, the roll-out stays halfway.
func TestRolloutTwinNobodyTakesOver(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		steps := rolloutWithDeaths(t, s, false)
		assert.Assert(t, steps[len(steps)-1].State == tree.RolloutRunning)
	})
}

// rolloutWithDeaths starts a roll-out and kills each daemon that holds the
// control lease when it has made a step, as long as three daemons are left. It
// returns the states of the roll-out over time. Without takeover, all daemons
// but one, which the platform is cut from, die at the first step.
func rolloutWithDeaths(t *testing.T, s *daemontest.System, takeover bool) (steps []tree.Rollout) {
	t.Helper()
	r, err := s.Daemons[5].Operators.Rollout(t.Context(), daemontest.Rollout, "start", operator.Action{
		Reason: "try", From: daemontest.Base, To: daemontest.Candidate, Percent: 1, StepPercent: 25, StepSeconds: rolloutStep.Seconds(),
	})
	assert.NilError(t, err)
	s.WaitAccepted(s.Daemons[5], r.Revision)
	for range 40 {
		time.Sleep(rolloutStep / 2)
		live := s.Live("")
		at, err := live[len(live)-1].Operators.Tree(t.Context(), 0)
		assert.NilError(t, err)
		var now tree.Tree
		assert.NilError(t, json.Unmarshal(at.Tree, &now))
		state := now.Rollouts[daemontest.Rollout]
		if len(steps) > 0 && state.Percent > steps[len(steps)-1].Percent {
			killHolder(t, s, takeover)
		}
		steps = append(steps, state)
		if state.State == tree.RolloutDone {
			break
		}
	}
	return steps
}

// killHolder kills the daemon that holds the control lease or, without takeover,
// all but the last one, which the platform is cut from.
func killHolder(t *testing.T, s *daemontest.System, takeover bool) {
	t.Helper()
	rows, err := s.Platform.Store().Get(t.Context(), "lease/control")
	assert.NilError(t, err)
	live := s.Live("")
	for i, d := range live {
		holds := strings.Contains(string(rows[0].Value), `"`+d.ID+"/")
		if takeover && holds && len(live) > 3 || !takeover && i < len(live)-1 {
			d.Kill()
		}
	}
	if !takeover {
		s.Net.Cut(live[len(live)-1].Host.Name, daemontest.PlatformHost)
	}
}
