package daemontest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/tree"
)

const (
	// healthyTime is how long the candidate behaves, badTime how long the
	// traffic goes on after it turns bad.
	healthyTime = 20 * time.Second
	badTime     = 60 * time.Second
	// maxExposure is the number of requests within which a version that fails
	// or degrades 30% of its answers must be halted.
	maxExposure = 200
)

// turnBad changes how the candidate behaves on all engines.
func turnBad(s *daemontest.System, f engine.VersionFaults) {
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Versions: map[string]engine.VersionFaults{daemontest.Candidate: f}})
	}
}

// rolloutState reads the state of the roll-out from the change log.
func rolloutState(t *testing.T, s *daemontest.System) tree.RolloutState {
	at, err := s.Daemons[0].Operators.Tree(t.Context(), 0)
	assert.NilError(t, err)
	parsed, err := tree.Parse(at.Tree)
	assert.NilError(t, err)
	return parsed.Rollouts[daemontest.Rollout].State
}

// exposure runs a roll-out whose candidate changes its behaviour, and returns
// its runs from then on and its state in the change log at the end.
func exposure(t *testing.T, s *daemontest.System, f engine.VersionFaults) (runs []engine.Run, state tree.RolloutState) {
	s.StartRollout(s.Daemons[0], 50)
	traffic := s.StartTraffic(trafficPeriod)
	time.Sleep(healthyTime)
	turnBad(s, f)
	bad := time.Now()
	time.Sleep(badTime)
	calls := traffic.Stop()
	assert.Assert(t, daemontest.Answered(calls) > len(calls)*9/10, "%d of %d answered", daemontest.Answered(calls), len(calls))
	return s.Runs(daemontest.Candidate, bad), rolloutState(t, s)
}

// Guards invariant 2 and the exposure to bad versions: a candidate that turns
// bad while it serves is halted by the guards of the daemons together, without
// an operator, and its roll-out is aborted in the change log. The healthy twin
// goes on.
func TestVersionThatTurnsBadIsHalted(t *testing.T) {
	fails, degrades, healthy := 0.3, 0.5, 1.0
	for _, c := range []struct {
		name   string
		faults engine.VersionFaults
		halted bool
	}{
		{"fails", engine.VersionFaults{ErrorRate: &fails}, true},
		{"degrades", engine.VersionFaults{Quality: &degrades}, true},
		{"twin: healthy", engine.VersionFaults{Quality: &healthy}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				runs, state := exposure(t, s, c.faults)
				if !c.halted {
					assert.Equal(t, state, tree.RolloutRunning)
					assert.Assert(t, len(runs) > maxExposure)
					return
				}
				assert.Equal(t, state, tree.RolloutAborted)
				assert.Assert(t, len(runs) <= maxExposure, "%d runs of the bad version", len(runs))
				late := s.Runs(daemontest.Candidate, time.Now().Add(-badTime/2))
				assert.Equal(t, len(late), 0)
			})
		})
	}
}
