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
	// healthyTime is how long the candidate runs without faults.
	healthyTime = 20 * time.Second
	// badTime is how long the traffic goes on after the faults have begun.
	badTime = 60 * time.Second
	// maxExposure is the number of runs within which a version that fails or
	// degrades 30% of its answers must be halted.
	maxExposure = 200
)

// setCandidateFaults injects faults into the candidate on all engines.
func setCandidateFaults(s *daemontest.System, f engine.VersionFaults) {
	for _, e := range s.Engines {
		e.SetFaults(engine.Faults{Versions: map[string]engine.VersionFaults{daemontest.Candidate: f}})
	}
}

// rolloutState returns the state of the rollout in the newest configuration.
func rolloutState(t *testing.T, s *daemontest.System) tree.RolloutState {
	at, err := s.Daemons[0].Operators.Tree(t.Context(), 0)
	assert.NilError(t, err)
	parsed, err := tree.Parse(at.Tree)
	assert.NilError(t, err)
	return parsed.Rollouts[daemontest.Rollout].State
}

// runRolloutWithFaults runs a rollout whose candidate becomes faulty. It returns
// the runs of the candidate from that time on and the final state of the rollout.
func runRolloutWithFaults(t *testing.T, s *daemontest.System, f engine.VersionFaults) (runs []engine.Run, state tree.RolloutState) {
	s.StartRollout(s.Daemons[0], 50)
	traffic := s.StartTraffic(trafficPeriod)
	time.Sleep(healthyTime)
	setCandidateFaults(s, f)
	bad := time.Now()
	time.Sleep(badTime)
	calls := traffic.Stop()
	assert.Assert(t, daemontest.CountAnswered(calls) > len(calls)*9/10, "%d of %d answered", daemontest.CountAnswered(calls), len(calls))
	return s.Runs(daemontest.Candidate, bad), rolloutState(t, s)
}

// Guards invariant 2 and the limit on the exposure to bad versions: the daemons
// together must halt a candidate that becomes faulty, without an operator, and
// abort its rollout in the change log. In the negative control the candidate
// stays healthy, and its rollout must go on.
func TestVersionThatTurnsBadIsHalted(t *testing.T) {
	fails, degrades, healthy := 0.3, 0.5, 1.0
	for _, c := range []struct {
		name   string
		faults engine.VersionFaults
		halted bool
	}{
		{"fails", engine.VersionFaults{ErrorRate: &fails}, true},
		{"degrades", engine.VersionFaults{Quality: &degrades}, true},
		{"negative control: healthy", engine.VersionFaults{Quality: &healthy}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				runs, state := runRolloutWithFaults(t, s, c.faults)
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
