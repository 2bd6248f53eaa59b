package daemontest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
)

// Guards against a refused request when its version is halted after the daemon
// has chosen it and before the request is sent: another version may run it.
func TestRequestDecidedBeforeAHaltIsAnswered(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		s.StartRollout(s.Daemons[0], 100)
		d := s.Daemons[0]
		for _, zone := range daemontest.Zones {
			// The version is checked again just before the request is written. The
			// request waits there only when it needs a new connection.
			s.Net.ResetConnections(d.Host.Name, daemontest.EngineID(zone))
			s.Net.Cut(d.Host.Name, daemontest.EngineID(zone))
		}
		answers := make(chan daemontest.Answer, 1)
		go func() { answers <- d.Chat(daemontest.Chat{Prompt: "in flight", Session: "new"}) }()
		time.Sleep(50 * time.Millisecond)
		halted := halt(t, d)
		time.Sleep(50 * time.Millisecond)
		s.Net.HealAll()
		a := <-answers
		assert.Assert(t, a.Complete, "%+v", a)
		assert.Equal(t, a.Version, daemontest.Base)
		assert.Equal(t, len(s.Runs(daemontest.Candidate, halted)), 0)
	})
}

// Guards against an answer that waits for its rating until the client has
// disconnected, when the rating service has just become unreachable.
func TestFirstRequestAfterACutIsAnswered(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		d := s.Daemons[0]
		s.Net.Cut(d.Host.Name, daemontest.PlatformHost)
		for _, other := range s.Daemons[1:] {
			s.Net.Cut(d.Host.Name, other.Host.Name)
		}
		a := d.Chat(daemontest.Chat{Prompt: "briefing"})
		assert.Assert(t, a.Complete, "%+v", a)
	})
}
