package daemontest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// pauseLength is how long a daemon appears to be paused. It is longer than the
	// evidence lease.
	pauseLength = 10 * time.Second
	// dialDelay is enough time for a request to reach the point where it waits for
	// a connection to an engine.
	dialDelay = 50 * time.Millisecond
)

// Guards invariants 2 and 10 when a daemon is paused after it has chosen a
// version for a request and before it has sent it, and resumes after its evidence
// lease has expired: it must not send the request to that version, because the
// version was withdrawn during the pause.
func TestFrozenDaemonSendsNothingOnOldEvidence(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		a, late := freezeBeforeWrite(t, s, pauseLength)
		assert.Equal(t, late, 0)
		settled := a.Version == daemontest.Base || a.Version == daemontest.Medium
		assert.Assert(t, a.Complete && settled || a.Ran == errkind.RanNo, "%+v", a)
	})
}

// Negative control of TestFrozenDaemonSendsNothingOnOldEvidence: the clock of the
// daemon does not count the pause, so its evidence lease does not expire and the
// withdrawn version must run.
func TestFrozenDaemonWithClockThatStops(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		_, late := freezeBeforeWrite(t, s, 0)
		assert.Equal(t, late, 1)
	})
}

// freezeBeforeWrite freezes a daemon while a request waits for a connection to
// an engine, withdraws the version of the request, and resumes the daemon before
// any new evidence reaches it. The daemon's clock shows that the pause took
// extraPause longer than in virtual time. freezeBeforeWrite returns the answer
// and how often the version ran after the withdrawal.
func freezeBeforeWrite(t *testing.T, s *daemontest.System, extraPause time.Duration) (a daemontest.Answer, late int) {
	t.Helper()
	s.StartRollout(s.Daemons[0], 100)
	d := s.Daemons[4]
	for _, zone := range daemontest.Zones {
		s.Net.ResetConnections(d.Host.Name, daemontest.EngineID(zone))
		s.Net.Cut(d.Host.Name, daemontest.EngineID(zone))
	}
	answers := make(chan daemontest.Answer, 1)
	go func() { answers <- d.Chat(daemontest.Chat{Prompt: "paused", Session: "new"}) }()
	time.Sleep(dialDelay)
	d.Freeze()
	s.Withdraw(s.Daemons[0], daemontest.Candidate, daemontest.Base)
	withdrawn := time.Now()
	for _, zone := range daemontest.Zones {
		s.Net.Heal(d.Host.Name, daemontest.EngineID(zone))
	}
	s.Net.Cut(d.Host.Name, daemontest.PlatformHost)
	for _, other := range s.Daemons {
		s.Net.Cut(d.Host.Name, other.Host.Name)
	}
	time.Sleep(dialDelay)
	d.Thaw(extraPause)
	a = <-answers
	return a, len(s.Runs(daemontest.Candidate, withdrawn))
}
