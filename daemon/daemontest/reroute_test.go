package daemontest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
)

// Guards against a request that is refused because its version was halted after
// the decision and before the write, although another version may run it.
func TestRequestDecidedBeforeAHaltIsAnswered(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		s.StartRollout(s.Daemons[0], 100)
		d := s.Daemons[0]
		for _, zone := range daemontest.Zones {
			// Only a new connection waits before the check at the write.
			s.Net.Break(d.Host.Name, daemontest.EngineOf(zone))
			s.Net.Cut(d.Host.Name, daemontest.EngineOf(zone))
		}
		answers := make(chan daemontest.Answer, 1)
		go func() { answers <- d.Chat(daemontest.Chat{Prompt: "in flight", Session: "new"}) }()
		time.Sleep(50 * time.Millisecond)
		halted := halt(t, d)
		time.Sleep(50 * time.Millisecond)
		s.Net.HealAll()
		a := <-answers
		assert.Assert(t, a.Whole, "%+v", a)
		assert.Equal(t, a.Version, daemontest.Base)
		assert.Equal(t, len(s.Runs(daemontest.Candidate, halted)), 0)
	})
}

// Guards against an answer that waits for a rating until the caller has left,
// when the rating service has just become unreachable.
func TestFirstRequestAfterACutIsAnswered(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		d := s.Daemons[0]
		s.Net.Cut(d.Host.Name, daemontest.PlatformHost)
		for _, other := range s.Daemons[1:] {
			s.Net.Cut(d.Host.Name, other.Host.Name)
		}
		a := d.Chat(daemontest.Chat{Prompt: "briefing"})
		assert.Assert(t, a.Whole, "%+v", a)
	})
}
