package daemontest_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/operator"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/standin/engine"
)

const (
	// longAnswerTokens is the length of an answer that takes an engine 1 s.
	longAnswerTokens = 100
	// leavingTimeout is the time within which the daemons must stop sending new
	// requests to an upstream that leaves.
	leavingTimeout = 4 * time.Second
)

// Guards invariants 3 and 5 when an engine is killed, freezes or is cut off in
// the middle of a stream: the client receives every word once and in order, from
// one version.
func TestEngineEndsMidStream(t *testing.T) {
	idle := func(f *settings.Settings) { f.Bounds.StreamIdleTimeoutMs = 1000 }
	for name, end := range map[string]func(*daemontest.System, string){
		"killed": func(s *daemontest.System, id string) { s.Net.Kill(s.Host(id)) },
		"frozen": func(s *daemontest.System, id string) { s.Engines[id].SetFaults(engine.Faults{Frozen: true}) },
		"cut":    func(s *daemontest.System, id string) { s.Net.Cut(id, daemontest.AllHosts) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{Settings: idle}, func(t *testing.T, s *daemontest.System) {
				learnVersionQuality(t, s)
				reference := s.Daemons[0].Chat(daemontest.Chat{Prompt: "briefing", Stream: true, Tokens: 2 * longAnswerTokens})
				assert.Assert(t, reference.Complete, "%+v", reference)
				for i, d := range s.Live("") {
					a := streamAcrossEngineFailure(s, d, fmt.Sprint(i), end)
					assert.Assert(t, a.Complete, "%s: %v %v %v", d.ID, a.Status, a.Kind, a.Err)
					// The words of the engines repeat in a fixed cycle.
					text, cycle := " "+strings.Join(a.Parts, ""), " "+strings.Join(reference.Parts, "")
					assert.Equal(t, len(strings.Fields(text)), longAnswerTokens)
					assert.Assert(t, strings.Contains(cycle+" ", text+" "), "%q is not in %q", text, cycle)
				}
			})
		})
	}
}

// Negative control of TestEngineEndsMidStream: all engines are killed, so no
// engine can resume the stream. The client must see that the answer is
// incomplete.
func TestEngineEndsMidStreamWithoutAnotherEngine(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		learnVersionQuality(t, s)
		a := streamAcrossEngineFailure(s, s.Daemons[0], "alone", func(s *daemontest.System, _ string) {
			for id := range s.Engines {
				s.Net.Kill(s.Host(id))
			}
		})
		assert.Assert(t, !a.Complete && len(a.Parts) > 0, "%+v", a)
	})
}

// learnVersionQuality sends requests until the daemons know the quality of the
// versions, so that they stream answers without rating them first.
func learnVersionQuality(t *testing.T, s *daemontest.System) {
	t.Helper()
	traffic := s.StartTraffic(trafficPeriod)
	time.Sleep(2 * propagationTime)
	for _, c := range traffic.Stop() {
		assert.Assert(t, c.Answer.Complete, "%+v", c.Answer)
	}
}

// streamAcrossEngineFailure requests a stream, calls end with the ID of the
// engine that runs it after half of its time, and restores the engine once the
// answer has ended.
func streamAcrossEngineFailure(s *daemontest.System, d *daemontest.Daemon, prompt string, end func(*daemontest.System, string)) daemontest.Answer {
	answers := make(chan daemontest.Answer, 1)
	began := time.Now()
	go func() {
		answers <- d.Chat(daemontest.Chat{Prompt: "briefing " + prompt, Stream: true, Tokens: longAnswerTokens, Deadline: 10 * time.Second})
	}()
	time.Sleep(500 * time.Millisecond)
	var used string
	for id, e := range s.Engines {
		for _, r := range e.Runs() {
			if r.State == engine.RunRunning && !r.At.Before(began) {
				used = id
			}
		}
	}
	end(s, used)
	a := <-answers
	s.Restore(used)
	time.Sleep(propagationTime)
	return a
}

// Guards invariant 8 for an upstream that leaves because the configuration, the
// platform's list of VMs or its own responses say so: within leavingTimeout it
// gets no new requests, and no request is lost.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	const id = "engine-za"
	for name, leave := range map[string]func(t *testing.T, s *daemontest.System){
		"drained by an operator": func(t *testing.T, s *daemontest.System) {
			_, err := s.Daemons[0].Operators.Drain(t.Context(), id, operator.Action{Reason: "maintenance"})
			assert.NilError(t, err)
		},
		"leaving on the list": func(_ *testing.T, s *daemontest.System) {
			for i := range s.VMs {
				if s.VMs[i].ID == id {
					s.VMs[i].State = infra.VMLeaving
				}
			}
			s.Platform.SetVMs(s.VMs)
		},
		"says so itself": func(_ *testing.T, s *daemontest.System) { s.Engines[id].SetFaults(engine.Faults{Leaving: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				assert.Equal(t, runsAfterLeaving(t, s, id, func() { leave(t, s) }), 0)
			})
		})
	}
}

// Negative control of TestLeavingUpstreamGetsNoWork: nothing reports the upstream
// as leaving, so it must still get requests.
func TestLeavingUpstreamGetsNoWorkNegativeControl(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		assert.Assert(t, runsAfterLeaving(t, s, "engine-za", func() {}) > 0)
	})
}

// runsAfterLeaving counts the runs of an engine that begin more than
// leavingTimeout after the call of leave. The other engines are slower, so that
// the daemons prefer the one that leaves: among equally fast engines, one may by
// chance get no requests at all.
func runsAfterLeaving(t *testing.T, s *daemontest.System, id string, leave func()) (late int) {
	t.Helper()
	for other, e := range s.Engines {
		if other != id {
			e.SetFaults(engine.Faults{Slow: 4})
		}
	}
	traffic := s.StartTraffic(trafficPeriod)
	time.Sleep(propagationTime)
	leave()
	left := time.Now()
	time.Sleep(3 * leavingTimeout)
	for _, c := range traffic.Stop() {
		assert.Assert(t, c.Answer.Complete, "%+v", c.Answer)
	}
	for _, r := range s.Engines[id].Runs() {
		if r.At.After(left.Add(leavingTimeout)) {
			late++
		}
	}
	return late
}

// Guards invariants 4, 9 and 10 when all VMs of a zone are replaced under
// traffic: graceful shutdowns lose no request, the new daemons serve, a version
// that is withdrawn afterwards gets no new requests once the change is accepted,
// and every answered request is billed once.
func TestAllVMsOfAZoneReplaced(t *testing.T) {
	run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
		traffic := s.StartTraffic(trafficPeriod)
		time.Sleep(propagationTime)
		for i, old := range s.Live("za") {
			s.Retire(old)
			assert.NilError(t, old.Stop())
			fresh := s.Join("za", fmt.Sprintf("fresh-%d", i))
			time.Sleep(propagationTime)
			a := fresh.Chat(daemontest.Chat{Prompt: "new VM"})
			assert.Assert(t, a.Complete, "%+v", a)
		}
		revision := s.Withdraw(s.Live("zb")[0], daemontest.Base, "")
		s.WaitAccepted(s.Live("zb")[0], revision)
		accepted := time.Now()
		time.Sleep(propagationTime)
		calls := traffic.Stop()
		assert.Equal(t, len(s.Runs(daemontest.Base, accepted)), 0)
		for _, c := range calls {
			assert.Assert(t, c.Answer.Complete, "%s: %+v", c.Daemon.ID, c.Answer)
		}
		time.Sleep(flushTime)
		assert.Equal(t, s.Billed(), len(calls)+daemonsPerZone)
	})
}

const daemonsPerZone = 2
