package e2e_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
	"github.com/savoryshift/savoryshift/tree"
)

// Guards against runs of a withdrawn version by a daemon that was paused during the
// withdrawal and has requests waiting in its sockets. As a negative control, the daemon
// is first paused and resumed without a withdrawal, and the waiting requests must run.
func TestPausedDaemon(t *testing.T) {
	t.Parallel()
	notIsolated := false
	s := e2e.Launch(t, e2e.Options{Binaries: binaries, Zones: threeDaemons, EngineSlots: 64, EditTree: func(x *tree.Tree) {
		v := x.Versions["s1"]
		v.UsableInIsolation = &notIsolated
		x.Versions["s1"] = v
	}})
	paused, other := s.Daemons[0], s.Daemons[1]

	_, controlRuns := pauseAndResume(s, paused, func() {})
	assert.Assert(t, controlRuns > 0, "no waiting request ran although nothing was withdrawn")

	var withdrawn time.Time
	answers, _ := pauseAndResume(s, paused, func() {
		s.Tool(other, "set", "/versions/s1/cost_per_1k_output_tokens", "2", "--reason", "edit during the pause")
		// Neither change affects a version that is usable in isolation, so both are in
		// force on all daemons when the lease of the paused daemon has expired.
		s.Tool(other, "withdraw", "s1", "--without-successor", "--reason", "withdrawn during the pause", "--wait")
		withdrawn = time.Now()
	})
	for _, run := range engineRuns(s) {
		assert.Assert(t, run.Version != "s1" || run.At.Before(withdrawn), "withdrawn version ran: %+v", run)
	}
	for _, a := range answers {
		assert.Assert(t, a.answer.Complete && a.answer.Version == "m1" || a.answer.NotRun(), "%+v", a.answer)
	}
	e2e.Eventually(t, "the resumed daemon serves the other model", func() bool {
		return e2e.Send(paused.CallerURL, e2e.Call{Model: "medium", Deadline: 10 * time.Second}).Complete
	})
}

// pauseAndResume pauses a daemon, sends requests that wait in its sockets, calls during
// and resumes the daemon. It returns the responses and the number of new runs of
// version s1.
func pauseAndResume(s *e2e.System, d *e2e.Daemon, during func()) ([]callResult, int) {
	const waiting = 40
	runs := func() (n int) {
		for _, run := range engineRuns(s) {
			if run.Version == "s1" {
				n++
			}
		}
		return n
	}
	before := runs()
	d.Pause()
	var calls []e2e.Call
	for i := range waiting {
		calls = append(calls, e2e.Call{Model: []string{"small", "medium"}[i%2], Stream: i%4 < 2, MaxTokens: 5, Deadline: 30 * time.Second})
	}
	var answers []callResult
	var group sync.WaitGroup
	group.Go(func() { answers = sendParallel(func(int) string { return d.CallerURL }, calls) })
	during()
	d.Resume()
	group.Wait()
	return answers, runs() - before
}
