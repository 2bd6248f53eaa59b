package daemontest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// paused is longer than the evidence lease.
	paused = 10 * time.Second
	// decided is enough for a request to be waiting for its connection.
	decided = 50 * time.Millisecond
)

// Guards invariants 2 and 10 when a daemon is paused with a request between the
// decision and the write, and resumes after its lease: the version that was
// withdrawn meanwhile is not sent on old evidence.
func TestFrozenDaemonSendsNothingOnOldEvidence(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		a, late := freezeBeforeTheWrite(t, s, paused)
		assert.Equal(t, late, 0)
		settled := a.Version == daemontest.Base || a.Version == daemontest.Medium
		assert.Assert(t, a.Whole && settled || a.Ran == errkind.RanNo, "%+v", a)
	})
}

// With clocks that do not count the pause, the withdrawn version runs.
func TestFrozenDaemonTwinClockStops(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		_, late := freezeBeforeTheWrite(t, s, 0)
		assert.Equal(t, late, 1)
	})
}

// freezeBeforeTheWrite freezes a daemon while a request waits for a connection
// to its engine, withdraws the version of the request, and wakes the daemon
// before any new evidence reaches it. It returns the answer and how often the
// version ran after the withdrawal.
func freezeBeforeTheWrite(t *testing.T, s *daemontest.System, longer time.Duration) (a daemontest.Answer, late int) {
	t.Helper()
	s.StartRollout(s.Daemons[0], 100)
	d := s.Daemons[4]
	for _, zone := range daemontest.Zones {
		s.Net.Break(d.Host.Name, daemontest.EngineOf(zone))
		s.Net.Cut(d.Host.Name, daemontest.EngineOf(zone))
	}
	answers := make(chan daemontest.Answer, 1)
	go func() { answers <- d.Chat(daemontest.Chat{Prompt: "paused", Session: "new"}) }()
	time.Sleep(decided)
	d.Freeze()
	s.Withdraw(s.Daemons[0], daemontest.Candidate, daemontest.Base)
	withdrawn := time.Now()
	for _, zone := range daemontest.Zones {
		s.Net.Heal(d.Host.Name, daemontest.EngineOf(zone))
	}
	s.Net.Cut(d.Host.Name, daemontest.PlatformHost)
	for _, other := range s.Daemons {
		s.Net.Cut(d.Host.Name, other.Host.Name)
	}
	time.Sleep(decided)
	d.Thaw(longer)
	a = <-answers
	return a, len(s.Runs(daemontest.Candidate, withdrawn))
}
