package e2e_test

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/standin/engine"
)

// Guards against requests that are cut off or refused by a planned stop under load, and
// against a stop that closes listeners before readiness fails. As a negative control,
// another daemon is ended with SIGKILL, which must cut off requests.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 64, TokensPerSecond: 100})
	answers := stopUnderLoad(t, s, s.Daemons[0], func(d *e2e.Daemon) { d.Signal(syscall.SIGTERM) })
	assert.Equal(t, s.Daemons[0].ExitCode(), 0)
	for _, a := range answers {
		assert.Assert(t, a.answer.Complete, "%+v", a)
	}
	cut := 0
	for _, a := range stopUnderLoad(t, s, s.Daemons[1], func(d *e2e.Daemon) { d.Kill() }) {
		if !a.answer.Complete {
			cut++
		}
	}
	assert.Assert(t, cut > 0, "a killed daemon cut off no request")
}

// stopUnderLoad sends calls as long as the daemon is ready, stops the daemon while the
// engine holds responses, and returns all results.
func stopUnderLoad(t *testing.T, s *e2e.System, d *e2e.Daemon, stop func(*e2e.Daemon)) []callResult {
	const workers, held = 8, 4
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []callResult
	var number atomic.Int64
	sendWhileReady := func() {
		for d.Ready() {
			i := number.Add(1)
			c := e2e.Call{Model: "small", Stream: i%2 == 0, MaxTokens: 10, Deadline: 30 * time.Second}
			if i%3 == 0 {
				c.BookingKey = d.VM + "-" + time.Duration(i).String()
			}
			a := e2e.Send(d.CallerURL, c)
			mu.Lock()
			all = append(all, callResult{c, a})
			mu.Unlock()
		}
	}
	for range workers {
		group.Go(sendWhileReady)
	}
	e2e.Eventually(t, "calls are answered", func() bool { mu.Lock(); defer mu.Unlock(); return len(all) > 2*workers })
	s.Engine.Post("/standin/faults", engine.Faults{Frozen: true})
	e2e.Eventually(t, "the engine holds calls", func() bool { return d.InFlight()[e2e.EngineID] >= held })
	stop(d)
	e2e.Eventually(t, "readiness fails", func() bool { return !d.Ready() })
	s.Engine.Post("/standin/faults", engine.Faults{})
	group.Wait()
	return all
}
