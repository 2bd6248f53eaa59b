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
	edits     = 8 // by each operator
)

// Guards invariant 10 when operators edit the configuration concurrently through
// different daemons while the platform's table loses replies: each confirmed edit
// is in the change log once and in force at the end, and all daemons end with the
// same configuration.
func TestOperatorsRaceWhileRepliesAreLost(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		assert.DeepEqual(t, raceOperators(t, s), []string(nil))
	})
}

// Negative control of TestOperatorsRaceWhileRepliesAreLost: the platform ignores
// the conditions of writes to the change log, so concurrent edits overwrite each
// other and confirmed ones must be lost.
func TestOperatorsRaceWithUnconditionalWrites(t *testing.T) {
	run(t, daemontest.Options{Platform: unconditionalConfig}, func(t *testing.T, s *daemontest.System) {
		assert.Assert(t, len(raceOperators(t, s)) > 0)
	})
}

// unconditionalConfig makes the platform ignore the conditions of writes to the
// change log.
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

// raceOperators lets several operators add versions concurrently, each under
// names of its own. It returns the faults of the resulting configuration and
// change log.
func raceOperators(t *testing.T, s *daemontest.System) (faults []string) {
	t.Helper()
	var mu sync.Mutex
	var confirmed []string
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
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
	wg.Wait()
	s.Platform.Store().SetFaults(memstore.Faults{})
	time.Sleep(propagationTime)
	if len(confirmed) == 0 {
		faults = append(faults, "no edit was confirmed")
	}
	var hash string
	for _, d := range s.Live("") {
		status, err := d.Operators.Status(t.Context())
		assert.NilError(t, err)
		if hash != "" && status.Hash != hash {
			faults = append(faults, d.ID+" has a different configuration")
		}
		hash = status.Hash
	}
	return append(faults, lostEdits(t, s, confirmed)...)
}

// addVersion proposes a version up to 20 times, each time on the newest revision
// and with a change ID of its own, and reports whether an edit was confirmed. It
// gives up when an edit fails without an answer from the operator API.
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

// lostEdits lists the confirmed versions that are missing in the configuration,
// or whose edit is not in the change log exactly once.
func lostEdits(t *testing.T, s *daemontest.System, confirmed []string) (faults []string) {
	t.Helper()
	at, err := s.Daemons[5].Operators.Tree(t.Context(), 0)
	if err != nil {
		return []string{"reading the configuration: " + err.Error()}
	}
	var current tree.Tree
	assert.NilError(t, json.Unmarshal(at.Tree, &current))
	log, err := s.Daemons[5].Operators.Changes(t.Context(), 0, 1000)
	if err != nil {
		return []string{"reading the change log: " + err.Error()}
	}
	countByReason := make(map[string]int)
	for _, c := range log.Changes {
		countByReason[c.Reason]++
	}
	for _, id := range confirmed {
		if _, ok := current.Versions[id]; !ok {
			faults = append(faults, id+" was confirmed but is not in the configuration")
		}
		if countByReason["add "+id] != 1 {
			faults = append(faults, fmt.Sprintf("%s is in the change log %d times", id, countByReason["add "+id]))
		}
	}
	return faults
}

// rolloutStep is the time between two steps of the rollout.
const rolloutStep = 10 * time.Second

// Guards invariant 10 and the progress of rollouts: when the daemon that advances
// a rollout crashes halfway, another one finishes the rollout, and the percentage
// never falls.
func TestRolloutGoesOnWhenItsDaemonDies(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		steps := rolloutWithKills(t, s, true)
		assert.Assert(t, len(s.Live("")) < len(s.Daemons), "no daemon was killed")
		assert.DeepEqual(t, steps[len(steps)-1], tree.Rollout{From: daemontest.Base, To: daemontest.Candidate, Percent: 100, StepPercent: 25, StepSeconds: 10, State: tree.RolloutDone})
		for i := 1; i < len(steps); i++ {
			assert.Assert(t, steps[i].Percent >= steps[i-1].Percent)
		}
	})
}

// Negative control of TestRolloutGoesOnWhenItsDaemonDies: no daemon that reaches
// the platform is left to take over, so the rollout must not finish.
func TestRolloutWithoutTakeover(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		steps := rolloutWithKills(t, s, false)
		assert.Assert(t, steps[len(steps)-1].State == tree.RolloutRunning)
	})
}

// rolloutWithKills starts a rollout and returns its states over time. After each
// step it kills the holder of the control lease, as long as more than three
// daemons are live. Without takeover, it kills all daemons but one at the first
// step and cuts the last one from the platform.
func rolloutWithKills(t *testing.T, s *daemontest.System, takeover bool) (steps []tree.Rollout) {
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
		var current tree.Tree
		assert.NilError(t, json.Unmarshal(at.Tree, &current))
		state := current.Rollouts[daemontest.Rollout]
		if len(steps) > 0 && state.Percent > steps[len(steps)-1].Percent {
			killLeaseHolder(t, s, takeover)
		}
		steps = append(steps, state)
		if state.State == tree.RolloutDone {
			break
		}
	}
	return steps
}

// killLeaseHolder kills the daemon that holds the control lease if more than
// three daemons are live. Without takeover, it kills all live daemons but the
// last one, which it cuts from the platform.
func killLeaseHolder(t *testing.T, s *daemontest.System, takeover bool) {
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
