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
